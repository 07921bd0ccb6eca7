//! Choosing an endpoint for a request among those that may take it.

use crate::eligibility::READ_WAIT;
use crate::feedback::READS_ON_PRIMARY;
use crate::interface::Needs;
use crate::monitoring::POLL;
use crate::monitoring::POLL_SOON;
use crate::router::Router;
use crate::state::Group;
use crate::state::Held;
use crate::state::TRIAL;
use crate::stats::ClassStats;

impl Router {
    /// The member to run a statement now, by the design page; none means wait.
    pub(crate) fn choose(&self, now: f64, held: &Held) -> Option<usize> {
        let group = &self.groups[held.stmt.group];
        let pointer = group.pointer;
        let to_primary = |router: &Router| pointer.filter(|host| router.room(now, *host, held));
        if let Needs::Primary | Needs::Fresh = self.terms_of(held).needs {
            return to_primary(self);
        }
        let needed = self.needed(now, held);
        let bounded = needed > f64::NEG_INFINITY;
        let replicas = group.members.iter().copied().filter(|host| Some(*host) != pointer);
        let (mut fresh, stale): (Vec<usize>, Vec<usize>) =
            replicas.filter(|host| self.usable(now, *host)).partition(|host| {
                self.stands(now, *host) >= needed && !(bounded && self.members[*host].turns_away)
            });
        // A primary under suspicion is tried with a read: a write that it swallowed could not be tried again.
        let mut trial = pointer.filter(|host| self.members[*host].suspicion.is_some());
        let kept = self.kept(now, group);
        let class = self.class_of(held);
        if self.classes.is_long_read(class, class.estimate(held.more)) {
            // Guards against long reads that stop the log: spread evenly, a few hold every replica back.
            fresh.sort_by_key(|host| self.members[*host].listed.order);
            trial = trial.or_else(|| self.fewest(now, &fresh[..kept.len()], |h| self.room(now, h, held)));
            fresh.truncate(fresh.len().div_ceil(2).max(kept.len()));
            trial = trial.or_else(|| fresh.iter().copied().find(|host| self.room(now, *host, held)));
        } else if bounded {
            // Where the long reads are, the log stands still, unless one has told otherwise just now.
            let apart = |host: &usize| !kept.contains(host) || now - self.members[*host].told_at < POLL;
            if fresh.iter().any(apart) {
                fresh.retain(apart);
            }
            if now - group.answered_at >= TRIAL / 5.0 {
                trial = trial.or_else(|| self.spare(now, group, fresh.len(), held));
            }
        }
        // A cold member whose lot has come is taken, as its share is counted by lots alone.
        let cold =
            |host: &&usize| self.part(now, &self.members[**host]) < 1.0 && self.room(now, **host, held);
        trial = trial.or_else(|| fresh.iter().find(cold).copied());
        let found = trial.filter(|host| self.room(now, *host, held));
        if let Some(host) = found.or_else(|| self.fewest(now, &fresh, |h| self.room(now, h, held))) {
            return Some(host);
        }
        let ahead = stale.into_iter().max_by(|a, b| self.members[*a].lsn.total_cmp(&self.members[*b].lsn));
        let ahead = ahead.filter(|host| self.room(now, *host, held) && !self.members[*host].turns_away);
        if fresh.is_empty() && self.terms.members_check_reads && ahead.is_some() {
            return ahead;
        }
        // The last resort is the primary, of which writes keep their part.
        let known = fresh.iter().any(|host| self.rules(now, *host, held));
        let waited = known || self.terms.members_check_reads || now - held.arrived >= READ_WAIT;
        to_primary(self).filter(|host| {
            let m = &self.members[*host];
            // Where the group is heard of rarely, the primary's own word tells what all send there.
            let rare = now - group.answered_at >= TRIAL / 5.0;
            let waited = waited && !(rare && self.sampler.sample(held.lot + 2, *host) > m.spare(now));
            waited
                && m.holds(now, READS_ON_PRIMARY, self.sampler.sample(held.lot, *host))
                && self.part(now, m) >= 1.0
        })
    }

    /// The replicas that long reads are kept together on: as many as their part of all work fills, in an
    /// order that is the same at all routers, so that hundreds meet without a word.
    pub(crate) fn kept(&self, now: f64, group: &Group) -> Vec<usize> {
        let part = self.classes.long_read_share();
        let mut kept = group.members.clone();
        kept.retain(|host| self.usable(now, *host));
        let few = (part * kept.len() as f64).round().max(f64::from(part > 0.0)) as usize;
        kept.retain(|host| Some(*host) != group.pointer);
        kept.sort_by_key(|host| self.members[*host].listed.order);
        kept.truncate(few);
        kept
    }

    /// The primary, for as much of the reads as leaves it no more work than each of few fresh replicas has.
    pub(crate) fn spare(&self, now: f64, group: &Group, fresh: usize, held: &Held) -> Option<usize> {
        let writes = self.classes.work_share(ClassStats::is_write);
        let reads = self.classes.work_share(|class| !matches!(class.needs(), Needs::Primary | Needs::Any));
        let m = &self.members[group.pointer?];
        let part = ((writes + reads) / (fresh + 1) as f64 - writes) / reads.max(1e-9) * m.spare(now);
        let taken = self.sampler.sample(held.lot, usize::MAX) < part && self.part(now, m) >= 1.0;
        group.pointer.filter(|host| taken && self.room(now, *host, held))
    }

    /// Of those with fewest executions in flight, nearly all where routers are many, one is drawn by lot.
    pub(crate) fn fewest(&self, now: f64, among: &[usize], open: impl Fn(usize) -> bool) -> Option<usize> {
        let open: Vec<usize> = among.iter().copied().filter(|host| open(*host)).collect();
        let least = open.iter().map(|host| self.members[*host].in_flight).min()?;
        let lot = |host: &usize| {
            let m = &self.members[*host];
            let near = if m.listed.site == self.terms.site { 1.5 } else { 1.0 };
            let weight = m.listed.size * near * m.spare(now) / m.load.max(0.1).powi(2);
            -self.sampler.current(*host).ln() / weight
        };
        let tied = open.into_iter().filter(|host| self.members[*host].in_flight == least);
        tied.min_by(|a, b| lot(a).total_cmp(&lot(b)))
    }

    /// The replica to ask where a read waits that none is known to be fresh enough for.
    pub(crate) fn asked(&self, now: f64, group: &Group) -> Option<usize> {
        let read = |index: &&usize| self.needed(now, &self.held[**index]).is_finite();
        let held = &self.held[*group.waiting.iter().find(read)?];
        self.fewest(now, &group.members, |host| {
            let m = &self.members[host];
            let due = !m.probe_out && now - m.probed_at >= POLL_SOON && group.pointer != Some(host);
            due && !self.rules(now, host, held) && self.is_willing(now, host, held)
        })
    }
}
