//! The member list, maintained by the SWIM protocol as implemented by the `foca` crate, without sockets or clock.
//!
//! Membership has no effect on the units that may be spent, which depend on leases alone, so it is harmless if a member is
//! wrongly declared dead. The member list serves operators, and gives members the addresses of other members.

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

/// Time after which a member that is away is removed from the list.
const REMOVE_AWAY_AFTER_SECONDS: f64 = 300.0;
/// Interval between two announcements to a voter while no other member is known.
const ISOLATED_ANNOUNCE_INTERVAL_SECONDS: f64 = 0.5;
/// Interval between two announcements to a voter once another member is known.
const ANNOUNCE_INTERVAL_SECONDS: f64 = 10.0;

/// Identity of a member in the SWIM protocol. Its name is its SWIM address; of two processes with one name, the later one
/// takes precedence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwimIdentity {
    /// The process.
    pub process: Process,
    /// Increases each time that the process was wrongly declared dead.
    renewals: u32,
    /// Address at which the process receives datagrams.
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

/// Whether a member is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Presence {
    /// The member answers.
    Here,
    /// The member answers none of those that checked it, or it announced that it leaves.
    Away,
}

/// An entry of the member list, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The newest process of its name.
    pub process: Process,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Whether the member is reachable.
    pub presence: Presence,
    /// When `process` or `presence` was last reported, in seconds.
    pub since: f64,
}

/// A change of a member's process or presence.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The process.
    pub process: Process,
    /// The new presence.
    pub presence: Presence,
}

/// A datagram of the membership protocol that is to be sent.
#[derive(Clone, Debug)]
pub struct SwimDatagram {
    /// The receiver.
    pub to: SwimIdentity,
    /// The contents.
    pub data: Vec<u8>,
}

/// A timer requested by `foca`.
struct TimerRequest {
    after: Duration,
    timer: Timer<SwimIdentity>,
}

/// A change of a member's presence reported by `foca`.
struct PresenceUpdate {
    identity: SwimIdentity,
    presence: Presence,
}

/// Actions requested by `foca`, to be performed after each call of it.
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

/// Creates the SWIM state of a process that knows no other member.
fn new_swim(process: Process, address: SocketAddr, seed: u64) -> Swim {
    let identity = SwimIdentity { process, renewals: 0, address };
    Foca::new(identity, config(), SmallRng::seed_from_u64(seed), PostcardCodec)
}

/// Returns the settings of the SWIM protocol, which detect a lost member within about 2 s. A short detection time is
/// preferred to fewer false detections, because the consequences of a detection are cheap and safe.
fn config() -> Config {
    let seconds = Duration::from_secs_f64;
    Config {
        probe_period: seconds(0.6),
        probe_rtt: seconds(0.25),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(9),
        suspect_to_down_after: seconds(0.9),
        remove_down_after: seconds(REMOVE_AWAY_AFTER_SECONDS),
        max_packet_size: NonZeroUsize::MIN.saturating_add(1199),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: None,
    }
}

/// Returns the address that the sender of a membership datagram advertises for itself.
pub fn sender_address(data: &[u8]) -> Option<SocketAddr> {
    let header: foca::Header<SwimIdentity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src.address)
}

/// Key of a timer, ordered by due time and then by the order in which the timers were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// Bits of the due time in seconds. They have the same order as the time, which is never negative.
    at_bits: u64,
    /// Orders timers that are due at the same time.
    sequence: u64,
}

impl TimerKey {
    fn new(at: f64, sequence: u64) -> TimerKey {
        TimerKey { at_bits: at.to_bits(), sequence }
    }

    fn at(self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

/// The member list as one member knows it.
pub struct Membership {
    swim: Swim,
    pending: PendingActions,
    timers: BTreeMap<TimerKey, Timer<SwimIdentity>>,
    /// Timers set and announcements made so far.
    timer_count: u64,
    /// Members by name, including this one.
    members: BTreeMap<String, Member>,
    /// Voters other than this member.
    seeds: Vec<Peer>,
    announce_at: f64,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// Starts joining the fleet. Members are learned by announcing this process to the `seeds`; `seed` seeds the random
    /// choices.
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
            swim: new_swim(process, address, seed),
        }
    }

    /// Continues as another process of the same name and joins again. The known members stay listed.
    pub fn restart_as(&mut self, now: f64, process: Process, seed: u64) {
        let address = self.swim.identity().address;
        self.swim = new_swim(process.clone(), address, seed);
        self.pending = PendingActions::default();
        self.timers.clear();
        self.announce_at = now;
        let own = Member { process: process.clone(), address, presence: Presence::Here, since: now };
        self.members.insert(process.name, own);
    }

    /// Handles a datagram of the membership protocol. An invalid one is ignored.
    pub fn handle_datagram(&mut self, now: f64, data: &[u8]) {
        let _ = self.swim.handle_data(data, &mut self.pending);
        self.apply_pending(now);
    }

    /// Fires the timers and announcements that are due, and removes members that have been away for too long.
    pub fn tick(&mut self, now: f64) {
        self.fire_timers(now);
        if now >= self.announce_at && !self.seeds.is_empty() {
            self.announce(now);
        }
        self.members.retain(|_, member| {
            member.presence == Presence::Here || now < member.since + REMOVE_AWAY_AFTER_SECONDS
        });
    }

    fn fire_timers(&mut self, now: f64) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().at() > now {
                return;
            }
            let timer = entry.remove();
            // `foca` refuses a timer of an earlier state; the later state has set its own timers.
            let _ = self.swim.handle_timer(timer, &mut self.pending);
            self.apply_pending(now);
        }
    }

    /// Announces this process to the next of the seeds.
    fn announce(&mut self, now: f64) {
        let is_isolated = self.swim.num_members() == 0;
        let interval =
            if is_isolated { ISOLATED_ANNOUNCE_INTERVAL_SECONDS } else { ANNOUNCE_INTERVAL_SECONDS };
        self.announce_at = now + interval;
        let seed_index = to_usize(self.timer_count) % self.seeds.len();
        self.timer_count += 1;
        let Peer { name, address } = self.seeds[seed_index].clone();
        let seed = SwimIdentity { process: Process { name, incarnation: 0 }, renewals: 0, address };
        let _ = self.swim.announce(seed, &mut self.pending);
        self.apply_pending(now);
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, now: f64) {
        let _ = self.swim.leave_cluster(&mut self.pending);
        self.apply_pending(now);
    }

    /// Returns when [`tick`](Membership::tick) is due.
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

    /// Returns the datagrams to send, and removes them.
    pub fn take_datagrams(&mut self) -> Vec<SwimDatagram> {
        std::mem::take(&mut self.pending.datagrams)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns all listed members, including this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the address that a member advertises for itself.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.address)
    }
}
