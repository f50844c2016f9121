//! A listening socket that is closed for moments and opened again on the same port.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    sync::Arc,
    time::Duration,
};

use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};
use smol::{Async, Timer};

/// How long to wait before the owner of a closed socket is asked whether to open it again.
const CLOSED_POLL_PERIOD: Duration = Duration::from_millis(10);

/// A listening socket.
pub struct Listener {
    addr: SocketAddr,
    /// None while it is closed.
    socket: Option<Arc<Async<TcpListener>>>,
    /// A bound socket that does not listen. Without it an outgoing connection might be given the port while the
    /// listening socket is closed.
    reservation: Option<OwnedFd>,
}

impl Listener {
    /// Listens on an address; port 0 picks a free port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = Async::<TcpListener>::bind(addr)?;
        Ok(Self {
            addr: socket.get_ref().local_addr()?,
            socket: Some(Arc::new(socket)),
            reservation: None,
        })
    }

    /// The address that it listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the socket is open.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Waits until a connection can be accepted, or for a moment while the socket is closed.
    ///
    /// # Errors
    /// Fails if the system does not report readiness.
    pub async fn ready(&self) -> io::Result<()> {
        match &self.socket {
            Some(socket) => socket.readable().await,
            None => {
                Timer::after(CLOSED_POLL_PERIOD).await;
                Ok(())
            }
        }
    }

    /// Accepts a connection.
    ///
    /// # Errors
    /// Fails as the system's call does; with `WouldBlock` if there is none, or while the socket is closed.
    pub fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let socket = self.socket.as_ref().ok_or(ErrorKind::WouldBlock)?;
        socket.get_ref().accept()
    }

    /// Closes the socket: new connections are refused, and those that were not accepted are reset.
    pub fn close(&mut self) {
        self.socket = None;
        if self.reservation.is_none() {
            // Without a reservation the port is usually free as well.
            self.reservation = reserve(self.addr).ok();
        }
    }

    /// Opens the socket again.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn open(&mut self) -> io::Result<()> {
        let socket = Async::<TcpListener>::bind(self.addr)?;
        self.socket = Some(Arc::new(socket));
        Ok(())
    }
}

/// Binds a socket to an address, beside which another one may be bound and listen.
fn reserve(addr: SocketAddr) -> io::Result<OwnedFd> {
    let family = match addr {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &addr)?;
    Ok(socket)
}
