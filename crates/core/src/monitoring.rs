//! Keeping track of endpoints beside their answers: reports, health checks, silence, lagging replicas.

use std::collections::BTreeMap;

use crate::clock::decayed;
use crate::interface::Front;
use crate::interface::Report;
use crate::interface::Role;
use crate::router::Router;
use crate::state::Suspicion;
use crate::state::TRIAL;
use crate::state::WORTH;

/// Probes a second for each member while its group polls (the design's default).
pub(crate) const POLL: f64 = 1.0;
/// Between probes where the next answer decides something: no primary, a suspect, a position about to age.
pub(crate) const POLL_SOON: f64 = 0.25;
/// Silence, in typical answer times summed over what is out, that chance hardly explains (e^-7: 1 in 1000).
pub(crate) const SILENCE: f64 = 7.0;
/// Seconds over which worth is weighed and a word on load fades; change a beat of what is held back.
pub(crate) const FLOW: f64 = 0.02;
/// Marks of sessions that are remembered one by one; beyond, all are folded into what every session needs.
pub(crate) const MARKS: usize = 10_000;

impl Router {
    /// Role and position from an answer, which speaks of now, or from a report, which speaks of its position.
    pub(crate) fn hear(&mut self, now: f64, host: usize, said: Report, answer: bool) {
        let barred = self.barred(host);
        let m = &mut self.members[host];
        (m.busy, m.busy_at) = said.busy.map_or((m.busy, m.busy_at), |busy| (busy.clamp(0.0, 1.0), now));
        let lsn = said.lsn.filter(|lsn| *lsn <= now);
        if let Some(lsn) = lsn {
            m.lsn = m.lsn.max(lsn);
            (m.lag, m.told_at) = (now - m.lsn, now);
            m.turns_away &= answer;
        }
        let Some(role) = said.role else { return };
        let at = if answer { now } else { lsn.unwrap_or(0.0) };
        let group = &mut self.groups[m.listed.group];
        if role == Role::Primary && at > m.denied_at {
            m.role = Some(role);
            if !barred && (group.claimant == Some(host) || at > group.claim) {
                (group.pointer, group.claimant, group.claim) = (Some(host), Some(host), at);
            }
        } else if role == Role::Replica && (answer || group.pointer != Some(host) || at > group.claim) {
            self.deny(at, host);
        }
    }

    /// The member is no primary at that time; what it claimed before counts no more.
    pub(crate) fn deny(&mut self, at: f64, host: usize) {
        let m = &mut self.members[host];
        m.role = Some(Role::Replica);
        m.denied_at = m.denied_at.max(at);
        self.unseat(host);
    }

    /// The member may have been lost as a primary; its next word on that is believed again.
    pub(crate) fn unseat(&mut self, host: usize) {
        let pointer = &mut self.groups[self.members[host].listed.group].pointer;
        *pointer = pointer.filter(|primary| *primary != host);
    }

    pub(crate) fn suspect(&mut self, now: f64, host: usize, lost: bool) {
        let (trial_at, probe_ok) = (now + TRIAL, !self.terms.may_probe);
        let new = Suspicion { trial_at, lost, dark: false, probe_ok };
        self.members[host].suspicion.get_or_insert(new);
        self.unseat(host);
    }

    /// Guards against members that take statements and answer none, by how many typical answer times have
    /// passed for all that is out there, two executions at least: one alone may be a lost answer.
    pub(crate) fn notice_silence(&mut self, now: f64, front: &mut impl Front) {
        let mut silence: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for held in &self.held {
            if let Some(host) = held.state.out_at() {
                let (m, class) = (&self.members[host], self.class_of(held));
                let typical = class.estimate(held.more).max(class.settings().slo_time * m.load);
                let (sum, count) = silence.entry(host).or_insert((0.0, m.missed));
                *sum += (now - held.sent.0.max(m.answered_at).max(self.stalls.resumed_at())) / typical;
                *count += 1.0;
            }
        }
        silence.retain(|_, (sum, count)| *sum > SILENCE && *count > 1.0);
        let silent: Vec<usize> = silence.into_keys().collect();
        // Where most are silent at once, the judgement or the router's own link is at fault.
        if 2 * silent.len() <= self.members.len() {
            silent.into_iter().for_each(|host| self.suspect(now, host, false));
        }
        self.recall(now, front);
    }

    /// Probes the members of a polling group, and those whose next word decides something, as far as
    /// statements pay for it, or many routers would ask more than they send; what one waits for at once.
    pub(crate) fn poll(&mut self, now: f64, group: usize, front: &mut impl Front) {
        let at = &self.groups[group];
        let (pointer, waits, asked) = (at.pointer, !at.waiting.is_empty(), self.asked(now, at));
        let mut members: Vec<usize> = at.members.iter().copied().filter(|h| !self.barred(*h)).collect();
        members.sort_by(|a, b| self.members[*a].probed_at.total_cmp(&self.members[*b].probed_at));
        let polling = pointer.is_none()
            || members.iter().map(|h| &self.members[*h]).any(|m| m.role.is_none() || !m.reports);
        let bound = self.bound.filter(|_| !self.terms.members_check_reads).unwrap_or(f64::INFINITY);
        for host in members {
            let m = &mut self.members[host];
            let ages = pointer != Some(host) && now - m.lsn > bound - 2.0 * POLL_SOON;
            let decides = pointer.is_none() || m.role.is_none() || m.suspicion.is_some() || m.turns_away;
            let period = if decides || ages { POLL_SOON } else { POLL };
            let due = now - m.probed_at >= period || waits && m.role.is_none();
            let paid = waits && decides || self.probes >= 1.0;
            let wanted = (polling || decides || ages) && due && paid || asked == Some(host);
            if self.terms.may_probe && wanted && !m.probe_out {
                (m.probe_out, m.probed_at) = (true, now);
                self.probes = (self.probes - 1.0).max(0.0);
                front.probe(host);
            }
        }
    }

    /// Guards against replicas that fall behind for good, where reads lost are worth more than writes held.
    pub(crate) fn set_flow(&mut self, now: f64) {
        let Some(bound) = self.bound else { return };
        for group in 0..self.groups.len() {
            let at = &self.groups[group];
            let replicas = at.members.iter().filter(|h| Some(**h) != at.pointer && self.usable(now, **h));
            let lags: Vec<f64> = replicas.map(|h| self.members[*h].lag).collect();
            let part =
                lags.iter().filter(|lag| **lag > bound / 2.0).count() as f64 / lags.len().max(1) as f64;
            let often = now - at.answered_at < TRIAL / 5.0;
            let at = &mut self.groups[group];
            let hold =
                often && part * at.reads > at.writes && part * at.reads_lost > at.writes * at.held_back;
            at.held_back = (at.held_back + if hold { FLOW } else { -FLOW / 2.0 }).clamp(0.0, 0.95);
            let fade = |worth: &mut f64| *worth = decayed(*worth, WORTH);
            [&mut at.reads_lost, &mut at.reads, &mut at.writes].into_iter().for_each(fade);
        }
    }

    /// Forgets the marks that all of a group have. Who joins later, from an older copy, must come up to them.
    pub(crate) fn forget_marks(&mut self) {
        let mut marks = std::mem::take(&mut self.marks);
        let full = marks.len() > MARKS;
        marks.retain(|(group, _), (mark, out)| {
            let lacks = |host: &usize| !self.barred(*host) && self.members[*host].lsn < *mark;
            let kept = *out > 0 || !full && self.groups[*group].members.iter().any(lacks);
            let floor = &mut self.groups[*group].floor;
            *floor = floor.max(if kept { 0.0 } else { *mark });
            kept
        });
        self.marks = marks;
    }
}
