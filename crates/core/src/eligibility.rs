//! Whether an endpoint may be sent one more attempt: by the rules on data and effects, then by health and load.

use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::Id;
use crate::interface::Effect;
use crate::interface::Needs;
use crate::interface::Standing;
use crate::interface::Workload;
use crate::retry;
use crate::router::Router;
use crate::state::Group;
use crate::state::Held;
use crate::state::Member;
use crate::stats::ClassStats;

/// How long a read that finds no fresh replica waits before it takes the primary.
pub(crate) const READ_WAIT: f64 = 0.03;
/// Margin for the chance in what a cold host is sent.
pub(crate) const COLD: f64 = 0.8;

impl Router {
    pub(crate) fn class_of(&self, held: &Held) -> &ClassStats {
        self.classes.get(ClassId::new(held.stmt.workload))
    }

    pub(crate) fn terms_of(&self, held: &Held) -> &Workload {
        self.class_of(held).settings()
    }

    pub(crate) fn needed(&self, now: f64, held: &Held) -> f64 {
        match self.terms_of(held).needs {
            Needs::Primary | Needs::Fresh => f64::INFINITY,
            Needs::Session => {
                let marks = held.stmt.session.and_then(|session| self.marks.get(&(held.stmt.group, session)));
                let floor = self.groups[held.stmt.group].floor;
                // What is out may have been answered, and the answer be on its way, or broken off.
                held.mark.max(marks.map_or(floor, |(mark, out)| if *out > 0 { f64::INFINITY } else { *mark }))
            }
            Needs::Bounded(bound) => now - bound,
            Needs::Any => f64::NEG_INFINITY,
        }
    }

    /// The position taken for a member's, carried on from its last word; `rules` may want to be told anew.
    pub(crate) fn stands(&self, now: f64, host: usize) -> f64 {
        let m = &self.members[host];
        // Nobody asks it often where routers are many: one that fell behind is taken to catch up meanwhile.
        m.lsn.max(now - (m.lag - (now - m.told_at)).max(m.lag.min(READ_WAIT)))
    }

    pub(crate) fn barred(&self, host: usize) -> bool {
        let m = &self.members[host];
        m.drained || m.listed.standing == Standing::Gone && !self.terms.only_draining_bars
    }

    pub(crate) fn usable(&self, now: f64, host: usize) -> bool {
        let m = &self.members[host];
        let heard = m.role.is_some() || !self.terms.may_probe;
        heard && !self.barred(host) && m.suspicion.is_none_or(|s| now >= s.trial_at && s.probe_ok)
    }

    /// The rules on data and effects for one more execution there now.
    pub(crate) fn rules(&self, now: f64, host: usize, held: &Held) -> bool {
        let m = &self.members[host];
        let known = self.terms.members_check_reads || self.groups[m.listed.group].pointer == Some(host);
        (known || m.lsn >= self.needed(now, held)) && self.effect_allows(now, host, held)
    }

    /// Whether a member may be given one more execution, by the rules first, then by its health and its load.
    pub(crate) fn room(&self, now: f64, host: usize, held: &Held) -> bool {
        self.rules(now, host, held) && self.is_willing(now, host, held)
    }

    pub(crate) fn is_willing(&self, now: f64, host: usize, held: &Held) -> bool {
        let m = &self.members[host];
        let trial = m.in_flight == 0 && self.terms_of(held).effect == Effect::Idempotent;
        let health = (m.suspicion.is_none() || trial) && self.usable(now, host) && m.full_at < held.arrived;
        health && self.cold_allows(now, host, held) && m.holds(now, 1.0, self.sampler.sample(held.lot, host))
    }

    pub(crate) fn effect_allows(&self, now: f64, host: usize, held: &Held) -> bool {
        let site = |endpoint: usize| self.members[endpoint].listed.site;
        let same_site = |earlier: EndpointId| site(earlier.index()) == site(host);
        retry::is_safe(now, self.terms_of(held).effect, held.ran, same_site)
    }

    /// Guards against pushing over a cold host: of the statements that fall to it by its size, a lot lets
    /// through its part times the multiple at which it falls, with a margin, at all routers alike.
    pub(crate) fn cold_allows(&self, now: f64, host: usize, held: &Held) -> bool {
        let m = &self.members[host];
        let part = self.part(now, m);
        // One that fails or turns away at once would get all executions of what its lot lets through.
        let again = part < 1.0 && held.sent.1 == Some(host);
        // Where the fleet has a budget for it, that goes before any lot.
        if part >= 1.0 || again || m.tokens.is_some() {
            return !again && m.tokens.is_none_or(|tokens| part >= 1.0 || tokens >= 1.0);
        }
        let group = &self.groups[m.listed.group];
        let size = |host: &usize| self.members[*host].listed.size;
        let all: f64 = group.members.iter().map(size).sum();
        let there: f64 = group.members.iter().filter(|host| self.usable(now, **host)).map(size).sum();
        let share = match self.terms_of(held).needs {
            // All fall to the primary, but are far from all of its work, and reads keep off it.
            Needs::Primary | Needs::Fresh => 1.6,
            _ => size(&host) / there.max(all / 2.0),
        };
        // A group that is asked for more than others would have more fall to each of its members.
        let asked = |group: &Group| group.reads + group.writes;
        let mean = self.groups.iter().map(asked).sum::<f64>() / self.groups.len() as f64;
        let hot = (asked(group) / mean).max(1.0);
        // What waited for it, as for a new primary, would come from all routers at once: few of that.
        let prompt = (1.0 - (now - held.arrived) / (self.terms.fall_span / 2.0)).max(0.0);
        let lot = self.sampler.sample(held.lot + u64::from(held.executions), host);
        lot < COLD * self.terms.fall_multiple / 2.0 * part * share * prompt / hot
    }

    /// The part of its capacity that a member has at least.
    pub(crate) fn part(&self, now: f64, m: &Member) -> f64 {
        let grown = m.cold_since.map_or(1.0, |since| ((now - since) / self.terms.warm_after).clamp(0.0, 1.0));
        self.terms.cold_part + (1.0 - self.terms.cold_part) * grown
    }
}
