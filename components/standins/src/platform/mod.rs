//! The platform: a transactional table, an object store and a directory, all on one port.

pub mod directory;
pub mod table;
mod table_api;

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply, full};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use timer::Timer;

use crate::{
    connection::{self, Connections, StandinHandle},
    control::{self, DirectoryEntry, ErrorResponse, ReceivedRequest},
    platform::{directory::Directory, table::Table},
};

/// Path prefix of the object store.
const OBJECTS: &str = "/objects/celerystand/";
/// Path of the directory.
const SLICES: &str = "/apis/discovery.k8s.io/v1/endpointslices";

/// Faults and rate limits. A message changes only the fields that it names.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table does not answer: it closes the connections.
    pub table_down: Option<bool>,
    /// The table answers every request with status 500.
    pub table_errors: Option<bool>,
    /// Delay of each response of the table, in milliseconds.
    pub table_slow_ms: Option<u64>,
    /// Number of next commits that take effect but whose response is lost.
    pub lose_answers: Option<u32>,
    /// The object store answers every request with status 503.
    pub objects_down: Option<bool>,
    /// The directory answers every request with status 503.
    pub directory_down: Option<bool>,
    /// Age of the list that the directory answers with, in milliseconds.
    pub directory_lag_ms: Option<u64>,
    /// Limit of rows written per second.
    pub write_rate: Option<f64>,
    /// Limit of reads per second.
    pub read_rate: Option<f64>,
    /// Bearer tokens of the callers whose connections the platform closes.
    pub cut_off: Option<Vec<String>>,
}

impl Faults {
    fn update(&mut self, new: Self) {
        fn replace<T>(old: &mut Option<T>, new: Option<T>) {
            if new.is_some() {
                *old = new;
            }
        }
        replace(&mut self.table_down, new.table_down);
        replace(&mut self.table_errors, new.table_errors);
        replace(&mut self.table_slow_ms, new.table_slow_ms);
        replace(&mut self.lose_answers, new.lose_answers);
        replace(&mut self.objects_down, new.objects_down);
        replace(&mut self.directory_down, new.directory_down);
        replace(&mut self.directory_lag_ms, new.directory_lag_ms);
        replace(&mut self.write_rate, new.write_rate);
        replace(&mut self.read_rate, new.read_rate);
        replace(&mut self.cut_off, new.cut_off);
    }
}

/// Body of `GET /control/log`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformLog {
    /// Number of rows written.
    pub writes: u64,
    /// Number of reads answered.
    pub reads: u64,
    /// Number of commits rejected because a condition did not hold.
    pub conflicts: u64,
    /// Number of requests rejected by a rate limit.
    pub throttled: u64,
    /// Number of commits that took effect but whose response was lost.
    pub lost: u64,
    /// All rows: `partition/sort` to body.
    pub rows: BTreeMap<String, String>,
}

/// The platform stand-in.
pub struct Platform {
    timer: Timer,
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    table: Table,
    objects: HashMap<String, Bytes>,
    directory: Directory,
}

/// Starts a platform.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn start(addr: SocketAddr, faults: Faults) -> io::Result<StandinHandle<Platform>> {
    let state = State {
        faults,
        table: Table::default(),
        objects: HashMap::new(),
        directory: Directory::default(),
    };
    let platform = Platform {
        timer: Timer::new(),
        state: Mutex::new(state),
    };
    connection::serve(addr, Arc::new(Connections::default()), Arc::new(platform)).await
}

impl Platform {
    /// Injects faults and sets rate limits.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults.update(faults);
    }

    /// Adds an instance or target to the directory, or replaces its entry.
    pub fn register(&self, entry: DirectoryEntry) {
        let now = self.timer.now();
        self.state.lock().directory.register(now, entry);
    }

    /// Log of the table so far, with all rows.
    #[must_use]
    pub fn log(&self) -> PlatformLog {
        self.state.lock().table.log()
    }

    async fn table(&self, req: &ReceivedRequest) -> Response<Body> {
        let faults = self.state.lock().faults.clone();
        if let Some(ms) = faults.table_slow_ms {
            self.timer.sleep(Duration::from_millis(ms)).await;
        }
        if faults.table_down == Some(true) {
            return control::close_connection(&req.connection);
        }
        let target = req.header("x-amz-target");
        let operation = target.strip_prefix(table::PROTOCOL).unwrap_or_default();
        let response = {
            let mut state = self.state.lock();
            let now = self.timer.now();
            let State { faults, table, .. } = &mut *state;
            let response = table.execute(now, faults, operation, &req.body);
            let lost = operation == table::COMMIT && response.is_ok() && take_lost_answer(faults);
            table.record_lost(lost);
            (response, lost)
        };
        match response {
            (_, true) => control::close_connection(&req.connection),
            (Ok(text), _) => dynamodb_response(200, text),
            (Err(error), _) => dynamodb_response(error.status(), error.body()),
        }
    }

    fn object(&self, req: &ReceivedRequest, key: &str) -> Response<Body> {
        let mut state = self.state.lock();
        if state.faults.objects_down == Some(true) {
            return Reply::new(503).done();
        }
        if req.method == "PUT" {
            state.objects.insert(key.to_owned(), req.body.clone());
            return Reply::new(200).done();
        }
        match state.objects.get(key) {
            Some(body) => Reply::new(200).with_body(full(body.clone())).done(),
            None => Reply::new(404).done(),
        }
    }

    fn slices(&self) -> Response<Body> {
        let state = self.state.lock();
        if state.faults.directory_down == Some(true) {
            return Reply::new(503).done();
        }
        let lag = Duration::from_millis(state.faults.directory_lag_ms.unwrap_or(0));
        let now = self.timer.now();
        Reply::json(200, &state.directory.slices(now.saturating_sub(lag))).done()
    }

    fn control(&self, req: &ReceivedRequest) -> Result<Response<Body>, ErrorResponse> {
        let now = self.timer.now();
        match req.path.as_str() {
            "/control/faults" => self.set_faults(req.json()?),
            "/control/register" => self.register(req.json()?),
            "/control/remove" => {
                let entry: DirectoryEntry = req.json()?;
                self.state.lock().directory.remove(now, &entry.name);
            }
            "/control/log" => return Ok(Reply::json(200, &self.log()).done()),
            _ => return Err(control::not_found().into()),
        }
        Ok(control::empty_ok())
    }

    fn is_cut_off(&self, req: &ReceivedRequest) -> bool {
        let state = self.state.lock();
        let Some(cut_off) = &state.faults.cut_off else {
            return false;
        };
        let token = req.header("authorization").trim_start_matches("Bearer ");
        cut_off.iter().any(|name| name == token)
    }
}

#[async_trait]
impl Handler for Platform {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let Some(req) = ReceivedRequest::read(req).await else {
            return Reply::new(400).done();
        };
        if req.path.starts_with("/control/") {
            return self.control(&req).unwrap_or_else(|response| *response);
        }
        if self.is_cut_off(&req) {
            return control::close_connection(&req.connection);
        }
        if let Some(key) = req.path.strip_prefix(OBJECTS) {
            return self.object(&req, key);
        }
        match req.path.as_str() {
            "/" => self.table(&req).await,
            SLICES => self.slices(),
            _ => control::not_found(),
        }
    }
}

fn take_lost_answer(faults: &mut Faults) -> bool {
    let Some(remaining @ 1..) = faults.lose_answers else {
        return false;
    };
    faults.lose_answers = Some(remaining - 1);
    true
}

fn dynamodb_response(status: u16, text: String) -> Response<Body> {
    Reply::new(status)
        .with_header("content-type", "application/x-amz-json-1.0")
        .with_body(full(text))
        .done()
}
