//! Receiving with the time at which the system got the bytes, which a process that was stopped or busy meanwhile can't tell by
//! its own clock.

use std::io::{self, IoSliceMut};
use std::os::fd::AsRawFd;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use socket2::Socket;

/// Room for the control message that carries one timestamp, and for its header.
const CONTROL_BUFFER_BYTES: usize = 64;

/// The memory into which the system writes control messages, aligned as their headers need it.
#[repr(align(8))]
struct ControlBuffer([u8; CONTROL_BUFFER_BYTES]);

/// Bytes received from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// Number of bytes; 0 if the peer has closed its side.
    pub bytes: usize,
    /// When the system got the last of them, by the system's clock; none if it did not record that.
    pub arrived_at: Option<SystemTime>,
}

/// Has the system record when bytes arrive on the connections that are accepted from this listener, those in its backlog
/// included.
///
/// # Errors
/// If the system does not support it.
pub fn record_arrivals(listener: &Socket) -> io::Result<()> {
    Ok(setsockopt(listener, sockopt::ReceiveTimestampns, &true)?)
}

/// Receives bytes from a connection.
///
/// # Errors
/// If the connection has failed, or no bytes are available.
pub fn receive(socket: &Socket, buffer: &mut [u8]) -> io::Result<Received> {
    let mut control = ControlBuffer([0; CONTROL_BUFFER_BYTES]);
    let mut slices = [IoSliceMut::new(buffer)];
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut slices, Some(&mut control.0), MsgFlags::empty())?;
    let timestamps = message.cmsgs()?.filter_map(|control_message| match control_message {
        ControlMessageOwned::ScmTimestampns(time) => Some(UNIX_EPOCH + Duration::from(time)),
        _ => None,
    });
    Ok(Received { bytes: message.bytes, arrived_at: timestamps.last() })
}
