//! The two ways in which a scripted peer ends a connection.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use rustix::net::sockopt;

/// Ends the connection by a reset, with no orderly close before it.
pub(super) fn reset(socket: TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(&socket, Some(Duration::ZERO))?;
    drop(socket);
    Ok(())
}

/// Closes the sending side in order, at once. A socket that is only dropped stays open for as long as a program that
/// another thread is starting still holds a copy of this process's descriptors.
pub(super) fn close(socket: &TcpStream) {
    // It fails where the other side has closed it already.
    let _ = socket.shutdown(Shutdown::Write);
}
