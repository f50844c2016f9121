//! A pool of idle connections for later requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};
use smol::net::TcpStream;

use crate::{
    bounded_stream::HeadBudget, carried::Carried, client::Sender, connection_use::ConnectionUse,
};

/// A connection that has been idle for longer is not reused: a NAT device or firewall on the path
/// may have dropped its state. The time is below the five seconds after which common servers close
/// idle connections; a request sent at that moment would be lost without a way to tell whether it
/// ran.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_IDLE_PER_ADDR: usize = 64;
/// Idle connections to an address that are kept although none of them may carry a request.
const MAX_PASSED_OVER: usize = 4;
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// How long after [`Pool::close_connections`] older connections are still closed. One that still
/// works after that time is not suspect.
const SUSPECT_FOR: Duration = Duration::from_secs(60);

/// How long the connections to a server are used once after it has sent a response that was not the request's own:
/// others may be on their way.
const SINGLE_USE_TIME: Duration = Duration::from_secs(10);

/// The most bytes that are looked at before a request is sent.
const PEEKED_BYTES: usize = 512;

/// Number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// An open connection.
pub struct Conn {
    number: u64,
    /// Sends requests over the connection.
    pub sender: Sender,
    /// Bounds the head of a response.
    pub head: Arc<HeadBudget>,
    /// The connection itself, until it is closed.
    stream: Weak<TcpStream>,
    created_at: Instant,
    /// The named requests that it has carried.
    carried: Carried,
    responses: u32,
    /// Bytes that had arrived when the latest request was sent.
    unexpected_bytes: usize,
}

impl Conn {
    /// Wraps a connection that has just been opened.
    pub fn new(sender: Sender, head: Arc<HeadBudget>, stream: Weak<TcpStream>) -> Self {
        Self {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            sender,
            head,
            stream,
            created_at: Instant::now(),
            carried: Carried::default(),
            responses: 0,
            unexpected_bytes: 0,
        }
    }

    /// Begins a request, whose response is awaited from now on. `name` is what the response names.
    pub fn begin(&mut self, name: Option<&str>) {
        if let Some(name) = name {
            self.carried.record(name);
        }
        self.unexpected_bytes = self.unread_bytes().unwrap_or_default();
        self.head.begin();
    }

    /// Records the head of a response; returns how the connection had been used until then. `named` is what the
    /// response names, if that is not the name of its request.
    pub fn record_response(&mut self, named: Option<&str>) -> ConnectionUse {
        let earlier_responses = self.responses;
        self.responses = self.responses.saturating_add(1);
        ConnectionUse {
            number: self.number,
            age: self.created_at.elapsed(),
            earlier_responses,
            names_earlier: named.is_some_and(|named| self.carried.contains(named)),
            unexpected_bytes: self.unexpected_bytes,
            received_bytes: self.head.end(),
        }
    }

    /// Bytes that have arrived and were not read yet, up to [`PEEKED_BYTES`]; none if the connection is closed.
    fn unread_bytes(&self) -> Option<usize> {
        let stream = self.stream.upgrade()?;
        let mut buf = [0; PEEKED_BYTES];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(&*stream, &mut buf[..], flags) {
            Ok((0, _)) => None,
            Ok((count, _)) => Some(count),
            Err(Errno::AGAIN) => Some(0),
            Err(_) => None,
        }
    }
}

struct Idle {
    conn: Conn,
    idle_since: Instant,
}

impl Idle {
    /// Bytes that have arrived on an idle connection belong to no request. What follows them could be taken
    /// for the response to the next one.
    fn is_reusable(&self) -> bool {
        self.idle_since.elapsed() < IDLE_TIMEOUT
            && self.conn.sender.is_ready()
            && self.conn.unread_bytes() == Some(0)
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
    /// By address, when all connections that existed then became suspect.
    suspect_since: HashMap<SocketAddr, Instant>,
    /// By address, until when connections are used once.
    single_use_until: HashMap<SocketAddr, Instant>,
    last_sweep: Option<Instant>,
}

impl Pool {
    /// Takes the most recently used connection that has not carried the request with this name. If all have, keeps
    /// [`MAX_PASSED_OVER`] of them: a name that is sent again and again would otherwise fill the pool.
    pub fn take(&mut self, addr: SocketAddr, name: Option<&str>) -> Option<Conn> {
        let list = self.idle.get_mut(&addr)?;
        let has_carried = |conn: &Conn| name.is_some_and(|name| conn.carried.contains(name));
        for number in (0..list.len()).rev() {
            if has_carried(&list[number].conn) {
                continue;
            }
            let idle = list.remove(number);
            if idle.is_reusable() {
                return Some(idle.conn);
            }
        }
        if list.len() > MAX_PASSED_OVER {
            list.remove(0);
        }
        if list.is_empty() {
            self.idle.remove(&addr);
        }
        None
    }

    /// Stores an idle connection, or closes it if it may carry no more requests.
    pub fn put(&mut self, addr: SocketAddr, conn: Conn) {
        self.sweep();
        if !self.may_reuse(addr, &conn) {
            return;
        }
        let list = self.idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDR {
            list.push(Idle {
                conn,
                idle_since: Instant::now(),
            });
        }
    }

    fn may_reuse(&self, addr: SocketAddr, conn: &Conn) -> bool {
        let suspect_since = self.suspect_since.get(&addr);
        let is_suspect = suspect_since.is_some_and(|at| conn.created_at <= *at);
        let single_use_until = self.single_use_until.get(&addr);
        let is_used_once = single_use_until.is_some_and(|until| Instant::now() < *until);
        !conn.carried.is_full() && !is_suspect && !is_used_once
    }

    /// Closes all connections to an address, and for [`SINGLE_USE_TIME`] also each new one after its first request.
    pub fn use_once(&mut self, addr: SocketAddr) {
        self.close_connections(addr);
        let until = Instant::now() + SINGLE_USE_TIME;
        self.single_use_until.insert(addr, until);
    }

    /// Closes all connections to an address. Those in use are closed after their request: they may
    /// have failed in the same way as the one that made them suspect.
    pub fn close_connections(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
        self.suspect_since.insert(addr, Instant::now());
    }

    /// Number of idle connections to an address.
    pub fn count(&self, addr: SocketAddr) -> usize {
        self.idle.get(&addr).map_or(0, Vec::len)
    }

    /// Whether an idle connection to an address is open, whatever it has carried.
    pub fn has_open(&self, addr: SocketAddr) -> bool {
        let list = self.idle.get(&addr);
        list.is_some_and(|list| list.iter().any(Idle::is_reusable))
    }

    /// Closes connections that have been idle for too long. [`Pool::take`] prefers the most
    /// recently used ones, so the oldest, and those to targets that no longer exist, would
    /// otherwise stay open until the process runs out of file descriptors.
    fn sweep(&mut self) {
        if self
            .last_sweep
            .is_some_and(|at| at.elapsed() < SWEEP_PERIOD)
        {
            return;
        }
        self.last_sweep = Some(Instant::now());
        self.suspect_since
            .retain(|_, at| at.elapsed() < SUSPECT_FOR);
        self.single_use_until
            .retain(|_, until| Instant::now() < *until);
        self.idle.retain(|_, list| {
            list.retain(Idle::is_reusable);
            !list.is_empty()
        });
    }
}
