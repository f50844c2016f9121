//! Closes connections whose peer may still be sending.

use std::{net::Shutdown, time::Duration};

use smol::{future, io::AsyncReadExt, net::TcpStream};
use timer::Timer;

/// Longest time for which the peer may go on sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 2 * 1024;

/// Closes a connection. Bytes that still arrive are read and discarded until the peer closes its
/// side, at most for `LINGER_TIMEOUT`; `expects_more` says that some are expected.
///
/// The kernel resets a connection that is closed with unread bytes or while more arrive, and the
/// reset may reach the peer before it has read its response.
pub async fn close(mut stream: TcpStream, expects_more: bool) {
    // Fails only if the connection is already closed.
    let _ = stream.shutdown(Shutdown::Write);
    let read = future::poll_once(stream.read(&mut [0])).await;
    let more = match read {
        Some(read) => read.is_ok_and(|len| len > 0),
        None => expects_more,
    };
    if !more {
        return;
    }
    let rest = async {
        let mut buf = vec![0; BUFFER_BYTES];
        while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
            // A peer that sends quickly would keep the timeout from being noticed.
            future::yield_now().await;
        }
    };
    // A peer that sends for longer may lose its response to the reset.
    let _ = Timer::new().within(LINGER_TIMEOUT, rest).await;
}

/// Makes the end of a connection a reset: the peer does not take it for the end of a response, and what is still on
/// its way is lost.
pub fn reset(stream: &TcpStream) {
    // Fails only if the connection is already closed.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
