//! Closing connections whose other side may still be sending.

use std::{net::Shutdown, time::Duration};

use smol::{future, io::AsyncReadExt, net::TcpStream};
use timer::Timer;

/// Longest time for which the other side may send on.
const LIMIT: Duration = Duration::from_secs(1);
/// Bytes read at once.
const BUFFER: usize = 2 * 1024;

/// Closes a connection. What still comes in is read and thrown away until the other side closes
/// too, for a while at most; `owed` tells that some is expected.
///
/// Closed with unread bytes, or while more arrive, a connection is reset, and the reset may reach
/// the other side before it has read its answer.
pub async fn close(mut stream: TcpStream, owed: bool) {
    // Fails only where there is no connection left to close.
    let _ = stream.shutdown(Shutdown::Write);
    let read = future::poll_once(stream.read(&mut [0])).await;
    let more = match read {
        Some(read) => read.is_ok_and(|len| len > 0),
        None => owed,
    };
    if !more {
        return;
    }
    let rest = async {
        let mut buf = vec![0; BUFFER];
        while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
    };
    // Whoever sends for longer loses its answer with the connection.
    let _ = Timer::new().within(LIMIT, rest).await;
}

/// Breaks a connection off, so that the other side does not take its end for the end of an answer.
pub fn reset(stream: &TcpStream) {
    // Fails only where there is no connection left to break.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
