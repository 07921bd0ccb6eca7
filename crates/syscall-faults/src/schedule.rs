//! The fault schedule: which calls fail and how.
//!
//! A schedule is a list of rules separated by `;`:
//!
//! - `accept4:3:EPROTO`: the third call fails with `EPROTO`. Instead of a single number, a range can be given: `3-9`; `3-`
//!   for all calls from the third on; or `3-/2` for every second call from the third on. Counting starts when the schedule
//!   is armed.
//! - `connect@5432:1-:ENETUNREACH`: applies only to connections whose peer has this port. `@client` selects accepted
//!   connections, `@backend` connections that the program opened.
//! - `recv:1-:SHORT` shortens a transfer to one byte; `file:7:KILL` writes half of the buffer and kills the process.
//! - `seed=7,rate=0.02,calls=accept4+connect`: each of these calls fails with this probability, with one of the faults
//!   documented for it. The same seed gives the same sequence of faults for each kind of call.

use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

/// Kinds of calls that the schedule distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `accept` and `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `recv` on a stream.
    Receive,
    /// `send` and `sendmsg` on a stream.
    Send,
    /// `recv` on a datagram socket.
    ReceiveDatagram,
    /// `sendto` on a datagram socket.
    SendDatagram,
    /// `setsockopt`.
    SetOption,
    /// `getsockopt`.
    GetOption,
    /// `getpeername`.
    PeerName,
    /// `fcntl` with `F_SETFL`, which sets the status flags, including `O_NONBLOCK`.
    SetFlags,
    /// `shutdown`.
    Shutdown,
    /// `epoll_ctl` with `EPOLL_CTL_ADD`.
    EpollAdd,
    /// `epoll_wait` and `epoll_pwait2`.
    EpollWait,
    /// `poll` and `ppoll`.
    Poll,
    /// `write` to standard output.
    StandardOutput,
    /// `write` to a regular file.
    File,
}

/// Number of variants of [`Call`].
const CALL_KINDS: usize = 17;

/// How a single call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this `errno`.
    Errno(c_int),
    /// At most one byte is transferred.
    Short,
    /// Half of the buffer is written, then the process is killed.
    Kill,
}

/// The descriptors to which a rule applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// All descriptors.
    Any,
    /// Connections that the program accepted.
    Client,
    /// Sockets that the program opened.
    Backend,
    /// Connections whose peer has this port.
    Port(u16),
}

/// The descriptor on which a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Whether the descriptor is a connection that the program accepted, as opposed to a socket that it opened.
    pub accepted: bool,
    /// Port of the peer; 0 if there is none.
    pub peer_port: u16,
}

impl Side {
    fn matches(self, target: Target) -> bool {
        match self {
            Side::Any => true,
            Side::Client => target.accepted,
            Side::Backend => !target.accepted,
            Side::Port(port) => port == target.peer_port,
        }
    }
}

use libc::{
    EACCES, EADDRNOTAVAIL, EAGAIN, ECONNABORTED, ECONNREFUSED, ECONNRESET, EDQUOT, EHOSTDOWN, EHOSTUNREACH,
    EINTR, EINVAL, EIO, EMFILE, EMSGSIZE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENONET,
    ENOPROTOOPT, ENOSPC, ENOTCONN, EOPNOTSUPP, EPERM, EPIPE, EPROTO, ETIMEDOUT,
};

const ERRNO_NAMES: [(&str, c_int); 28] = [
    ("EACCES", EACCES),
    ("EADDRNOTAVAIL", EADDRNOTAVAIL),
    ("EAGAIN", EAGAIN),
    ("ECONNABORTED", ECONNABORTED),
    ("ECONNREFUSED", ECONNREFUSED),
    ("ECONNRESET", ECONNRESET),
    ("EDQUOT", EDQUOT),
    ("EHOSTDOWN", EHOSTDOWN),
    ("EHOSTUNREACH", EHOSTUNREACH),
    ("EINTR", EINTR),
    ("EINVAL", EINVAL),
    ("EIO", EIO),
    ("EMFILE", EMFILE),
    ("EMSGSIZE", EMSGSIZE),
    ("ENETDOWN", ENETDOWN),
    ("ENETUNREACH", ENETUNREACH),
    ("ENFILE", ENFILE),
    ("ENOBUFS", ENOBUFS),
    ("ENOMEM", ENOMEM),
    ("ENONET", ENONET),
    ("ENOPROTOOPT", ENOPROTOOPT),
    ("ENOSPC", ENOSPC),
    ("ENOTCONN", ENOTCONN),
    ("EOPNOTSUPP", EOPNOTSUPP),
    ("EPERM", EPERM),
    ("EPIPE", EPIPE),
    ("EPROTO", EPROTO),
    ("ETIMEDOUT", ETIMEDOUT),
];

/// Name of each kind of call, in the order of [`Call`], with the errors documented for it, among which random faults are
/// chosen. 0 represents a short transfer.
const DOCUMENTED_FAULTS: [(&str, Call, &[c_int]); CALL_KINDS] = [
    (
        "accept4",
        Call::Accept,
        &[
            ECONNABORTED,
            EPROTO,
            ENETDOWN,
            EHOSTUNREACH,
            ENOPROTOOPT,
            EOPNOTSUPP,
            ENONET,
            EHOSTDOWN,
            ENETUNREACH,
            EPERM,
            EINTR,
            EMFILE,
            ENFILE,
            ENOBUFS,
            ENOMEM,
        ],
    ),
    (
        "connect",
        Call::Connect,
        &[
            EINTR,
            EADDRNOTAVAIL,
            ENETUNREACH,
            ENETDOWN,
            ENOBUFS,
            EAGAIN,
            EACCES,
            ECONNREFUSED,
            EHOSTUNREACH,
            ETIMEDOUT,
        ],
    ),
    ("socket", Call::Socket, &[EMFILE, ENFILE, ENOBUFS, ENOMEM, EACCES]),
    ("recv", Call::Receive, &[EINTR, 0, 0, ETIMEDOUT, EHOSTUNREACH, ECONNRESET]),
    ("sendmsg", Call::Send, &[EINTR, 0, 0, EPIPE, ETIMEDOUT, EHOSTUNREACH, ECONNRESET]),
    ("recvdatagram", Call::ReceiveDatagram, &[EINTR, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH, ENOMEM]),
    (
        "sendto",
        Call::SendDatagram,
        &[EINTR, EPERM, ENOBUFS, ENOMEM, EAGAIN, ECONNREFUSED, EHOSTUNREACH, ENETUNREACH, EMSGSIZE],
    ),
    ("setsockopt", Call::SetOption, &[EINVAL, ENOPROTOOPT, ENOMEM, ENOBUFS]),
    ("getsockopt", Call::GetOption, &[ENOPROTOOPT, ENOMEM, ENOBUFS]),
    ("getpeername", Call::PeerName, &[ENOBUFS]),
    ("fcntl", Call::SetFlags, &[EPERM, EINVAL]),
    ("shutdown", Call::Shutdown, &[ENOTCONN, ENOBUFS]),
    ("epoll_ctl", Call::EpollAdd, &[ENOMEM, ENOSPC]),
    ("epoll_wait", Call::EpollWait, &[EINTR]),
    ("poll", Call::Poll, &[EINTR, ENOMEM, EAGAIN]),
    ("stdout", Call::StandardOutput, &[EINTR, EAGAIN, EIO, ENOSPC, EPIPE, 0]),
    ("file", Call::File, &[EINTR, EIO, ENOSPC, EDQUOT, 0]),
];

/// A rule that makes calls with certain numbers fail.
#[derive(Debug)]
struct Rule {
    call: Call,
    side: Side,
    /// Number of the first call that fails, counted from 1.
    first: u64,
    /// Number of the last call that can fail.
    last: u64,
    /// Distance between two failing calls.
    step: u64,
    fault: Fault,
    /// Calls so far that match `call` and `side`.
    call_count: AtomicU64,
}

/// Random faults, determined by a seed.
#[derive(Debug, Default)]
struct RandomFaults {
    seed: u64,
    /// Probability that a call fails, as a multiple of 2^-32.
    rate: u64,
    /// Whether each kind of call can fail, indexed by [`Call`].
    calls: [bool; CALL_KINDS],
}

/// All rules, with their call counters.
#[derive(Debug, Default)]
pub struct Schedule {
    rules: Vec<Rule>,
    random: RandomFaults,
    /// Calls so far that were subject to random faults, indexed by [`Call`].
    call_counts: [AtomicU64; CALL_KINDS],
}

impl Rule {
    fn includes(&self, number: u64) -> bool {
        (self.first..=self.last).contains(&number) && (number - self.first).checked_rem(self.step) == Some(0)
    }
}

impl Schedule {
    /// Parses a schedule; the error contains the first rule that is invalid.
    pub fn parse(text: &str) -> Result<Schedule, String> {
        let mut schedule = Schedule::default();
        for rule in text.split(';').map(str::trim).filter(|rule| !rule.is_empty()) {
            let parsed = if rule.contains('=') {
                parse_random_faults(rule).map(|random| schedule.random = random)
            } else {
                parse_rule(rule).map(|rule| schedule.rules.push(rule))
            };
            parsed.ok_or_else(|| format!("invalid rule: {rule:?}"))?;
        }
        Ok(schedule)
    }

    /// Counts a call of this kind and returns the fault scheduled for it, if any. Neither allocates nor panics.
    pub fn next_fault(&self, call: Call, target: Target) -> Option<Fault> {
        let mut found = None;
        for rule in self.rules.iter().filter(|rule| rule.call == call && rule.side.matches(target)) {
            let number = rule.call_count.fetch_add(1, Ordering::Relaxed) + 1;
            if found.is_none() && rule.includes(number) {
                found = Some(rule.fault);
            }
        }
        found.or_else(|| self.random_fault(call))
    }

    fn random_fault(&self, call: Call) -> Option<Fault> {
        let index = call as usize;
        if !self.random.calls.get(index).copied().unwrap_or(false) {
            return None;
        }
        let number = self.call_counts.get(index)?.fetch_add(1, Ordering::Relaxed);
        let drawn = splitmix64(self.random.seed ^ splitmix64(number ^ ((index as u64) << 48)));
        if drawn & 0xffff_ffff >= self.random.rate {
            return None;
        }
        let (_, _, documented) = DOCUMENTED_FAULTS.get(index)?;
        let chosen = documented.get((drawn >> 32) as usize % documented.len())?;
        Some(if *chosen == 0 { Fault::Short } else { Fault::Errno(*chosen) })
    }
}

/// One step of SplitMix64.
fn splitmix64(state: u64) -> u64 {
    let z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn call_by_name(name: &str) -> Option<Call> {
    DOCUMENTED_FAULTS.iter().find(|(known, _, _)| *known == name).map(|(_, call, _)| *call)
}

/// Returns the name of a kind of call, as written in a schedule.
pub fn call_name(call: Call) -> &'static str {
    DOCUMENTED_FAULTS.get(call as usize).map_or("?", |(name, _, _)| name)
}

/// Returns the name of a fault, as written in a schedule.
pub fn fault_name(fault: Fault) -> &'static str {
    match fault {
        Fault::Errno(errno) => {
            ERRNO_NAMES.iter().find(|(_, known)| *known == errno).map_or("?", |(name, _)| name)
        }
        Fault::Short => "SHORT",
        Fault::Kill => "KILL",
    }
}

/// Parses a rule such as `seed=7,rate=0.02,calls=accept4+connect`.
fn parse_random_faults(rule: &str) -> Option<RandomFaults> {
    let mut random = RandomFaults::default();
    for (key, value) in rule.split(',').map(|field| field.split_once('=')).collect::<Option<Vec<_>>>()? {
        match key {
            "seed" => random.seed = value.parse().ok()?,
            "rate" => random.rate = (value.parse::<f64>().ok()? * (1u64 << 32) as f64) as u64,
            "calls" => {
                for name in value.split('+') {
                    random.calls[call_by_name(name)? as usize] = true;
                }
            }
            _ => return None,
        }
    }
    Some(random)
}

/// Parses a rule such as `connect@5432:1-:ENETUNREACH`.
fn parse_rule(rule: &str) -> Option<Rule> {
    let mut fields = rule.split(':');
    let (selector, range, fault) = (fields.next()?, fields.next()?, fields.next()?);
    let (name, side) = selector.split_once('@').unwrap_or((selector, ""));
    let side = match side {
        "" => Side::Any,
        "client" => Side::Client,
        "backend" => Side::Backend,
        port => Side::Port(port.parse().ok()?),
    };
    let (range, step) = range.split_once('/').unwrap_or((range, "1"));
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    let last = if last.is_empty() { u64::MAX } else { last.parse().ok()? };
    let fault = match fault {
        "SHORT" => Fault::Short,
        "KILL" => Fault::Kill,
        errno => Fault::Errno(ERRNO_NAMES.iter().find(|(known, _)| *known == errno)?.1),
    };
    let (call, first, step) = (call_by_name(name)?, first.parse().ok()?, step.parse().ok()?);
    let rule = Rule { call, side, first, last, step, fault, call_count: AtomicU64::new(0) };
    fields.next().is_none().then_some(rule)
}
