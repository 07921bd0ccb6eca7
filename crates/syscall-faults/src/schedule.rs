//! Which call fails and how.
//!
//! A schedule is a list of rules separated by `;`:
//!
//! - `accept4:3:EPROTO`: the third call fails with `EPROTO`. Instead of one number there may be a range, `3-9`, or `3-` for
//!   all from the third on, or `3-/2` for every second from there. Counting starts when the schedule is armed.
//! - `connect@5432:1-:ENETUNREACH`: only calls on a connection whose peer has that port. `@client` selects accepted
//!   connections, `@backend` those that the program opened.
//! - `recv:1-:SHORT` shortens a transfer to one byte; `file:7:KILL` writes half of what was given and kills the process.
//! - `seed=7,rate=0.02,calls=accept4+connect`: each of these calls fails with that probability, in one of the ways that are
//!   documented for it. The same seed gives the same sequence of faults for each kind of call.

use std::sync::atomic::{AtomicU64, Ordering};

use libc::c_int;

/// The kinds of calls that are told apart.
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
    /// `fcntl` that sets the status flags, among them `O_NONBLOCK`.
    SetFlags,
    /// `shutdown`.
    Shutdown,
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd,
    /// `epoll_wait` and its relatives.
    EpollWait,
    /// `poll` and `ppoll`.
    Poll,
    /// `write` to standard output.
    StandardOutput,
    /// `write` to a regular file.
    File,
}

/// How many kinds of calls there are.
const CALLS: usize = 17;

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this `errno`.
    Errno(c_int),
    /// One byte is transferred at most.
    Short,
    /// Half of what was given is written, then the process is killed.
    Kill,
}

/// Which connections a rule is about.
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

/// What a call is made on.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The descriptor was accepted rather than opened.
    pub accepted: bool,
    /// The port of its peer; 0 where there is none.
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

/// Names of the kinds of calls, with the faults that a seed chooses among: the documented ones, 0 for a short transfer.
const DOCUMENTED: [(&str, Call, &[c_int]); CALLS] = [
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

/// One forced fault, or a run of them.
#[derive(Debug)]
struct Rule {
    call: Call,
    side: Side,
    first: u64,
    last: u64,
    every: u64,
    fault: Fault,
    /// Calls that were of this kind so far.
    seen: AtomicU64,
}

/// Faults at random, from a seed.
#[derive(Debug, Default)]
struct Random {
    seed: u64,
    /// Of 2^32.
    rate: u64,
    calls: [bool; CALLS],
}

/// All rules, with what they have counted.
#[derive(Debug, Default)]
pub struct Schedule {
    rules: Vec<Rule>,
    random: Random,
    /// Calls of each kind so far.
    seen: [AtomicU64; CALLS],
}

impl Rule {
    fn is_about(&self, number: u64) -> bool {
        (self.first..=self.last).contains(&number) && (number - self.first).checked_rem(self.every) == Some(0)
    }
}

impl Schedule {
    /// Reads a schedule; the error names the rule that is not understood.
    pub fn parse(text: &str) -> Result<Schedule, String> {
        let mut schedule = Schedule::default();
        for rule in text.split(';').map(str::trim).filter(|rule| !rule.is_empty()) {
            let read = if rule.contains('=') {
                random(rule).map(|random| schedule.random = random)
            } else {
                forced(rule).map(|rule| schedule.rules.push(rule))
            };
            read.ok_or_else(|| format!("not understood: {rule:?}"))?;
        }
        Ok(schedule)
    }

    /// The fault of the next call of that kind, if it has one. Neither allocates nor panics.
    pub fn next(&self, call: Call, target: Target) -> Option<Fault> {
        let mut found = None;
        for rule in self.rules.iter().filter(|rule| rule.call == call && rule.side.matches(target)) {
            let number = rule.seen.fetch_add(1, Ordering::Relaxed) + 1;
            if found.is_none() && rule.is_about(number) {
                found = Some(rule.fault);
            }
        }
        found.or_else(|| self.by_chance(call))
    }

    fn by_chance(&self, call: Call) -> Option<Fault> {
        let index = call as usize;
        if !self.random.calls.get(index).copied().unwrap_or(false) {
            return None;
        }
        let number = self.seen.get(index)?.fetch_add(1, Ordering::Relaxed);
        let drawn = mix(self.random.seed ^ mix(number ^ ((index as u64) << 48)));
        if drawn & 0xffff_ffff >= self.random.rate {
            return None;
        }
        let (_, _, documented) = DOCUMENTED.get(index)?;
        let chosen = documented.get((drawn >> 32) as usize % documented.len())?;
        Some(if *chosen == 0 { Fault::Short } else { Fault::Errno(*chosen) })
    }
}

/// SplitMix64, one step.
fn mix(from: u64) -> u64 {
    let z = from.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn call_named(name: &str) -> Option<Call> {
    DOCUMENTED.iter().find(|(known, _, _)| *known == name).map(|(_, call, _)| *call)
}

/// The name of a kind of call, as in a schedule.
pub fn name_of_call(call: Call) -> &'static str {
    DOCUMENTED.get(call as usize).map_or("?", |(name, _, _)| name)
}

/// The name of a fault, as in a schedule.
pub fn name_of_fault(fault: Fault) -> &'static str {
    match fault {
        Fault::Errno(errno) => {
            ERRNO_NAMES.iter().find(|(_, known)| *known == errno).map_or("?", |(name, _)| name)
        }
        Fault::Short => "SHORT",
        Fault::Kill => "KILL",
    }
}

fn random(rule: &str) -> Option<Random> {
    let mut random = Random::default();
    for (key, value) in rule.split(',').map(|field| field.split_once('=')).collect::<Option<Vec<_>>>()? {
        match key {
            "seed" => random.seed = value.parse().ok()?,
            "rate" => random.rate = (value.parse::<f64>().ok()? * (1u64 << 32) as f64) as u64,
            "calls" => {
                for name in value.split('+') {
                    random.calls[call_named(name)? as usize] = true;
                }
            }
            _ => return None,
        }
    }
    Some(random)
}

fn forced(rule: &str) -> Option<Rule> {
    let mut fields = rule.split(':');
    let (place, range, fault) = (fields.next()?, fields.next()?, fields.next()?);
    let (name, side) = place.split_once('@').unwrap_or((place, ""));
    let side = match side {
        "" => Side::Any,
        "client" => Side::Client,
        "backend" => Side::Backend,
        port => Side::Port(port.parse().ok()?),
    };
    let (range, every) = range.split_once('/').unwrap_or((range, "1"));
    let (first, last) = range.split_once('-').unwrap_or((range, range));
    let last = if last.is_empty() { u64::MAX } else { last.parse().ok()? };
    let fault = match fault {
        "SHORT" => Fault::Short,
        "KILL" => Fault::Kill,
        errno => Fault::Errno(ERRNO_NAMES.iter().find(|(known, _)| *known == errno)?.1),
    };
    let (call, first, every) = (call_named(name)?, first.parse().ok()?, every.parse().ok()?);
    let rule = Rule { call, side, first, last, every, fault, seen: AtomicU64::new(0) };
    fields.next().is_none().then_some(rule)
}
