//! What a failed system call on a socket means for the router: whom to blame, and when to try again.

use std::fmt;
use std::io;

use rustix::io::Errno;

/// What to do after `accept` has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// Call it again at once. Nothing was lost, or the connection that was first in the queue:
    ///
    /// - `EINTR`: a signal came;
    /// - `ECONNABORTED`, `ECONNRESET`: that client has given up;
    /// - `EPROTO`, `EPERM`: a protocol error, or a firewall rule against that client;
    /// - `ENETDOWN`, `ENOPROTOOPT`, `EHOSTDOWN`, `ENONET`, `EHOSTUNREACH`, `EOPNOTSUPP`, `ENETUNREACH`, `ETIMEDOUT`: errors
    ///   of the network that were pending on that connection; accept(2) has them treated like `EAGAIN`.
    TakeNext,
    /// Call it a little later: whoever waits stays in the queue. `EMFILE`, `ENFILE`, `ENOBUFS` and `ENOMEM` pass once
    /// something is closed, and all other errors would fail again at once.
    TryLater,
}

impl AcceptFailure {
    /// What to do after this error of `accept`.
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

/// Why a connection to an endpoint could not even be begun.
#[derive(Debug)]
pub enum ConnectFailure {
    /// This machine lacks something; that tells nothing about the endpoint. Everything that `socket`, `fcntl` and `epoll_ctl`
    /// report, as they know of no endpoint, and of what `connect` reports:
    ///
    /// - `EADDRNOTAVAIL`, `EADDRINUSE`, `EAGAIN`: no local port is left, or no space in the routing cache;
    /// - `ENETUNREACH`, `ENETDOWN`: this machine has no route, or its interface is down;
    /// - `ENOBUFS`, `ENOMEM`, `EMFILE`, `ENFILE`: no memory, or no descriptor;
    /// - `EACCES`, `EPERM`: a rule of this machine's firewall;
    /// - `EAFNOSUPPORT`: this machine speaks no such protocol.
    Local(io::Error),
    /// The endpoint, or the way to it: `ECONNREFUSED`, `ETIMEDOUT`, `EHOSTUNREACH`, `EHOSTDOWN`, `ECONNRESET`, and all else
    /// that `connect` reports.
    Remote(io::Error),
}

impl ConnectFailure {
    /// Whom this error of `connect` is blamed on.
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

/// So many local failures in a row at one endpoint may count against it.
const LOCAL_FAILURES: u32 = 3;

/// Local failures in a row at one endpoint. A lack of this machine hits all endpoints; what stays for one alone, such as a
/// missing route or all local ports taken by connections to it, makes that one unreachable from here.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalFailures {
    count: u32,
    since: f64,
}

impl LocalFailures {
    /// Notes one more, and tells whether they now count against the endpoint: they have lasted `at_least` seconds, and a
    /// connection to another endpoint was begun meanwhile, the last one at `others_at`.
    pub fn note(&mut self, now: f64, at_least: f64, others_at: f64) -> bool {
        if self.count == 0 {
            self.since = now;
        }
        self.count = self.count.saturating_add(1);
        self.count >= LOCAL_FAILURES && now - self.since >= at_least && others_at > self.since
    }
}

fn is_one_of(error: &io::Error, known: &[Errno]) -> bool {
    known.iter().any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}
