//! Classifies failed system calls on sockets: whether the failure is local or remote, and when to retry.

use std::fmt;
use std::io;

use rustix::io::Errno;

/// What to do after `accept` has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// Call it again at once. At most the first connection in the queue was lost:
    ///
    /// - `EINTR`: a signal arrived;
    /// - `ECONNABORTED`, `ECONNRESET`: that client has closed its connection;
    /// - `EPROTO`, `EPERM`: a protocol error, or a firewall rule against that client;
    /// - `ENETDOWN`, `ENOPROTOOPT`, `EHOSTDOWN`, `ENONET`, `EHOSTUNREACH`, `EOPNOTSUPP`, `ENETUNREACH`, `ETIMEDOUT`: errors
    ///   of the network that were pending on that connection; accept(2) says to treat them like `EAGAIN`.
    TakeNext,
    /// Call it again after a short delay: waiting connections stay in the queue. `EMFILE`, `ENFILE`, `ENOBUFS` and `ENOMEM`
    /// pass once something is closed, and after all other errors an immediate call would fail again.
    TryLater,
}

impl AcceptFailure {
    /// Returns what to do after this error of `accept`.
    pub fn of(error: &io::Error) -> AcceptFailure {
        const TAKE_NEXT: [Errno; 13] = [
            Errno::INTR,
            Errno::CONNABORTED,
            Errno::CONNRESET,
            Errno::PROTO,
            Errno::PERM,
            Errno::NETDOWN,
            Errno::NOPROTOOPT,
            Errno::HOSTDOWN,
            Errno::NONET,
            Errno::HOSTUNREACH,
            Errno::OPNOTSUPP,
            Errno::NETUNREACH,
            Errno::TIMEDOUT,
        ];
        if is_one_of(error, &TAKE_NEXT) { AcceptFailure::TakeNext } else { AcceptFailure::TryLater }
    }
}

/// Why a connection to an endpoint could not be started.
#[derive(Debug)]
pub enum ConnectFailure {
    /// This machine lacks a resource, whatever the state of the endpoint. This includes all errors of `socket`, `fcntl` and
    /// `epoll_ctl`, which do not involve the endpoint, and these errors of `connect`:
    ///
    /// - `EADDRNOTAVAIL`, `EADDRINUSE`, `EAGAIN`: no local port is left, or no space in the routing cache;
    /// - `ENETUNREACH`, `ENETDOWN`: this machine has no route, or its interface is down;
    /// - `ENOBUFS`, `ENOMEM`, `EMFILE`, `ENFILE`: no memory, or no descriptor;
    /// - `EACCES`, `EPERM`: a rule of this machine's firewall;
    /// - `EAFNOSUPPORT`: this machine does not support the address family.
    Local(io::Error),
    /// The endpoint or the path to it failed: `ECONNREFUSED`, `ETIMEDOUT`, `EHOSTUNREACH`, `EHOSTDOWN`, `ECONNRESET`, and all
    /// other errors of `connect`.
    Remote(io::Error),
}

impl ConnectFailure {
    /// Classifies an error of `connect`.
    pub fn of_connect(error: io::Error) -> ConnectFailure {
        const LOCAL: [Errno; 12] = [
            Errno::ADDRNOTAVAIL,
            Errno::ADDRINUSE,
            Errno::AGAIN,
            Errno::NETUNREACH,
            Errno::NETDOWN,
            Errno::NOBUFS,
            Errno::NOMEM,
            Errno::MFILE,
            Errno::NFILE,
            Errno::ACCESS,
            Errno::PERM,
            Errno::AFNOSUPPORT,
        ];
        if is_one_of(&error, &LOCAL) { ConnectFailure::Local(error) } else { ConnectFailure::Remote(error) }
    }
}

impl fmt::Display for ConnectFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConnectFailure::Local(error) => write!(f, "this machine: {error}"),
            ConnectFailure::Remote(error) => error.fmt(f),
        }
    }
}

impl From<ConnectFailure> for io::Error {
    fn from(failure: ConnectFailure) -> io::Error {
        match failure {
            ConnectFailure::Local(error) | ConnectFailure::Remote(error) => error,
        }
    }
}

/// Consecutive local failures at one endpoint before they may count against it.
const MIN_LOCAL_FAILURES: u32 = 3;

/// Consecutive local failures at one endpoint. A shortage on this machine affects all endpoints; a failure that persists for a
/// single endpoint, such as a missing route or all local ports taken by connections to it, makes that endpoint unreachable
/// from this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalFailures {
    count: u32,
    /// When the first of them occurred, in Unix seconds.
    first_failure_at: f64,
}

impl LocalFailures {
    /// Records another failure. Returns whether the failures now count against the endpoint: there are enough, they have lasted
    /// for `min_duration_seconds`, and a connection to another endpoint was started in the meantime, the last one at
    /// `last_connect_elsewhere_at`.
    pub fn record(&mut self, now: f64, min_duration_seconds: f64, last_connect_elsewhere_at: f64) -> bool {
        if self.count == 0 {
            self.first_failure_at = now;
        }
        self.count = self.count.saturating_add(1);
        self.count >= MIN_LOCAL_FAILURES
            && now - self.first_failure_at >= min_duration_seconds
            && last_connect_elsewhere_at > self.first_failure_at
    }
}

fn is_one_of(error: &io::Error, known: &[Errno]) -> bool {
    known.iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}
