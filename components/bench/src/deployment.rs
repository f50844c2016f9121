//! A whole deployment on one machine: a platform, engines, plain services and instances.

use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use net::Client;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use settings::Strategy;
use smol::Timer;
use standins::{
    control::{self, DirectoryEntry},
    lifecycle::{Faults, LifecycleSettings},
    platform,
};
use tree::{Node, NodePath};

use crate::{
    process::{Process, Programs, Signal},
    verify::Logs,
};

pub use crate::plan::{OPERATOR_KEY, Plan, key_of};

/// Time for instances to become ready, and for a configuration to be accepted.
const START_PATIENCE: Duration = Duration::from_secs(60);
/// Bytes of an answer of the administration API at most.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Time between two looks.
const POLL: Duration = Duration::from_millis(50);
/// Name under which instances are listed.
const MEMBERS: &str = "celerystand";

/// One instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Its process; `None` while it is down.
    pub process: Option<Process>,
    settings: PathBuf,
    log: PathBuf,
}

/// One stand-in.
pub struct Standin {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its process.
    pub process: Process,
}

/// A deployment; all its processes end when it is dropped.
pub struct Deployment {
    /// The instances.
    pub instances: Vec<Instance>,
    /// The engines.
    pub engines: Vec<Standin>,
    /// The plain services.
    pub services: Vec<Standin>,
    /// The platform.
    pub platform: Standin,
    programs: Programs,
    client: Client,
    dir: PathBuf,
    keep: bool,
}

impl Deployment {
    /// Starts everything and waits until all instances take work. Logs and settings lie in `dir`
    /// afterwards, or in a directory that goes with the deployment.
    ///
    /// # Errors
    /// Passes on what did not start, or did not become ready in time.
    pub async fn start(
        programs: Programs,
        plan: &Plan,
        strategy: Strategy,
        dir: Option<&Path>,
    ) -> io::Result<Self> {
        let fresh = std::env::temp_dir().join(format!("celerystand-{:x}", fastrand::u64(..)));
        let place = dir.map_or(fresh, Path::to_owned);
        fs::create_dir_all(&place)?;
        let platform = start_platform(&programs, plan)?;
        let mut deployment = Self {
            instances: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            programs,
            client: Client::new(),
            dir: place,
            keep: dir.is_some(),
        };
        deployment.start_targets(plan)?;
        for number in 0..plan.instances {
            let instance = deployment.place_instance(plan, strategy, number)?;
            deployment.instances.push(instance);
            deployment.start_instance(number).await?;
        }
        deployment.write_tree(plan).await?;
        deployment.until_ready().await?;
        Ok(deployment)
    }

    /// Starts an instance that is down, with the settings it had, and lists it.
    ///
    /// # Errors
    /// Passes on why it did not start.
    pub async fn start_instance(&mut self, number: usize) -> io::Result<()> {
        let program = self.programs.celerystand.clone();
        let instance = &mut self.instances[number];
        let settings = instance.settings.to_string_lossy().into_owned();
        let args = ["serve", "--settings", &settings];
        instance.process = Some(Process::start(&program, &args, &instance.log)?);
        self.list(number, false).await;
        Ok(())
    }

    /// Sends a signal to an instance; one that is killed stays listed, as it would.
    pub fn signal(&mut self, number: usize, signal: Signal) {
        let instance = &mut self.instances[number];
        if let Some(process) = &mut instance.process {
            process.signal(signal);
        }
        if signal == Signal::Kill {
            instance.process = None;
        }
    }

    /// Stops an instance as planned: listed as leaving, asked to end, taken off the list. Tells
    /// whether it ended in time.
    pub async fn stop_instance(&mut self, number: usize, patience: Duration) -> bool {
        self.list(number, true).await;
        self.signal(number, Signal::Terminate);
        let Some(mut process) = self.instances[number].process.take() else {
            return true;
        };
        let ended = process.ended(patience).await;
        let entry = self.entry(number, true);
        self.post(self.platform.addr, "/control/remove", &entry)
            .await;
        ended
    }

    /// Sets faults of a target.
    pub async fn fault(&self, target: SocketAddr, faults: &Faults) {
        self.post(target, "/control/faults", faults).await;
    }

    /// Sets faults of the platform.
    pub async fn platform_fault(&self, faults: &platform::Faults) {
        self.post(self.platform.addr, "/control/faults", faults)
            .await;
    }

    /// Reads a stand-in's log.
    pub async fn log<T: DeserializeOwned>(&self, standin: SocketAddr, path: &str) -> Option<T> {
        let body = self.post(standin, path, &()).await;
        serde_json::from_slice(&body).ok()
    }

    /// Reads the logs of all targets that answer.
    pub async fn logs(&self) -> Logs {
        Logs {
            engines: self.logs_of(&self.engines).await,
            services: self.logs_of(&self.services).await,
        }
    }

    async fn logs_of<T: DeserializeOwned>(&self, standins: &[Standin]) -> BTreeMap<String, T> {
        let mut logs = BTreeMap::new();
        for standin in standins {
            if let Some(log) = self.log(standin.addr, "/control/log").await {
                logs.insert(standin.name.clone(), log);
            }
        }
        logs
    }

    /// Takes a data centre out or back in, through any instance that accepts it.
    pub async fn turn(&self, zone: &str, direction: &str) -> bool {
        let path = format!("/v1/data-centres/{zone}/{direction}");
        for instance in self.instances.iter().filter(|i| i.process.is_some()) {
            if self
                .operate(instance.admin, "POST", &path, Bytes::new())
                .await
                == Some(200)
            {
                return true;
            }
        }
        false
    }

    /// Sends a request to the administration API; gives the status.
    pub async fn operate(
        &self,
        admin: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Option<u16> {
        let answer = self.ask(admin, method, path, body).await;
        answer.map(|(status, _)| status)
    }

    async fn ask(
        &self,
        admin: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .ok()?;
        let timer = timer::Timer::new();
        let resp = timer.within(START_PATIENCE, self.client.send(admin, req));
        let resp = resp.await?.ok()?;
        let status = resp.status().as_u16();
        let body = net::read_all(resp.into_body(), ANSWER_LIMIT, START_PATIENCE);
        Some((status, body.await.ok()?))
    }

    /// Where callers connect to the instances that run.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let up = self.instances.iter().filter(|i| i.process.is_some());
        up.map(|i| i.listen).collect()
    }

    /// Whether an instance says that it takes work.
    pub async fn is_ready(&self, number: usize) -> bool {
        let admin = self.instances[number].admin;
        self.operate(admin, "GET", "/ready", Bytes::new()).await == Some(200)
    }

    /// The configuration version in force at an instance, 0 if it does not say.
    pub async fn version(&self, number: usize) -> u64 {
        let admin = self.instances[number].admin;
        let answer = self.ask(admin, "GET", "/v1/status", Bytes::new()).await;
        let status = answer.and_then(|(_, body)| serde_json::from_slice::<Status>(&body).ok());
        status.and_then(|s| s.config_version).unwrap_or(0)
    }

    /// Waits until all instances that run say that they take work, and have the configuration
    /// that the first one has.
    ///
    /// # Errors
    /// Names the first that does not in time.
    pub async fn until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_PATIENCE;
        let newest = self.version(0).await;
        for number in 0..self.instances.len() {
            let runs = self.instances[number].process.is_some();
            while runs && !(self.is_ready(number).await && self.version(number).await >= newest) {
                if Instant::now() > until {
                    return Err(self.late(number));
                }
                Timer::after(POLL).await;
            }
        }
        Ok(())
    }

    /// The end of an instance's log.
    #[must_use]
    pub fn tail(&self, number: usize) -> String {
        let text = fs::read_to_string(&self.instances[number].log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }

    fn late(&self, number: usize) -> io::Error {
        let name = &self.instances[number].name;
        let tail = self.tail(number);
        io::Error::other(format!("{name} did not become ready:\n{tail}"))
    }

    fn start_targets(&mut self, plan: &Plan) -> io::Result<()> {
        let platform = self.platform.addr;
        let life = |base: &LifecycleSettings, service: &str, name: String, number: usize| {
            LifecycleSettings {
                name,
                service: service.to_owned(),
                zone: plan.zone(number),
                platform: Some(platform),
                ..base.clone()
            }
        };
        for number in 0..plan.engines {
            let mut settings = plan.engine.clone();
            settings.seed = number as u64;
            settings.lifecycle = life(
                &settings.lifecycle,
                &plan.model,
                format!("e{number}"),
                number,
            );
            let engine = start_standin(&self.programs, "engine", &settings.lifecycle, &settings)?;
            self.engines.push(engine);
        }
        for number in 0..plan.replicas {
            let mut settings = plan.replica.clone();
            settings.seed = number as u64;
            settings.lifecycle = life(
                &settings.lifecycle,
                &plan.service,
                format!("s{number}"),
                number,
            );
            let service = start_standin(&self.programs, "service", &settings.lifecycle, &settings)?;
            self.services.push(service);
        }
        Ok(())
    }

    fn place_instance(
        &self,
        plan: &Plan,
        strategy: Strategy,
        number: usize,
    ) -> io::Result<Instance> {
        let settings = plan.settings(strategy, number, self.platform.addr)?;
        let name = settings.instance.id.to_string();
        let path = self.dir.join(format!("{name}.yml"));
        let text = serde_saphyr::to_string(&settings).map_err(io::Error::other)?;
        fs::write(&path, text)?;
        Ok(Instance {
            zone: plan.zone(number),
            listen: settings.instance.listen,
            admin: settings.instance.admin,
            peer: settings.instance.peer,
            process: None,
            settings: path,
            log: self.dir.join(format!("{name}.log")),
            name,
        })
    }

    async fn write_tree(&self, plan: &Plan) -> io::Result<()> {
        let document = Document {
            nodes: plan.nodes(),
        };
        let body = Bytes::from(serde_json::to_vec(&document).map_err(io::Error::other)?);
        let until = Instant::now() + START_PATIENCE;
        loop {
            let admin = self.instances[0].admin;
            let status = self.operate(admin, "PUT", "/v1/tree", body.clone()).await;
            if status == Some(200) {
                return Ok(());
            }
            if Instant::now() > until || matches!(status, Some(400..=499)) {
                let tail = self.tail(0);
                let text = format!("the tree was not accepted ({status:?}):\n{tail}");
                return Err(io::Error::other(text));
            }
            Timer::after(POLL).await;
        }
    }

    async fn list(&self, number: usize, leaving: bool) {
        let entry = self.entry(number, leaving);
        self.post(self.platform.addr, "/control/register", &entry)
            .await;
    }

    fn entry(&self, number: usize, leaving: bool) -> DirectoryEntry {
        let instance = &self.instances[number];
        DirectoryEntry {
            name: instance.name.clone(),
            service: MEMBERS.to_owned(),
            zone: instance.zone.clone(),
            addr: instance.peer.to_string(),
            incarnation: 1,
            leaving,
        }
    }

    async fn post(&self, addr: SocketAddr, path: &str, msg: &impl Serialize) -> Bytes {
        control::post(&self.client, addr, path, msg).await
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.clear();
        if !self.keep {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    config_version: Option<u64>,
}

#[derive(Serialize)]
struct Document {
    nodes: BTreeMap<NodePath, Node>,
}

fn start_platform(programs: &Programs, plan: &Plan) -> io::Result<Standin> {
    let life = LifecycleSettings {
        name: "platform".to_owned(),
        ..LifecycleSettings::default()
    };
    start_standin(programs, "platform", &life, &plan.platform)
}

fn start_standin(
    programs: &Programs,
    kind: &str,
    life: &LifecycleSettings,
    settings: &impl Serialize,
) -> io::Result<Standin> {
    let text = serde_json::to_string(settings)?;
    let (process, addr) = Process::start_standin(&programs.standin, &[kind, "--with", &text])?;
    Ok(Standin {
        name: life.name.clone(),
        zone: life.zone.clone(),
        addr,
        process,
    })
}
