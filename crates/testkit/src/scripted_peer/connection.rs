//! Reset and orderly close of a scripted peer's connections.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use rustix::net::sockopt;

/// Resets the connection, without an orderly close before the reset.
pub(super) fn reset(socket: TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(&socket, Some(Duration::ZERO))?;
    drop(socket);
    Ok(())
}

/// Shuts down the sending side immediately. Dropping the socket is not enough: the connection stays open as long as a child
/// process that another thread is starting still holds a copy of this process's descriptors.
pub(super) fn close(socket: &TcpStream) {
    // Fails if the peer has already closed the connection.
    let _ = socket.shutdown(Shutdown::Write);
}
