//! Who is there: SWIM as `foca` has it, without sockets or clock.
//!
//! Who is a member decides nothing about what may be spent, which goes by leases alone: that a member is taken for
//! dead may be wrong. It tells operators who is there, and whom to ask.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Codec, Config, Foca, Identity, Notification, PostcardCodec, Runtime, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::settings::Process;

/// A member as the others know it. Its name is who it is; of two processes of one name the later start counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwimIdentity {
    pub process: Process,
    /// Grows each time it was taken for dead and was not.
    renewals: u32,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Presence {
    Here,
    /// Not heard of by anybody who tried; or it said that it leaves.
    Away,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub process: Process,
    pub address: SocketAddr,
    pub presence: Presence,
    pub since: f64,
}

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    pub process: Process,
    pub presence: Presence,
}

/// What `foca` wants done. Emptied after each call.
#[derive(Default)]
struct PendingActions {
    sends: Vec<(SwimIdentity, Vec<u8>)>,
    timers: Vec<(Duration, Timer<SwimIdentity>)>,
    changes: Vec<(SwimIdentity, Presence)>,
}

impl Runtime<SwimIdentity> for PendingActions {
    fn notify(&mut self, notification: Notification<'_, SwimIdentity>) {
        match notification {
            Notification::MemberUp(identity) => self.changes.push((identity.clone(), Presence::Here)),
            Notification::MemberDown(identity) => self.changes.push((identity.clone(), Presence::Away)),
            Notification::Rename(_, identity) => self.changes.push((identity.clone(), Presence::Here)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: SwimIdentity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<SwimIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// Where the sender of that datagram of the membership protocol says that it is reached.
pub fn sender_address(data: &[u8]) -> Option<SocketAddr> {
    let header: foca::Header<SwimIdentity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src.address)
}

pub struct Membership {
    foca: Foca<SwimIdentity, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    pending: PendingActions,
    /// By time, and a number that keeps apart those of one time.
    timers: BTreeMap<(u64, u64), Timer<SwimIdentity>>,
    numbered: u64,
    /// By name; those that went are forgotten after `FORGET`.
    known: BTreeMap<String, Member>,
    seeds: Vec<(String, SocketAddr)>,
    announce_at: f64,
    changes: Vec<MembershipChange>,
}

/// Seconds after which one that is away is no longer listed.
const FORGET_AFTER: f64 = 300.0;
/// Between two announcements to a voter while nobody is known, and after that; seconds.
const ANNOUNCE_ALONE: f64 = 0.5;
const ANNOUNCE_KNOWN: f64 = 10.0;

/// A death is noticed within two seconds or so, with a probe each second and half a second of suspicion beyond it: what
/// follows from it is cheap and safe, so it may be quick and sometimes wrong.
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

fn join(
    me: Process,
    address: SocketAddr,
    seed: u64,
) -> Foca<SwimIdentity, PostcardCodec, SmallRng, foca::NoCustomBroadcast> {
    let identity = SwimIdentity { process: me, renewals: 0, address };
    Foca::new(identity, config(), SmallRng::seed_from_u64(seed), PostcardCodec)
}

impl Membership {
    /// `seeds` are those whom a member that knows nobody asks.
    pub fn start(
        now: f64,
        me: Process,
        address: SocketAddr,
        seeds: Vec<(String, SocketAddr)>,
        seed: u64,
    ) -> Membership {
        let foca = join(me.clone(), address, seed);
        let here = Member { process: me.clone(), address, presence: Presence::Here, since: now };
        Membership {
            foca,
            pending: PendingActions::default(),
            timers: BTreeMap::new(),
            numbered: 0,
            known: BTreeMap::from([(me.name.clone(), here)]),
            seeds: seeds.into_iter().filter(|(name, _)| *name != me.name).collect(),
            announce_at: now,
            changes: Vec::new(),
        }
    }

    /// Goes on as another process: announces itself anew. Whom it knew stays listed.
    pub fn restart_as(&mut self, now: f64, me: Process, seed: u64) {
        let address = self.foca.identity().address;
        self.foca = join(me.clone(), address, seed);
        self.pending = PendingActions::default();
        self.timers.clear();
        self.announce_at = now;
        let here = Member { process: me.clone(), address, presence: Presence::Here, since: now };
        self.known.insert(me.name, here);
    }

    pub fn handle_datagram(&mut self, now: f64, data: &[u8]) {
        // What it can't read or doesn't want changes nothing; the proof was checked before.
        let _ = self.foca.handle_data(data, &mut self.pending);
        self.apply_pending(now);
    }

    pub fn tick(&mut self, now: f64) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| f64::from_bits(entry.key().0) <= now)
        {
            let timer = entry.remove();
            // A timer that came too late is told so, and set again by what follows.
            let _ = self.foca.handle_timer(timer, &mut self.pending);
            self.apply_pending(now);
        }
        if now >= self.announce_at && !self.seeds.is_empty() {
            let alone = self.foca.num_members() == 0;
            self.announce_at = now + if alone { ANNOUNCE_ALONE } else { ANNOUNCE_KNOWN };
            let turn = self.numbered as usize % self.seeds.len();
            self.numbered += 1;
            let (name, address) = self.seeds[turn].clone();
            let seed = SwimIdentity { process: Process { name, incarnation: 0 }, renewals: 0, address };
            let _ = self.foca.announce(seed, &mut self.pending);
            self.apply_pending(now);
        }
        self.known.retain(|_, member| member.presence == Presence::Here || now < member.since + FORGET_AFTER);
    }

    pub fn leave(&mut self, now: f64) {
        let _ = self.foca.leave_cluster(&mut self.pending);
        self.apply_pending(now);
    }

    pub fn next_at(&self) -> f64 {
        let timer = self.timers.first_key_value().map_or(f64::INFINITY, |((at, _), _)| f64::from_bits(*at));
        if self.seeds.is_empty() { timer } else { timer.min(self.announce_at) }
    }

    fn apply_pending(&mut self, now: f64) {
        for (after, timer) in self.pending.timers.drain(..) {
            self.numbered += 1;
            self.timers.insert(((now + after.as_secs_f64()).max(0.0).to_bits(), self.numbered), timer);
        }
        for (identity, presence) in self.pending.changes.drain(..) {
            let SwimIdentity { process, address, .. } = identity;
            let new = Member { process: process.clone(), address, presence, since: now };
            let old = self.known.insert(process.name.clone(), new);
            let same = old.is_some_and(|old| old.process == process && old.presence == presence);
            if !same {
                self.changes.push(MembershipChange { process, presence });
            }
        }
    }

    /// What is to be sent, to whom; where a member's address was learnt it comes along.
    pub fn take_datagrams(&mut self) -> Vec<(SwimIdentity, Vec<u8>)> {
        std::mem::take(&mut self.pending.sends)
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|member| member.address)
    }
}
