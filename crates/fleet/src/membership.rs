//! Which routers are there: SWIM as the `foca` crate has it, without sockets or clock.
//!
//! Membership decides nothing about what may be spent, which goes by leases alone, so a member that is wrongly taken for
//! dead does no harm. It tells operators who is there, and other members where to send to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Codec, Config, Foca, Identity, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::convert::to_usize;
use crate::settings::{Peer, Process};

/// Seconds after which a member that is away is no longer listed.
const FORGET_AFTER: f64 = 300.0;
/// Seconds between two announcements to a voter while no member is known.
const ANNOUNCE_INTERVAL_ALONE: f64 = 0.5;
/// The same once some are known.
const ANNOUNCE_INTERVAL: f64 = 10.0;

/// A member as the others know it. Its name is its address for SWIM; of two processes of one name the later counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwimIdentity {
    /// The process.
    pub process: Process,
    /// Grows each time the process was taken for dead and was not.
    renewals: u32,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

impl Identity for SwimIdentity {
    type Addr = String;

    fn renew(&self) -> Option<SwimIdentity> {
        Some(SwimIdentity { renewals: self.renewals + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.process.name.clone()
    }

    fn win_addr_conflict(&self, other: &SwimIdentity) -> bool {
        (self.process.incarnation, self.renewals) > (other.process.incarnation, other.renewals)
    }
}

/// Whether a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Presence {
    /// It answers.
    Here,
    /// It answers nobody who tried, or it said that it leaves.
    Away,
}

/// A member as it is listed for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The newest process of its name.
    pub process: Process,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Whether it is there.
    pub presence: Presence,
    /// Since when.
    pub since: f64,
}

/// A member came or went.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The process.
    pub process: Process,
    /// What it is from now on.
    pub presence: Presence,
}

/// A datagram of the membership protocol, to be sent.
#[derive(Clone, Debug)]
pub struct SwimDatagram {
    /// The receiver.
    pub to: SwimIdentity,
    /// What it is sent.
    pub data: Vec<u8>,
}

/// A timer that `foca` asks for.
struct TimerRequest {
    after: Duration,
    timer: Timer<SwimIdentity>,
}

/// A member that came or went, as `foca` knows it.
struct PresenceUpdate {
    identity: SwimIdentity,
    presence: Presence,
}

/// What `foca` wants done; emptied after each call of it.
#[derive(Default)]
struct PendingActions {
    datagrams: Vec<SwimDatagram>,
    timers: Vec<TimerRequest>,
    changes: Vec<PresenceUpdate>,
}

impl Runtime<SwimIdentity> for PendingActions {
    fn notify(&mut self, notification: Notification<'_, SwimIdentity>) {
        let (identity, presence) = match notification {
            Notification::MemberUp(identity) | Notification::Rename(_, identity) => {
                (identity, Presence::Here)
            }
            Notification::MemberDown(identity) => (identity, Presence::Away),
            _ => return,
        };
        self.changes.push(PresenceUpdate { identity: identity.clone(), presence });
    }

    fn send_to(&mut self, to: SwimIdentity, data: &[u8]) {
        self.datagrams.push(SwimDatagram { to, data: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<SwimIdentity>, after: Duration) {
        self.timers.push(TimerRequest { after, timer: event });
    }
}

type Swim = Foca<SwimIdentity, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// Joins as a process that knows nobody.
fn join(process: Process, address: SocketAddr, seed: u64) -> Swim {
    let identity = SwimIdentity { process, renewals: 0, address };
    Foca::new(identity, config(), SmallRng::seed_from_u64(seed), PostcardCodec)
}

/// A lost member is noticed within some two seconds. What follows from it is cheap and safe, so it may be quick and
/// sometimes wrong.
fn config() -> Config {
    let seconds = Duration::from_secs_f64;
    Config {
        probe_period: seconds(0.6),
        probe_rtt: seconds(0.25),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(9),
        suspect_to_down_after: seconds(0.9),
        remove_down_after: seconds(FORGET_AFTER),
        max_packet_size: NonZeroUsize::MIN.saturating_add(1199),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: None,
    }
}

/// The address that the sender of a datagram of the membership protocol gives for itself.
pub fn sender_address(data: &[u8]) -> Option<SocketAddr> {
    let header: foca::Header<SwimIdentity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src.address)
}

/// When a timer is due. Orders by the time, then in the order in which the timers were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// The bits of the time, which order as the time does: it is never negative.
    at_bits: u64,
    /// Orders timers of one time.
    number: u64,
}

impl TimerKey {
    fn new(at: f64, number: u64) -> TimerKey {
        TimerKey { at_bits: at.to_bits(), number }
    }

    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

/// The members as one of them knows them.
pub struct Membership {
    swim: Swim,
    pending: PendingActions,
    timers: BTreeMap<TimerKey, Timer<SwimIdentity>>,
    timer_count: u64,
    /// By name.
    members: BTreeMap<String, Member>,
    /// Voters other than this member.
    seeds: Vec<Peer>,
    announce_at: f64,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// Joins. `seeds` are asked for the others as long as none is known; `seed` is of the random choices.
    pub fn start(now: f64, process: Process, address: SocketAddr, seeds: Vec<Peer>, seed: u64) -> Membership {
        let own = Member { process: process.clone(), address, presence: Presence::Here, since: now };
        Membership {
            pending: PendingActions::default(),
            timers: BTreeMap::new(),
            timer_count: 0,
            members: BTreeMap::from([(process.name.clone(), own)]),
            seeds: seeds.into_iter().filter(|peer| peer.name != process.name).collect(),
            announce_at: now,
            changes: Vec::new(),
            swim: join(process, address, seed),
        }
    }

    /// Goes on as another process of the same name and joins anew. The members that it knew stay listed.
    pub fn restart_as(&mut self, now: f64, process: Process, seed: u64) {
        let address = self.swim.identity().address;
        self.swim = join(process.clone(), address, seed);
        self.pending = PendingActions::default();
        self.timers.clear();
        self.announce_at = now;
        let own = Member { process: process.clone(), address, presence: Presence::Here, since: now };
        self.members.insert(process.name, own);
    }

    /// Takes in a datagram of the protocol. What can't be read changes nothing.
    pub fn handle_datagram(&mut self, now: f64, data: &[u8]) {
        let _ = self.swim.handle_data(data, &mut self.pending);
        self.apply_pending(now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.fire_timers(now);
        if now >= self.announce_at && !self.seeds.is_empty() {
            self.announce(now);
        }
        self.members
            .retain(|_, member| member.presence == Presence::Here || now < member.since + FORGET_AFTER);
    }

    fn fire_timers(&mut self, now: f64) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().at() > now {
                return;
            }
            let timer = entry.remove();
            // A timer of an earlier state is refused, and that state's successor has set its own.
            let _ = self.swim.handle_timer(timer, &mut self.pending);
            self.apply_pending(now);
        }
    }

    /// Announces itself to one of the seeds, in turn.
    fn announce(&mut self, now: f64) {
        let alone = self.swim.num_members() == 0;
        self.announce_at = now + if alone { ANNOUNCE_INTERVAL_ALONE } else { ANNOUNCE_INTERVAL };
        let turn = to_usize(self.timer_count) % self.seeds.len();
        self.timer_count += 1;
        let Peer { name, address } = self.seeds[turn].clone();
        let seed = SwimIdentity { process: Process { name, incarnation: 0 }, renewals: 0, address };
        let _ = self.swim.announce(seed, &mut self.pending);
        self.apply_pending(now);
    }

    /// Says that it leaves.
    pub fn leave(&mut self, now: f64) {
        let _ = self.swim.leave_cluster(&mut self.pending);
        self.apply_pending(now);
    }

    /// When [`tick`](Membership::tick) is due.
    pub fn next_timeout(&self) -> f64 {
        let timer = self.timers.first_key_value().map_or(f64::INFINITY, |(key, _)| key.at());
        if self.seeds.is_empty() { timer } else { timer.min(self.announce_at) }
    }

    fn apply_pending(&mut self, now: f64) {
        for TimerRequest { after, timer } in self.pending.timers.drain(..) {
            self.timer_count += 1;
            let at = (now + after.as_secs_f64()).max(0.0);
            self.timers.insert(TimerKey::new(at, self.timer_count), timer);
        }
        for PresenceUpdate { identity, presence } in std::mem::take(&mut self.pending.changes) {
            self.record_change(now, identity, presence);
        }
    }

    fn record_change(&mut self, now: f64, identity: SwimIdentity, presence: Presence) {
        let SwimIdentity { process, address, .. } = identity;
        let member = Member { process: process.clone(), address, presence, since: now };
        let before = self.members.insert(process.name.clone(), member);
        let is_known = before.is_some_and(|before| before.process == process && before.presence == presence);
        if !is_known {
            self.changes.push(MembershipChange { process, presence });
        }
    }

    /// Datagrams to send.
    pub fn take_datagrams(&mut self) -> Vec<SwimDatagram> {
        std::mem::take(&mut self.pending.datagrams)
    }

    /// What changed since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// All members that are listed, this one among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The address that a member gave for itself.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.address)
    }
}
