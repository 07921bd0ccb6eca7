//! The entry points of the router: what happens is handed to the concerns.

use std::collections::BTreeMap;

use crate::clock::StallDetector;
use crate::clock::TICK;
use crate::feedback::FEW;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::Id;
use crate::interface::Effect;
use crate::interface::Ending;
use crate::interface::Front;
use crate::interface::Listed;
use crate::interface::Needs;
use crate::interface::Outcome;
use crate::interface::Parts;
use crate::interface::Report;
use crate::interface::Reports;
use crate::interface::Role;
use crate::interface::Standing;
use crate::interface::Statement;
use crate::interface::Terms;
use crate::interface::Workload;
use crate::monitoring::POLL;
use crate::monitoring::POLL_SOON;
use crate::retry::PossibleEffect;
use crate::retry::RetryBudget;
use crate::sampling::Sampler;
use crate::state::EASY;
use crate::state::Group;
use crate::state::Held;
use crate::state::Member;
use crate::state::State;
use crate::state::Suspicion;
use crate::state::TRIAL;
use crate::stats;
use crate::stats::Classes;

/// Probes that a statement pays for: what is told of a member is worth as much as is asked of it.
pub(crate) const PROBES: f64 = 0.12;
/// Executions in flight on a member nothing is known of yet, from all routers.
pub(crate) const FIRST_LIMIT: f64 = 20.0;
/// Typical answer times that an execution needs to be likely in time, and that are worth a try at once.
pub(crate) const ENOUGH: f64 = 1.4;
pub(crate) const HASTE: f64 = 0.7;
/// The spread of a shape's work from which on nothing is believed of it.
pub(crate) const VAGUE: f64 = 0.7;

pub struct Router {
    pub(crate) terms: Terms,
    pub(crate) classes: Classes,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    /// A slot a statement held by the front; as many as were ever held at once.
    pub(crate) held: Vec<Held>,
    /// Statements each tenant may still send within its share, as of when.
    pub(crate) shares: Vec<(f64, f64)>,
    /// Last write of each session of a group, where these are remembered, and writes of it that are out;
    /// emptied once all the group has it.
    pub(crate) marks: BTreeMap<(usize, u64), (f64, u32)>,
    pub(crate) retries: RetryBudget,
    /// Probes paid for.
    pub(crate) probes: f64,
    pub(crate) stalls: StallDetector,
    pub(crate) pace: f64,
    pub(crate) bound: Option<f64>,
    pub(crate) list_is_due: bool,
    pub(crate) sampler: Sampler,
    pub(crate) turn: usize,
}

impl Router {
    pub fn start(now: f64, terms: Terms, front: &mut impl Front) -> Router {
        let router = Router {
            classes: Classes::new(&terms),
            shares: vec![(0.0, now); terms.tenant_rates.len()],
            members: Vec::new(),
            groups: Vec::new(),
            held: Vec::new(),
            marks: BTreeMap::new(),
            retries: RetryBudget::new(),
            probes: 0.0,
            stalls: StallDetector::new(now),
            pace: 0.0,
            bound: terms.workloads.iter().filter_map(|w| w.bound()).reduce(f64::min),
            list_is_due: terms.list_on_request,
            sampler: Sampler::new(terms.seed),
            turn: 0,
            terms,
        };
        front.wake(TICK);
        router
    }

    /// What an answer of a workload is taken to need before any came.
    pub fn typical(workload: &Workload) -> f64 {
        stats::initial_latency(workload)
    }

    pub fn statement(&mut self, now: f64, index: usize, stmt: Statement, front: &mut impl Front) {
        let class_id = self.classes.classify(stmt.workload, stmt.writes);
        let stmt = Statement { workload: class_id.index(), ..stmt };
        let class = self.classes.get_mut(class_id);
        let full_time = class.settings().statement_timeout;
        let client = class.client_retries().observe(stmt.repeat, stmt.time_left, full_time);
        let settings = class.settings();
        let worth = if client.is_retry { 0.0 } else { settings.importance };
        let slo_left =
            if settings.late_share > 0.0 { f64::INFINITY } else { settings.slo_time - client.elapsed };
        let left = stmt.time_left.min(slo_left);
        let more = stmt.work.map_or(0.0, |w| (1.0 - w.spread / VAGUE).max(0.0) * (w.own - w.usual));
        let typical = class.estimate(more);
        let start_by = now + (left - ENOUGH * typical).max((left - HASTE * typical).min(TICK / 10.0));
        let mut rank = settings.importance / typical;
        if let Some(tenant) = stmt.tenant {
            let rate = self.terms.tenant_rates[tenant] / self.terms.routers as f64;
            let (left, at) = self.shares[tenant];
            let left = (left + (now - at) * rate).min(rate);
            rank *= if left < 1.0 { self.terms.over_share } else { 1.0 };
            self.shares[tenant] = (if left < 1.0 { left } else { left - 1.0 }, now);
        }
        let mark = stmt.since_write.map_or(0.0, |since| now - since);
        let (state, arrived, lot, sent) = (State::Vacant, now, self.sampler.counter(), (now, None));
        let (executions, ran) = (0, None);
        let held =
            Held { state, stmt, arrived, start_by, mark, more, rank, lot, worth, executions, sent, ran };
        self.group(stmt.group);
        self.held.resize(self.held.len().max(index + 1), held);
        self.held[index] = held;
        self.retries.deposit_for_request();
        self.probes = (self.probes + PROBES).min(20.0);
        self.pass(index, State::Waiting);
        let class = self.class_of(&held);
        let (long, writes) = (self.classes.is_long_read(class, typical), class.is_write());
        let group = &mut self.groups[stmt.group];
        group.reads += if long { 0.0 } else { worth * f64::from(!writes) };
        group.writes += worth * f64::from(writes);
        // What takes most work for its worth goes first; a group heard of often is known by its limits.
        let often = now - group.answered_at < TRIAL / 5.0;
        let open = group.open.powi(1 + i32::from(long));
        let open = if writes { 1.0 - group.held_back } else { open.max(f64::from(often)) };
        if self.sampler.current(index) > open {
            return self.give_up(now, index, front);
        }
        self.place(now, index, front);
        self.poll(now, stmt.group, front);
    }

    pub fn outcome(&mut self, now: f64, outcome: &Outcome, front: &mut impl Front) {
        let Outcome { stmt: index, host, ending, closed, .. } = *outcome;
        self.stalls.record_call(now);
        let held = self.held[index];
        let needs = self.terms_of(&held).needs;
        self.learn(now, &held, outcome);
        if !ending.never_ran() && ending != Ending::Completed {
            let effect = PossibleEffect { sent_at: held.sent.0, endpoint: EndpointId::new(host) };
            self.held[index].ran.get_or_insert(effect);
        }
        if ending == Ending::ReadOnly {
            // The text writes, which its reading missed; no member is worse for it.
            self.held[index].stmt.workload = self.classes.as_write(ClassId::new(held.stmt.workload)).index();
        }
        // It would turn away the next read too, and where it waits first that read would come late.
        self.members[host].turns_away |= ending == Ending::Miss && needs != Needs::Primary;
        self.hear(now, host, outcome.note, true);
        if let Some(report) = outcome.report {
            self.members[host].reports |= report.role.is_some();
            self.hear(now, host, report, false);
        }
        // A primary that has answered others since is not lost: that time-out tells of load.
        let lost = ending == Ending::TimedOut && self.members[host].answered_at < held.sent.0
            || matches!(ending, Ending::ConnectFailed | Ending::Reset);
        // One that calls itself the primary in the same answer refused what the text asks for.
        let wrong =
            matches!(ending, Ending::Miss | Ending::ReadOnly) && outcome.note.role != Some(Role::Primary);
        if wrong && needs == Needs::Primary {
            self.deny(now, host);
        } else if lost {
            self.unseat(host);
        }
        if let Some((mark, out)) = self.mark_of(&held) {
            // An answer that broke off behind its row, or before, tells no commit; it was no later than now.
            let commit = outcome.note.lsn.filter(|_| ending == Ending::Completed).unwrap_or(now);
            (*mark, *out) = (mark.max(if ending.never_ran() { 0.0 } else { commit }), out.saturating_sub(1));
        }
        if closed || held.state == State::Abandoned(host) {
            self.pass(index, State::Vacant);
        } else {
            self.pass(index, State::Waiting);
            let once = self.terms_of(&held).effect == Effect::NonIdempotent;
            // Second tries must not feed the overload that made them needed.
            let no_more = self.held[index].ran.is_some() && (once || !self.retries.is_available());
            if no_more || held.executions >= self.terms.max_executions {
                self.give_up(now, index, front);
            }
        }
        self.place_waiting(now, held.stmt.group, front);
    }

    /// A probe's end, and what the member reported if it did.
    pub fn probed(&mut self, now: f64, host: usize, ending: Ending, report: Report, front: &mut impl Front) {
        let lot = self.sampler.current(host);
        let m = &mut self.members[host];
        m.probe_out = false;
        if ending == Ending::NeverSent {
            // It lay with this router: taken for an answer, it would clear a suspect.
            return;
        }
        let silent = matches!(ending, Ending::TimedOut | Ending::ConnectFailed | Ending::Reset);
        // One probe may be lost; statements that pass outrank it.
        if silent && m.answered_at < m.probed_at - 0.5 {
            self.suspect(now, host, false);
        }
        let m = &mut self.members[host];
        m.suspicion = match m.suspicion {
            Some(s) if silent => Some(Suspicion { dark: true, ..s }),
            // Back after an absence: what it was before no longer counts.
            Some(s) if s.dark => {
                (m.cold_since, m.load, m.limit) = (Some(now), EASY, m.limit / 2.0);
                None
            }
            // It was there all the time: a cap on connections, or an answer that was lost, is no restart.
            Some(s) if s.lost => None,
            // A hung process answers probes; only an execution clears it.
            suspicion => suspicion.map(|s| Suspicion { probe_ok: true, ..s }),
        };
        m.probed_at -= if ending == Ending::Full { lot * POLL_SOON } else { 0.0 };
        m.reports |= report.role.is_some() && self.terms.reports == Reports::WithAnswers;
        self.hear(now, host, report, false);
        self.place_waiting(now, self.members[host].listed.group, front);
    }

    pub fn hosts(&mut self, now: f64, list: &[Listed], front: &mut impl Front) {
        let first_limit = (FIRST_LIMIT / self.terms.routers as f64).max(2.0);
        for listed in list {
            if listed.host == self.members.len() {
                let probed_at = now - POLL * self.sampler.current(listed.host);
                self.members.push(Member { probed_at, load: EASY, limit: first_limit, ..Member::default() });
                // Hundreds that start at once ask where they are asked; a few ask each host.
                self.probes += (FEW / self.terms.routers as f64).min(1.0);
                self.group(listed.group).members.push(listed.host);
            }
            let m = &mut self.members[listed.host];
            if listed.started_at.is_some() && listed.started_at != m.listed.started_at {
                (m.cold_since, m.limit) = (listed.started_at, first_limit);
            }
            m.drained &= listed.standing != Standing::Ready;
            m.drained |= listed.standing == Standing::Draining;
            m.listed = *listed;
            if self.barred(listed.host) {
                self.unseat(listed.host);
            }
        }
        (0..self.groups.len()).for_each(|group| self.place_waiting(now, group, front));
    }

    pub(crate) fn group(&mut self, group: usize) -> &mut Group {
        self.groups.resize(self.groups.len().max(group + 1), Group { open: 1.0, ..Group::default() });
        &mut self.groups[group]
    }

    /// What the fleet leaves this router of its budgets, where there is talk: bounds beside its reckoning.
    pub fn parts(&mut self, now: f64, parts: &Parts, front: &mut impl Front) {
        for part in &parts.hosts {
            (self.members[part.host].units, self.members[part.host].tokens) = (part.units, part.tokens);
        }
        self.terms.routers = parts.routers.unwrap_or(self.terms.routers);
        if let Some(retries) = parts.second_tries {
            self.retries.set(retries);
        }
        (0..self.groups.len()).for_each(|group| self.place_waiting(now, group, front));
    }

    pub fn is_cold(&self, now: f64, host: usize) -> bool {
        self.part(now, &self.members[host]) < 1.0
    }

    pub fn waiting(&self, group: usize) -> usize {
        self.groups.get(group).map_or(0, |group| group.waiting.len())
    }

    pub fn list_failed(&mut self) {
        self.list_is_due = self.terms.list_on_request;
    }

    /// The client left, or its time is up: nothing is owed any more.
    pub fn hangup(&mut self, index: usize) {
        let class = ClassId::new(self.held[index].stmt.workload);
        self.classes.get_mut(class).client_retries().expect(1.0);
        let next = self.held[index].state.out_at().map_or(State::Vacant, State::Abandoned);
        self.pass(index, next);
    }

    pub fn timer(&mut self, now: f64, front: &mut impl Front) {
        if std::mem::take(&mut self.list_is_due) {
            front.follow();
        }
        self.stalls.record_call(now);
        self.classes.tick();
        self.notice_silence(now, front);
        self.set_flow(now);
        self.turn = (self.turn + 1) % self.groups.len().max(1);
        for group in 0..self.groups.len() {
            if group == self.turn || !self.groups[group].waiting.is_empty() {
                self.place_waiting(now, group, front);
                self.poll(now, group, front);
            }
        }
        self.forget_marks();
        front.wake(TICK);
    }

    /// Whether what was chosen may still go out, as a list, a role or the time may have changed meanwhile.
    pub fn may_begin(&self, now: f64, index: usize, host: usize) -> bool {
        !self.barred(host) && self.rules(now, host, &self.held[index])
    }

    /// The same of a probe.
    pub fn may_probe(&self, host: usize) -> bool {
        !self.barred(host)
    }
}
