//! The decisions of ottersill: which member runs a statement, when it waits, when it is given up. Types are
//! in `interface.rs`, records in `state.rs`; the `Front` that a [`Router`] is lent carries out decisions.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::interface::*;
use crate::state::*;

/// Probes a second for each member while its group polls (the design's default).
const POLL: f64 = 1.0;
/// Between probes where the next answer decides something: no primary, a suspect, a position about to age.
const POLL_SOON: f64 = 0.25;
/// Probes that a statement pays for: what is told of a member is worth as much as is asked of it.
const PROBES: f64 = 0.12;
/// Between two looks at what waits and what is silent; well under any SLO time, too rare to cost anything.
const BEAT: f64 = 0.02;
/// How long a read that finds no fresh replica waits before it takes the primary.
const READ_WAIT: f64 = 0.03;
/// Answers that use this part of the SLO time on average leave room for long ones; the second does not.
const EASY: f64 = 0.35;
const TIGHT: f64 = 0.5;
/// Executions in flight on a member nothing is known of yet, from all routers.
const FIRST_LIMIT: f64 = 20.0;
/// In flight from all routers, where slow answers tell of the member or the statement, not of a crowd.
const FEW: f64 = 8.0;
/// Part of the primary's limit that reads may fill; the rest is kept for writes.
const READS_ON_PRIMARY: f64 = 0.5;
/// Silence, in typical answer times summed over what is out, that chance hardly explains (e^-7: 1 in 1000).
const SILENCE: f64 = 7.0;
/// Time between trials of a suspect, and after which what was learnt of a member counts half.
const TRIAL: f64 = 1.0;
/// Margin for the chance in what a cold host is sent.
const COLD: f64 = 0.8;
/// The part of what a cold host is allowed that it may be sent where more is offered than its group answers.
const COLD_CROWDED: f64 = 0.4;
/// Seconds over which what a group has answered and rejected fades: what it could do before some of it went cold
/// must not count for long.
const COLD_MEMORY: f64 = 2.0;
/// What any member is taken to be able to do, in sizes of warm ones: a list may name a size of nothing.
const LEAST_CAPACITY: f64 = 0.01;
/// Typical answer times that an execution needs to be likely in time, and that are worth a try at once.
const ENOUGH: f64 = 1.4;
const HASTE: f64 = 0.7;
/// Further executions of what may have run, as a part of first ones.
const SECOND_TRIES: f64 = 0.1;
/// When a client that was turned away in time may try again.
const RETRY: f64 = 0.1;
/// The spread of a shape's work from which on nothing is believed of it.
const VAGUE: f64 = 0.7;
/// A read is long if it takes this many times what the shortest workload takes.
const LONG: f64 = 4.0;
/// Seconds over which worth is weighed and a word on load fades; change a beat of what is held back.
const WORTH: f64 = 5.0;
const FLOW: f64 = 0.02;
/// Weight of the newest answer in what is learnt of a member; a fifth of it in what is learnt of a workload.
const LEARN: f64 = 0.1;
/// Time after which a member that took nothing is tried again.
const FORGET: f64 = 15.0;
/// Marks of sessions that are remembered one by one; beyond, all are folded into what every session needs.
const MARKS: usize = 10_000;
/// What a group that was closed to some reads opens in a second; a sixth of its answers may come late.
const REOPEN: f64 = 0.1;

pub struct Router {
    terms: Terms,
    rows: Vec<Row>,
    members: Vec<Member>,
    groups: Vec<Group>,
    /// A slot a statement held by the front; as many as were ever held at once.
    held: Vec<Held>,
    /// Statements each tenant may still send within its share, as of when.
    shares: Vec<(f64, f64)>,
    /// Last write of each session of a group, where these are remembered, and writes of it that are out;
    /// emptied once all the group has it.
    marks: BTreeMap<(usize, u64), (f64, u32)>,
    second_tries: f64,
    /// Probes paid for.
    probes: f64,
    called_at: f64,
    /// When it last came back from a stall of its own.
    awake_since: f64,
    pace: f64,
    bound: Option<f64>,
    list_is_due: bool,
    draws: u64,
    turn: usize,
}

impl Member {
    /// Weight of one answer: what was learnt fades, and a router that hears rarely has little else to go by.
    fn weight(&self, now: f64) -> f64 {
        let since = now - self.answered_at;
        (since / (since + TRIAL)).clamp(LEARN, 0.5)
    }

    /// The part of it that is free, by its own word, or where it has none for that by how its answers come.
    fn spare(&self, now: f64) -> f64 {
        let (told, late) = (self.busy * (-(now - self.busy_at) / WORTH).exp(), self.load - EASY);
        (1.0 - if self.busy_at > 0.0 { told } else { late / (TIGHT - EASY) }).clamp(0.05, 1.0)
    }

    /// Whether one more execution is within a part of the limit, of which the fraction goes by lot, as
    /// hundreds of routers may have one out. A bad word fades, or nothing better would be heard.
    fn holds(&self, now: f64, part: f64, odds: f64) -> bool {
        let limit = self.limit.max(((now - self.answered_at) / FORGET).min(1.0));
        let granted = self.units.is_none_or(|units| (self.in_flight as f64) < units);
        granted && (self.in_flight as f64) + odds < limit * part
    }
}

impl Row {
    /// Seconds that an answer takes, for a statement with so much more work than is usual.
    fn takes(&self, more: f64) -> f64 {
        (self.typical + more).max(self.typical / FEW)
    }
}

impl Router {
    pub fn start(now: f64, terms: Terms, front: &mut impl Front) -> Router {
        let usual = (0.0, 0);
        let row =
            |w: Workload| Row { typical: Router::typical(&w), terms: w, usual, may_return: 0.0, work: 0.0 };
        // Behind the workloads their twins, for a text that may write, whatever its name.
        let (needs, effect) = (Needs::Primary, Effect::NonIdempotent);
        let twins = terms.workloads.iter().map(|w| Workload { needs, effect, ..w.clone() });
        let router = Router {
            rows: terms.workloads.iter().cloned().chain(twins).map(row).collect(),
            shares: vec![(0.0, now); terms.tenant_rates.len()],
            members: Vec::new(),
            groups: Vec::new(),
            held: Vec::new(),
            marks: BTreeMap::new(),
            second_tries: 5.0,
            probes: 0.0,
            called_at: now,
            awake_since: now,
            pace: 0.0,
            bound: terms.workloads.iter().filter_map(|w| w.bound()).reduce(f64::min),
            list_is_due: terms.list_on_request,
            draws: 0,
            turn: 0,
            terms,
        };
        front.wake(BEAT);
        router
    }

    /// What an answer of a workload is taken to need before any came.
    pub fn typical(workload: &Workload) -> f64 {
        workload.slo_time / 6.0
    }

    fn row_of(&self, workload: usize, writes: bool) -> usize {
        let count = self.terms.workloads.len();
        let reads = workload < count && self.rows[workload].terms.needs != Needs::Primary;
        if writes && reads { workload + count } else { workload }
    }

    pub fn statement(&mut self, now: f64, index: usize, stmt: Statement, front: &mut impl Front) {
        let stmt = Statement { workload: self.row_of(stmt.workload, stmt.writes), ..stmt };
        let row = &mut self.rows[stmt.workload];
        // A client gives each first try the same time, a later one what is left of its patience.
        let (usual, votes) = row.usual;
        if !stmt.repeat {
            let vote = if (stmt.time_left - usual).abs() < BEAT { 1 } else { -1 };
            row.usual = if votes + vote < 0 { (stmt.time_left, 1) } else { (usual, votes + vote) };
        }
        let later = (stmt.time_left - row.usual.0).abs() >= BEAT;
        // Unmarked, another time than the usual tells of a later try as far as tries have failed here.
        let returned = stmt.repeat || later && row.may_return >= 1.0;
        let late = f64::from(later && returned);
        row.may_return -= late * row.may_return.min(1.0);
        let passed = late * (row.terms.statement_timeout - stmt.time_left).max(0.0);
        let worth = if returned { 0.0 } else { row.terms.importance };
        let slo_left = if row.terms.late_share > 0.0 { f64::INFINITY } else { row.terms.slo_time - passed };
        let left = stmt.time_left.min(slo_left);
        let more = stmt.work.map_or(0.0, |w| (1.0 - w.spread / VAGUE).max(0.0) * (w.own - w.usual));
        let typical = row.takes(more);
        let start_by = now + (left - ENOUGH * typical).max((left - HASTE * typical).min(BEAT / 10.0));
        let mut rank = row.terms.importance / typical;
        if let Some(tenant) = stmt.tenant {
            let rate = self.terms.tenant_rates[tenant] / self.terms.routers as f64;
            let (left, at) = self.shares[tenant];
            let left = (left + (now - at) * rate).min(rate);
            rank *= if left < 1.0 { self.terms.over_share } else { 1.0 };
            self.shares[tenant] = (if left < 1.0 { left } else { left - 1.0 }, now);
        }
        let mark = stmt.since_write.map_or(0.0, |since| now - since);
        let (state, arrived, lot, sent) = (State::Vacant, now, self.draws, (now, None));
        let (executions, ran) = (0, None);
        let held =
            Held { state, stmt, arrived, start_by, mark, more, rank, lot, worth, executions, sent, ran };
        self.group(stmt.group);
        self.held.resize(self.held.len().max(index + 1), held);
        self.held[index] = held;
        self.second_tries = (self.second_tries + SECOND_TRIES).min(20.0);
        self.probes = (self.probes + PROBES).min(20.0);
        self.pass(index, State::Waiting);
        let terms = self.terms_of(&held);
        let (long, writes) = (self.is_long(terms, typical), terms.needs == Needs::Primary);
        let group = &mut self.groups[stmt.group];
        group.reads += if long { 0.0 } else { worth * f64::from(!writes) };
        group.writes += worth * f64::from(writes);
        // What takes most work for its worth goes first; a group heard of often is known by its limits.
        let often = now - group.answered_at < TRIAL / 5.0;
        let open = group.open.powi(1 + i32::from(long));
        let open = if writes { 1.0 - group.held_back } else { open.max(f64::from(often)) };
        if self.odds(self.draws, index) > open {
            return self.give_up(now, index, front);
        }
        self.place(now, index, front);
        self.poll(now, stmt.group, front);
    }

    pub fn outcome(&mut self, now: f64, outcome: &Outcome, front: &mut impl Front) {
        let Outcome { stmt: index, host, ending, closed, .. } = *outcome;
        self.wake_up(now);
        let held = self.held[index];
        let needs = self.terms_of(&held).needs;
        self.learn(now, &held, outcome);
        if !ending.never_ran() && ending != Ending::Completed {
            self.held[index].ran.get_or_insert((held.sent.0, host));
        }
        if ending == Ending::ReadOnly {
            // The text writes, which its reading missed; no member is worse for it.
            self.held[index].stmt.workload = self.row_of(held.stmt.workload, true);
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
            let no_more = self.held[index].ran.is_some() && (once || self.second_tries < 1.0);
            if no_more || held.executions >= self.terms.max_executions {
                self.give_up(now, index, front);
            }
        }
        self.place_waiting(now, held.stmt.group, front);
    }

    /// A probe's end, and what the member reported if it did.
    pub fn probed(&mut self, now: f64, host: usize, ending: Ending, report: Report, front: &mut impl Front) {
        let lot = self.odds(self.draws, host);
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
                let probed_at = now - POLL * self.odds(self.draws, listed.host);
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

    fn group(&mut self, group: usize) -> &mut Group {
        self.groups.resize(self.groups.len().max(group + 1), Group { open: 1.0, ..Group::default() });
        &mut self.groups[group]
    }

    /// What the fleet leaves this router of its budgets, where there is talk: bounds beside its reckoning.
    pub fn parts(&mut self, now: f64, parts: &Parts, front: &mut impl Front) {
        for part in &parts.hosts {
            (self.members[part.host].units, self.members[part.host].tokens) = (part.units, part.tokens);
        }
        self.terms.routers = parts.routers.unwrap_or(self.terms.routers);
        self.second_tries = parts.second_tries.unwrap_or(self.second_tries);
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
        self.rows[self.held[index].stmt.workload].may_return += 1.0;
        let next = self.held[index].state.out_at().map_or(State::Vacant, State::Abandoned);
        self.pass(index, next);
    }

    pub fn timer(&mut self, now: f64, front: &mut impl Front) {
        if std::mem::take(&mut self.list_is_due) {
            front.follow();
        }
        self.wake_up(now);
        for row in &mut self.rows {
            row.may_return -= row.may_return * BEAT / WORTH;
            row.work -= row.work * BEAT / (4.0 * FORGET);
        }
        for group in &mut self.groups {
            let fade = |count: &mut f64| *count -= *count * BEAT / COLD_MEMORY;
            fade(&mut group.rejected_reads);
            fade(&mut group.rejected_writes);
            fade(&mut group.answers);
            fade(&mut group.answered_writes);
        }
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
        front.wake(BEAT);
    }

    /// Where a write's session is remembered, its last write and how many are out.
    fn mark_of(&mut self, held: &Held) -> Option<&mut (f64, u32)> {
        let writes = self.terms.remembers_writes && self.terms_of(held).needs == Needs::Primary;
        let session = held.stmt.session.filter(|_| writes)?;
        Some(self.marks.entry((held.stmt.group, session)).or_default())
    }

    /// Forgets the marks that all of a group have. Who joins later, from an older copy, must come up to them.
    fn forget_marks(&mut self) {
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

    /// Guards against replicas that fall behind for good, where reads lost are worth more than writes held.
    fn set_flow(&mut self, now: f64) {
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
            let fade = |worth: &mut f64| *worth -= *worth * BEAT / WORTH;
            [&mut at.reads_lost, &mut at.reads, &mut at.writes].into_iter().for_each(fade);
        }
    }

    /// Guards against stalls of this router itself: what was not heard meanwhile tells nothing of members.
    fn wake_up(&mut self, now: f64) {
        self.awake_since = if now - self.called_at > 5.0 * BEAT { now } else { self.awake_since };
        self.called_at = now;
    }

    /// Every change of a statement's state.
    fn pass(&mut self, index: usize, to: State) {
        let held = self.held[index];
        let waiting = &mut self.groups[held.stmt.group].waiting;
        if held.state == State::Waiting {
            waiting.retain(|other| *other != index);
        }
        if to == State::Waiting {
            let all = &self.held;
            let ahead = |other: &usize| (all[*other].rank, all[*other].arrived) >= (held.rank, held.arrived);
            let place = waiting.partition_point(ahead);
            waiting.insert(place, index);
        }
        held.state.out_at().into_iter().for_each(|host| self.members[host].in_flight -= 1);
        to.out_at().into_iter().for_each(|host| self.members[host].in_flight += 1);
        self.held[index].state = to;
    }

    /// The final answer, at once, to what nothing better can come of.
    fn give_up(&mut self, now: f64, index: usize, front: &mut impl Front) {
        let held = self.held[index];
        let harmless = match (self.terms_of(&held).effect, held.ran) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::Deduplicated { within, .. }, Some(_)) => within == Within::Everywhere,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        self.pass(index, State::Vacant);
        let row = &mut self.rows[held.stmt.workload];
        row.may_return += if held.worth > 0.0 { 1.0 } else { 0.5 };
        let bounded = self.terms_of(&held).bound().is_some();
        self.groups[held.stmt.group].reads_lost += if bounded { held.worth } else { 0.0 };
        if harmless {
            let group = &mut self.groups[held.stmt.group];
            match self.rows[held.stmt.workload].terms.needs {
                Needs::Primary | Needs::Fresh => group.rejected_writes += 1.0,
                _ => group.rejected_reads += 1.0,
            }
            // A client that comes back after its SLO time only adds load; until then the sooner the better.
            let late = now >= held.arrived + self.terms_of(&held).slo_time;
            let soonest = if late { f64::INFINITY } else { RETRY };
            front.reject(index, self.terms.max_retry_after.min(soonest));
        } else {
            front.abort(index);
        }
    }

    fn place_waiting(&mut self, now: f64, group: usize, front: &mut impl Front) {
        self.groups[group].waiting.clone().into_iter().for_each(|index| self.place(now, index, front));
    }

    fn place(&mut self, now: f64, index: usize, front: &mut impl Front) {
        let held = self.held[index];
        self.draws += 1;
        // Never sent and given up after half of its time, a statement costs more than it may still earn.
        let half = if held.executions > 0 { f64::INFINITY } else { held.stmt.time_left / 2.0 - BEAT };
        if now >= held.start_by.min(held.arrived + half) {
            self.give_up(now, index, front);
        } else if let Some(host) = self.choose(now, &held) {
            self.execute(now, index, host, front);
        }
    }

    /// The member to run a statement now, by the design page; none means wait.
    fn choose(&self, now: f64, held: &Held) -> Option<usize> {
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
        if self.is_long(self.terms_of(held), self.rows[held.stmt.workload].takes(held.more)) {
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
            let waited = waited && !(rare && self.odds(held.lot + 2, *host) > m.spare(now));
            waited && m.holds(now, READS_ON_PRIMARY, self.odds(held.lot, *host)) && self.part(now, m) >= 1.0
        })
    }

    fn part_of(&self, of: impl Fn(&&Row) -> bool) -> f64 {
        let all: f64 = self.rows.iter().map(|row| row.work).sum();
        self.rows.iter().filter(of).map(|row| row.work).sum::<f64>() / all.max(1e-9)
    }

    fn is_long(&self, terms: &Workload, takes: f64) -> bool {
        let shortest = self.rows.iter().map(|row| row.typical).fold(f64::INFINITY, f64::min);
        terms.needs == Needs::Any && takes > LONG * shortest
    }

    /// The replicas that long reads are kept together on: as many as their part of all work fills, in an
    /// order that is the same at all routers, so that hundreds meet without a word.
    fn kept(&self, now: f64, group: &Group) -> Vec<usize> {
        let part = self.part_of(|row| self.is_long(&row.terms, row.typical));
        let mut kept = group.members.clone();
        kept.retain(|host| self.usable(now, *host));
        let few = (part * kept.len() as f64).round().max(f64::from(part > 0.0)) as usize;
        kept.retain(|host| Some(*host) != group.pointer);
        kept.sort_by_key(|host| self.members[*host].listed.order);
        kept.truncate(few);
        kept
    }

    /// The primary, for as much of the reads as leaves it no more work than each of few fresh replicas has.
    fn spare(&self, now: f64, group: &Group, fresh: usize, held: &Held) -> Option<usize> {
        let writes = self.part_of(|row| row.terms.needs == Needs::Primary);
        let reads = self.part_of(|row| !matches!(row.terms.needs, Needs::Primary | Needs::Any));
        let m = &self.members[group.pointer?];
        let part = ((writes + reads) / (fresh + 1) as f64 - writes) / reads.max(1e-9) * m.spare(now);
        let taken = self.odds(held.lot, usize::MAX) < part && self.part(now, m) >= 1.0;
        group.pointer.filter(|host| taken && self.room(now, *host, held))
    }

    /// Of those with fewest executions in flight, nearly all where routers are many, one is drawn by lot.
    fn fewest(&self, now: f64, among: &[usize], open: impl Fn(usize) -> bool) -> Option<usize> {
        let open: Vec<usize> = among.iter().copied().filter(|host| open(*host)).collect();
        let least = open.iter().map(|host| self.members[*host].in_flight).min()?;
        let lot = |host: &usize| {
            let m = &self.members[*host];
            let near = if m.listed.site == self.terms.site { 1.5 } else { 1.0 };
            let weight = m.listed.size * near * m.spare(now) / m.load.max(0.1).powi(2);
            -(self.odds(self.draws, *host)).ln() / weight
        };
        let tied = open.into_iter().filter(|host| self.members[*host].in_flight == least);
        tied.min_by(|a, b| lot(a).total_cmp(&lot(b)))
    }

    fn terms_of(&self, held: &Held) -> &Workload {
        &self.rows[held.stmt.workload].terms
    }

    fn odds(&self, counter: u64, host: usize) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.terms.seed, counter, host).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    fn needed(&self, now: f64, held: &Held) -> f64 {
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
    fn stands(&self, now: f64, host: usize) -> f64 {
        let m = &self.members[host];
        // Nobody asks it often where routers are many: one that fell behind is taken to catch up meanwhile.
        m.lsn.max(now - (m.lag - (now - m.told_at)).max(m.lag.min(READ_WAIT)))
    }

    fn barred(&self, host: usize) -> bool {
        let m = &self.members[host];
        m.drained || m.listed.standing == Standing::Gone && !self.terms.only_draining_bars
    }

    fn usable(&self, now: f64, host: usize) -> bool {
        let m = &self.members[host];
        let heard = m.role.is_some() || !self.terms.may_probe;
        heard && !self.barred(host) && m.suspicion.is_none_or(|s| now >= s.trial_at && s.probe_ok)
    }

    /// Whether what was chosen may still go out, as a list, a role or the time may have changed meanwhile.
    pub fn may_begin(&self, now: f64, index: usize, host: usize) -> bool {
        !self.barred(host) && self.rules(now, host, &self.held[index])
    }

    /// The same of a probe.
    pub fn may_probe(&self, host: usize) -> bool {
        !self.barred(host)
    }

    /// The rules on data and effects for one more execution there now.
    fn rules(&self, now: f64, host: usize, held: &Held) -> bool {
        let m = &self.members[host];
        let known = self.terms.members_check_reads || self.groups[m.listed.group].pointer == Some(host);
        (known || m.lsn >= self.needed(now, held)) && self.effect_allows(now, host, held)
    }

    /// Whether a member may be given one more execution, by the rules first, then by its health and its load.
    fn room(&self, now: f64, host: usize, held: &Held) -> bool {
        self.rules(now, host, held) && self.is_willing(now, host, held)
    }

    fn is_willing(&self, now: f64, host: usize, held: &Held) -> bool {
        let m = &self.members[host];
        let trial = m.in_flight == 0 && self.terms_of(held).effect == Effect::Idempotent;
        let health = (m.suspicion.is_none() || trial) && self.usable(now, host) && m.full_at < held.arrived;
        health && self.cold_allows(now, host, held) && m.holds(now, 1.0, self.odds(held.lot, host))
    }

    fn effect_allows(&self, now: f64, host: usize, held: &Held) -> bool {
        match (self.terms_of(held).effect, held.ran) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::NonIdempotent, Some(_)) => false,
            (Effect::Deduplicated { within, window }, Some((at, ran))) => {
                let same_site = self.members[ran].listed.site == self.members[host].listed.site;
                now < at + window && (within != Within::Site || same_site)
            }
        }
    }

    /// Guards against pushing over a cold host: of the statements that fall to it by its size, a lot lets
    /// through its part times the multiple at which it falls, with a margin, at all routers alike.
    fn cold_allows(&self, now: f64, host: usize, held: &Held) -> bool {
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
        // What waited for it, as for a new primary, would come from all routers at once: few of that.
        let prompt = (1.0 - (now - held.arrived) / (self.terms.fall_span / 2.0)).max(0.0);
        let lot = self.odds(held.lot + u64::from(held.executions), host);
        let offered = COLD / 2.0 * share * prompt;
        lot < self.terms.fall_multiple * part * offered.min(self.cold_crowded(host, held))
    }

    /// Guards against crowds at a cold host. Its part of what is offered is more than it can take where clients come
    /// back until they are answered; what its group answers can't be more than its members can do. Summed over all
    /// routers, this sends it so much of what a member with as much of its capacity answers.
    fn cold_crowded(&self, host: usize, held: &Held) -> f64 {
        let group = &self.groups[self.members[host].listed.group];
        let (rejected, answers) = match self.terms_of(held).needs {
            Needs::Primary | Needs::Fresh => {
                (group.rejected_writes, group.answers.max(group.answered_writes))
            }
            _ => (group.rejected_reads, group.answers),
        };
        // Where nothing was rejected of late nothing comes back: what is asked for stands for itself.
        let offered = 1.0 + rejected;
        COLD_CROWDED * self.members[host].listed.size * (answers + offered.powi(-2)) / offered
    }

    /// What the members of a group that were heard of can do now, in sizes of warm ones.
    fn capacity(&self, now: f64, group: usize) -> f64 {
        let heard = |m: &&Member| m.role.is_some() || !self.terms.may_probe;
        let there = self.groups[group].members.iter().filter(|host| !self.barred(**host));
        there.map(|host| &self.members[*host]).filter(heard).map(|m| self.capacity_of(now, m)).sum()
    }

    fn capacity_of(&self, now: f64, m: &Member) -> f64 {
        (m.listed.size * self.part(now, m)).max(LEAST_CAPACITY)
    }

    /// The part of its capacity that a member has at least.
    fn part(&self, now: f64, m: &Member) -> f64 {
        let grown = m.cold_since.map_or(1.0, |since| ((now - since) / self.terms.warm_after).clamp(0.0, 1.0));
        self.terms.cold_part + (1.0 - self.terms.cold_part) * grown
    }

    /// Every execution passes here; what `room` has allowed is counted.
    fn execute(&mut self, now: f64, index: usize, host: usize, front: &mut impl Front) {
        let held = self.held[index];
        // A trial must leave time for a second execution elsewhere.
        let time_out = self.members[host].suspicion.map_or(0.0, |_| self.terms_of(&held).slo_time / 2.0);
        let m = &mut self.members[host];
        m.suspicion = m.suspicion.map(|s| Suspicion { trial_at: now + TRIAL, ..s });
        self.second_tries -= if held.ran.is_some() { 1.0 } else { 0.0 };
        self.mark_of(&held).into_iter().for_each(|(_, out)| *out += 1);
        self.held[index] = Held { executions: held.executions + 1, sent: (now, Some(host)), ..held };
        self.pass(index, State::Executing(host));
        front.execute(index, host, time_out);
    }

    /// Role and position from an answer, which speaks of now, or from a report, which speaks of its position.
    fn hear(&mut self, now: f64, host: usize, said: Report, answer: bool) {
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
    fn deny(&mut self, at: f64, host: usize) {
        let m = &mut self.members[host];
        m.role = Some(Role::Replica);
        m.denied_at = m.denied_at.max(at);
        self.unseat(host);
    }

    /// The member may have been lost as a primary; its next word on that is believed again.
    fn unseat(&mut self, host: usize) {
        let pointer = &mut self.groups[self.members[host].listed.group].pointer;
        *pointer = pointer.filter(|primary| *primary != host);
    }

    fn suspect(&mut self, now: f64, host: usize, lost: bool) {
        let (trial_at, probe_ok) = (now + TRIAL, !self.terms.may_probe);
        let new = Suspicion { trial_at, lost, dark: false, probe_ok };
        self.members[host].suspicion.get_or_insert(new);
        self.unseat(host);
    }

    /// What an execution's end tells of its member and its workload.
    fn learn(&mut self, now: f64, held: &Held, outcome: &Outcome) {
        let own = self.capacity_of(now, &self.members[outcome.host]);
        let capacity = self.capacity(now, held.stmt.group).max(own);
        let writes = matches!(self.terms_of(held).needs, Needs::Primary | Needs::Fresh);
        let row = &mut self.rows[held.stmt.workload];
        let m = &mut self.members[outcome.host];
        let weight = m.weight(now);
        let group = &mut self.groups[m.listed.group];
        let since = (now - group.answered_at).min(TRIAL);
        let stalled = held.sent.0 < self.awake_since;
        // A statement that is long itself tells of no crowd; one that is short could hide it.
        let took = (outcome.took - held.more).max(0.0);
        // Guards against crowds no router sees. A time-out tells of one if answers take long too.
        let late = outcome.ending == Ending::Full || outcome.took.min(took) > row.terms.slo_time;
        let done = outcome.ending == Ending::Completed;
        self.pace += f64::from(done) * LEARN * ((took / row.terms.slo_time).min(1.0) - self.pace);
        let crowd = outcome.ending == Ending::TimedOut && self.pace > EASY;
        if !stalled && (done || crowd || outcome.ending == Ending::Full) {
            let step = if late { -group.open / 2.0 } else { REOPEN };
            group.open = (group.open + since * step).clamp(REOPEN / 2.0, 1.0);
        }
        group.answered_at = now;
        group.answers += f64::from(done) / capacity;
        group.answered_writes += f64::from(done && writes) / own;
        // A second try that paid is not counted.
        self.second_tries += f64::from(done && held.ran.is_some());
        let share = if stalled { m.load } else { took / row.terms.slo_time };
        // Guards against members taken for crowded that are slow themselves: few would be no quicker there.
        let few = m.limit.min(FEW / self.terms.routers as f64);
        let gave_up = matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled);
        // It has answered others since: what came to nothing was long itself, or one answer was lost.
        let mild = gave_up && m.answered_at > held.sent.0;
        let (lost, least) = if mild { (weight / 2.0, few) } else { (weight, 0.0) };
        use Ending::{Completed, Error, Full, Miss, ReadOnly};
        if matches!(outcome.ending, Completed | Miss | ReadOnly | Error | Full) {
            (m.answered_at, m.missed) = (now, 0.0);
        }
        m.missed += f64::from(gave_up);
        row.work += f64::from(!outcome.ending.never_ran()) * if done { took } else { row.typical };
        match outcome.ending {
            Ending::Completed => {
                row.typical += if stalled { 0.0 } else { LEARN / 5.0 * (took - row.typical) };
                if m.suspicion.take().is_some() {
                    (m.limit, m.load) = (m.limit / 2.0, EASY);
                }
                m.load += weight * (share - m.load);
                // Reads fill their part of the primary at most, and it is full with that.
                let part = if group.pointer == Some(outcome.host) { READS_ON_PRIMARY } else { 1.0 };
                if m.load < EASY && m.in_flight as f64 >= m.limit * part - 1.0 {
                    m.limit += (1.0 / m.limit).min(m.limit);
                } else if m.load > TIGHT {
                    m.limit = (m.limit * (1.0 - weight / 2.0)).max(few);
                }
            }
            Ending::Error | Ending::Full | Ending::TimedOut | Ending::Cancelled => {
                m.load += lost * (share.max(1.0) - m.load);
                // Full with no more than this of ours: a limit beyond that means nothing.
                if outcome.ending == Ending::Full {
                    (m.full_at, m.limit) = (now, m.limit.min(m.in_flight as f64));
                }
                m.limit = (m.limit * (1.0 - lost)).max(least);
            }
            // Under a cap on connections some fail at a member that answers others.
            Ending::ConnectFailed | Ending::Reset if now - m.answered_at > TRIAL / 2.0 => {
                self.suspect(now, outcome.host, true)
            }
            _ => {}
        }
    }

    /// Guards against members that take statements and answer none, by how many typical answer times have
    /// passed for all that is out there, two executions at least: one alone may be a lost answer.
    fn notice_silence(&mut self, now: f64, front: &mut impl Front) {
        let mut silence: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for held in &self.held {
            if let Some(host) = held.state.out_at() {
                let (m, row) = (&self.members[host], &self.rows[held.stmt.workload]);
                let typical = row.takes(held.more).max(row.terms.slo_time * m.load);
                let (sum, count) = silence.entry(host).or_insert((0.0, m.missed));
                *sum += (now - held.sent.0.max(m.answered_at).max(self.awake_since)) / typical;
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

    /// Calls a read off a silent suspect at the last moment for another to answer in time.
    fn recall(&mut self, now: f64, front: &mut impl Front) {
        for index in 0..self.held.len() {
            let held = self.held[index];
            let State::Executing(host) = held.state else { continue };
            let (row, m) = (&self.rows[held.stmt.workload], &self.members[host]);
            let silent = m.suspicion.is_some() && m.answered_at < held.sent.0;
            let last_moment = now >= held.start_by - row.takes(held.more) && now < held.start_by;
            let may = self.terms.may_cancel && held.executions < self.terms.max_executions;
            let again = row.terms.effect == Effect::Idempotent && self.second_tries >= 1.0;
            if silent && last_moment && may && again {
                self.pass(index, State::Recalled(host));
                front.cancel(index, held.executions - 1);
            }
        }
    }

    /// The replica to ask where a read waits that none is known to be fresh enough for.
    fn asked(&self, now: f64, group: &Group) -> Option<usize> {
        let read = |index: &&usize| self.needed(now, &self.held[**index]).is_finite();
        let held = &self.held[*group.waiting.iter().find(read)?];
        self.fewest(now, &group.members, |host| {
            let m = &self.members[host];
            let due = !m.probe_out && now - m.probed_at >= POLL_SOON && group.pointer != Some(host);
            due && !self.rules(now, host, held) && self.is_willing(now, host, held)
        })
    }

    /// Probes the members of a polling group, and those whose next word decides something, as far as
    /// statements pay for it, or many routers would ask more than they send; what one waits for at once.
    fn poll(&mut self, now: f64, group: usize, front: &mut impl Front) {
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
}
