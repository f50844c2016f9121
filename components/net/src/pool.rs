//! Idle connections kept for later requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::client::Sender;

/// An idle connection older than this is not used again: something on the way may have lost
/// track of it. It is also below the five seconds after which widespread servers close idle
/// connections; a request sent just then would be lost, and nobody could tell whether it ran.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Idle connections kept to one address.
const IDLE_PER_ADDR: usize = 64;
/// Time between two sweeps.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// A connection that still works so long after its address was forgotten has proved itself.
const FORGOTTEN_FOR: Duration = Duration::from_secs(60);

/// A connection.
pub struct Conn {
    /// Where requests go in.
    pub sender: Sender,
    /// When it was made.
    made: Instant,
}

impl Conn {
    /// Notes that a connection was made just now.
    pub fn new(sender: Sender) -> Self {
        Self {
            sender,
            made: Instant::now(),
        }
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

impl Idle {
    fn is_good(&self) -> bool {
        self.since.elapsed() < IDLE_LIMIT && self.conn.sender.is_ready()
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
    /// When all connections to an address became suspect.
    forgotten: HashMap<SocketAddr, Instant>,
    swept: Option<Instant>,
}

impl Pool {
    /// Takes the connection that was used last.
    pub fn take(&mut self, addr: SocketAddr) -> Option<Conn> {
        let list = self.idle.get_mut(&addr)?;
        while let Some(last) = list.pop() {
            if last.is_good() {
                return Some(last.conn);
            }
        }
        self.idle.remove(&addr);
        None
    }

    /// Keeps a connection, unless its address was forgotten since it was made.
    pub fn keep(&mut self, addr: SocketAddr, conn: Conn) {
        self.sweep();
        let forgotten = self.forgotten.get(&addr);
        if forgotten.is_some_and(|at| conn.made <= *at) {
            return;
        }
        let list = self.idle.entry(addr).or_default();
        if list.len() < IDLE_PER_ADDR {
            list.push(Idle {
                conn,
                since: Instant::now(),
            });
        }
    }

    /// Closes all connections to an address. Those in use are closed after it: they may be as
    /// lost as the one that made them suspect.
    pub fn close_connections(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
        self.forgotten.insert(addr, Instant::now());
    }

    /// Connections kept to an address.
    pub fn count(&self, addr: SocketAddr) -> usize {
        self.idle.get(&addr).map_or(0, Vec::len)
    }

    /// Closes what is too old. The last used go first, so the oldest would otherwise stay open
    /// for good, as would those to targets that are gone; one would run out of descriptors.
    fn sweep(&mut self) {
        if self.swept.is_some_and(|at| at.elapsed() < SWEEP_PERIOD) {
            return;
        }
        self.swept = Some(Instant::now());
        self.forgotten.retain(|_, at| at.elapsed() < FORGOTTEN_FOR);
        self.idle.retain(|_, list| {
            list.retain(Idle::is_good);
            !list.is_empty()
        });
    }
}
