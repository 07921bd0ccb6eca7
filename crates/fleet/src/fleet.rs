//! One member of the fleet: what it hears, what it says, what it may spend. No I/O and no clock: datagrams and times
//! are handed in, datagrams to send are picked up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::books::{Books, Entry, Grant, Key, Line, POTS};
use crate::members::{Member, Members, Turned, sender_address};
use crate::purse::{Purse, Standing};
use crate::seal::{Body, Letter, NO_QUESTION, Refusal, Seal};
use crate::terms::{Charter, Process};
use crate::vote::{Answer, Ballot, Call, Candidate, Voter};

/// Questions in a lease: three may be lost in a row before a right runs out.
const ASKS: f64 = 4.0;
/// As many where something was turned away for want of a right.
const SHORT_ASKS: f64 = 20.0;
/// Budgets asked for in one datagram: under 1,400 bytes of them.
const ENTRIES: usize = 24;
/// Questions whose time of asking is remembered; the oldest go, and answers to them count for nothing.
const ASKED: usize = 256;
/// Processes of another charter that are told of by name.
const STRANGERS: usize = 64;
/// Seconds from its start in which a process takes a larger incarnation where one of its name is known. One that has run
/// for longer was followed by that one, and stands back.
const YOUNG: f64 = 60.0;
/// How often a process does so: once for each earlier one of its name whose clock was ahead and that some peers know of.
/// More often only where two processes of one name run.
const RAISES: u32 = 8;
/// By how much at most, beyond the one that is known, in microseconds. By chance, as two lives that learn of the same
/// earlier one must not take the same.
const RAISE_BY: u64 = 1 << 20;
/// Budgets and subjects that a router holds a purse of.
const PURSES: usize = 4096;

/// A datagram to be sent. Where the member's address was not given to this one, it is the one that it told.
#[derive(Clone, Debug, PartialEq)]
pub struct Parcel {
    pub to: String,
    pub told: Option<SocketAddr>,
    pub datagram: Vec<u8>,
}

/// What happened, for the log and for whoever adds up.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Turned(Turned),
    /// This process keeps the books from now on, or no longer does.
    Keeps(bool),
    /// Whom it asks.
    Keeper(String),
    /// A right of its own: units of both pots and their ends. `serial` names the grant in its tenure.
    Right {
        key: Key,
        epoch: Ballot,
        serial: u64,
        amounts: [u64; POTS],
        until: [f64; POTS],
    },
    Stands {
        key: Key,
        standing: Standing,
    },
    /// A process whose file differs in what has to be alike; it gets no answer.
    Stranger(Process),
    /// A larger incarnation of its own name was known to others, so this process goes by a larger one still. It has no
    /// part of anything until it is granted one anew.
    Raised {
        from: u64,
        to: u64,
    },
    /// A process of its name that was started later is known to others; they do not hear this one any more.
    Superseded {
        by: u64,
    },
    /// The keeper goes by a smaller whole than this one's file: another member's file says so.
    SmallerWhole {
        key: Key,
        own: u64,
        used: u64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub heard: u64,
    pub heard_bytes: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub unproved: u64,
    pub astray: u64,
    pub old: u64,
    /// Questions that nobody answered in time.
    pub unanswered: u64,
    /// Grants that came too late, or of an earlier tenure.
    pub stale: u64,
    /// Candidates or voters whose file differs in what has to be alike.
    pub strangers: u64,
    /// Letters of another process under this one's name.
    pub namesakes: u64,
    pub elections: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Taking,
    /// Leaving: everything was given back.
    Left,
}

pub struct Fleet {
    charter: Charter,
    me: Process,
    started_at: f64,
    raises: u32,
    superseded: bool,
    rng: SmallRng,
    electorate: u64,
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    books: Option<Books>,
    kept: bool,
    purses: BTreeMap<Key, Purse>,
    /// Whom to ask: the keeper's name as far as known, and the newest tenure that was heard of.
    keeper: Option<String>,
    epoch: Ballot,
    turn: usize,
    nonce: u64,
    asked: VecDeque<(u64, f64)>,
    /// The first question that is still open, if one is.
    open_since: Option<f64>,
    ask_at: f64,
    asked_at: f64,
    members: Members,
    seal: Seal,
    phase: Phase,
    strangers: BTreeSet<Process>,
    parcels: Vec<Parcel>,
    /// What it says to itself; empty between calls.
    inbox: VecDeque<Letter>,
    events: Vec<Event>,
    pub counts: Counts,
}

/// What a member is started with beside the charter.
pub struct Berth<'a> {
    /// Of [`incarnation`](crate::terms::incarnation): larger than at any earlier start of this name unless the clock was
    /// stepped back, and another than at any.
    pub incarnation: u64,
    /// Where the others reach it.
    pub at: SocketAddr,
    /// Addresses of the voters, by name.
    pub seeds: Vec<(String, SocketAddr)>,
    pub secret: &'a [u8],
    pub seed: u64,
}

impl Fleet {
    pub fn start(now: f64, charter: Charter, berth: Berth) -> Fleet {
        let me = Process { name: charter.name.clone(), incarnation: berth.incarnation };
        let (lease, voters) = (charter.keeper_lease, charter.voters.len());
        let candidate = charter.seat().map(|seat| {
            // Whoever rests has nothing to win before; then one seat after the other.
            let wait = lease * (1.0 + 0.1 * f64::from(seat));
            Candidate::start(now, seat, me.incarnation, voters, charter.short(lease), wait)
        });
        let mut fleet = Fleet {
            electorate: charter.electorate(),
            voter: charter.seat().map(|_| Voter::start(now, lease)),
            candidate,
            books: None,
            kept: false,
            purses: BTreeMap::new(),
            keeper: None,
            epoch: Ballot::default(),
            turn: (berth.seed % 64) as usize,
            nonce: 0,
            asked: VecDeque::new(),
            open_since: None,
            ask_at: now,
            asked_at: f64::NEG_INFINITY,
            started_at: now,
            raises: 0,
            superseded: false,
            rng: SmallRng::seed_from_u64(berth.seed),
            members: Members::start(now, me.clone(), berth.at, berth.seeds, berth.seed),
            seal: Seal::new(berth.secret, me.clone()),
            phase: Phase::Taking,
            strangers: BTreeSet::new(),
            parcels: Vec::new(),
            inbox: VecDeque::new(),
            events: Vec::new(),
            counts: Counts::default(),
            me,
            charter,
        };
        for budget in 0..fleet.charter.budgets.len() {
            fleet.purse(now, (fleet.charter.budgets[budget].id, 0));
        }
        fleet
    }

    /// The purse of a budget and subject; made at the first use.
    fn purse(&mut self, now: f64, key: Key) -> Option<&mut Purse> {
        let budget = self.charter.budget(key.0)?;
        if !self.purses.contains_key(&key) && self.purses.len() >= PURSES {
            return None;
        }
        let (kind, whole, nonce) = (budget.kind, budget.whole, self.nonce);
        Some(self.purses.entry(key).or_insert_with(|| Purse::new(now, kind, whole, nonce)))
    }

    /// Spends a unit, if there is one at `now`, for which the clock is to be read anew. The event names the grant.
    pub fn take(&mut self, now: f64, key: Key) -> bool {
        let taken = self.purse(now, key).is_some_and(|purse| purse.take(now));
        if !taken {
            self.hurry(now);
        }
        taken
    }

    /// Asks as soon as it may again: at once, if it has not asked just now.
    fn hurry(&mut self, now: f64) {
        self.ask_at = self.ask_at.min((self.asked_at + self.charter.lease / SHORT_ASKS).max(now));
    }

    /// Something waits for so many units beyond those in use.
    pub fn want(&mut self, now: f64, key: Key, units: u64) {
        if let Some(purse) = self.purse(now, key) {
            purse.want(units);
            self.hurry(now);
        }
    }

    pub fn lingering(&self, key: Key) -> u64 {
        self.purses.get(&key).map_or(0, Purse::lingering)
    }

    pub fn tokens(&mut self, now: f64, key: Key) -> f64 {
        self.purse(now, key).map_or(0.0, |purse| purse.tokens(now))
    }

    pub fn has(&mut self, now: f64, key: Key) -> bool {
        self.purse(now, key).is_some_and(|purse| purse.has(now))
    }

    /// A thing in hand is over; see [`Purse::put`].
    pub fn put(&mut self, now: f64, key: Key, proved: bool) {
        if let Some(purse) = self.purses.get_mut(&key) {
            purse.put(now, proved);
        }
    }

    /// Units that may be spent of a budget, and until when; nothing of what was never asked for.
    pub fn right(&self, now: f64, key: Key) -> (u64, f64) {
        self.purses.get(&key).map_or((0, f64::INFINITY), |purse| purse.right(now))
    }

    pub fn purses(&self) -> impl Iterator<Item = (&Key, &Purse)> {
        self.purses.iter()
    }

    /// Lets a purse come to be before it is first needed.
    pub fn expect(&mut self, now: f64, key: Key) {
        self.purse(now, key);
    }

    pub fn in_use(&mut self, now: f64, key: Key) -> u64 {
        self.purses.get_mut(&key).map_or(0, |purse| purse.used(now))
    }

    pub fn me(&self) -> &Process {
        &self.me
    }

    pub fn charter(&self) -> &Charter {
        &self.charter
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.known()
    }

    /// The keeper's name and tenure, as this member knows them.
    pub fn keeper(&self) -> (Option<&str>, Ballot) {
        (self.keeper.as_deref(), self.epoch)
    }

    /// Whether this member keeps the books at this instant.
    pub fn keeps(&self, now: f64) -> bool {
        self.candidate.as_ref().is_some_and(|candidate| candidate.tenure(now).is_some())
    }

    /// What is out of everything, where this member keeps the books.
    pub fn lines(&self, now: f64) -> Vec<Line> {
        let books = self.books.as_ref().filter(|_| self.keeps(now));
        books.map_or(Vec::new(), |books| books.lines(now))
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn parcels(&mut self) -> Vec<Parcel> {
        std::mem::take(&mut self.parcels)
    }

    /// Wholes by a file that was read again. The rest of the charter stays: see [`Charter::electorate`].
    pub fn set_wholes(&mut self, now: f64, wholes: &[(u64, u64)]) {
        for (id, whole) in wholes {
            for budget in self.charter.budgets.iter_mut().filter(|budget| budget.id == *id) {
                budget.whole = *whole;
            }
            for (_, purse) in self.purses.iter_mut().filter(|(key, _)| key.0 == *id) {
                purse.set_whole(now, *whole);
            }
        }
        // The keeper is to hear of it now, not with the next question.
        self.ask_at = now;
    }

    /// Gives everything back and says that it goes. What is in hand still counts until it ends.
    pub fn leave(&mut self, now: f64) {
        if self.phase == Phase::Left {
            return;
        }
        self.phase = Phase::Left;
        for (key, purse) in &mut self.purses {
            purse.give_back(now);
            let (epoch, amounts, until) = (self.epoch, [0; POTS], [now; POTS]);
            self.events.push(Event::Right { key: *key, epoch, serial: u64::MAX, amounts, until });
        }
        let (nonce, seen, electorate) = (self.nonce + 1, self.epoch, self.electorate);
        self.nonce = nonce;
        if let Some(keeper) = self.keeper.clone() {
            self.say(&keeper, Body::Request { nonce, seen, electorate, leaving: true, entries: Vec::new() });
        }
        if let Some(candidate) = &mut self.candidate {
            candidate.resign();
        }
        self.books = None;
        self.members.leave(now);
        self.carry_swim();
        self.settle(now);
    }

    /// A datagram that came.
    pub fn hear(&mut self, now: f64, datagram: &[u8]) {
        self.counts.heard += 1;
        self.counts.heard_bytes += datagram.len() as u64;
        match self.seal.open(datagram) {
            Ok(letter) if letter.from.name == self.me.name => self.counts.namesakes += 1,
            Ok(letter) => {
                self.read(now, letter);
                self.settle(now);
            }
            Err(Refusal::Unproved) => self.counts.unproved += 1,
            Err(Refusal::Astray) => self.counts.astray += 1,
            Err(Refusal::Old) => self.counts.old += 1,
            Err(Refusal::Superseded { letter, known }) => {
                self.counts.old += 1;
                self.tell_known(&letter, known);
            }
        }
    }

    /// Answers a process that a later one of its name has followed, as far as is known here. It may be the later one
    /// itself, on a clock that was stepped back.
    fn tell_known(&mut self, letter: &Letter, known: u64) {
        let told = match &letter.body {
            // Two that hold each other for followed would go on answering for ever.
            Body::Elsewhere { nonce: NO_QUESTION, .. } => return,
            Body::Swim(data) => sender_address(data),
            _ => None,
        };
        self.post(&letter.from.name, told, Body::Elsewhere { nonce: NO_QUESTION, to: known, keeper: None });
    }

    /// That incarnation of its own name is known to somebody.
    fn learn_known(&mut self, now: f64, known: u64) {
        if known <= self.me.incarnation || self.phase == Phase::Left {
            return;
        }
        let unheard = self.epoch == Ballot::default();
        let may = (unheard || now < self.started_at + YOUNG) && self.raises < RAISES;
        let next = known.checked_add(self.rng.random_range(1..=RAISE_BY));
        match next.filter(|_| may) {
            Some(next) => self.raise(now, next),
            None if !self.superseded => {
                self.superseded = true;
                self.events.push(Event::Superseded { by: known });
            }
            None => {}
        }
    }

    /// Goes on as a process that starts now. The voter remembers what it granted, and what is in hand stays so; all that
    /// was granted to the one before is its no more, though the books hold it until its time is over.
    fn raise(&mut self, now: f64, incarnation: u64) {
        self.events.push(Event::Raised { from: self.me.incarnation, to: incarnation });
        self.raises += 1;
        self.me.incarnation = incarnation;
        self.seal.restart_as(self.me.clone());
        self.members.restart_as(now, self.me.clone(), self.rng.random());
        if let Some(candidate) = &mut self.candidate {
            candidate.restart_as(incarnation);
        }
        self.books = None;
        for purse in self.purses.values_mut() {
            purse.forget_rights(now, self.nonce);
        }
        self.asked.clear();
        self.open_since = None;
        self.ask_at = now;
    }

    pub fn next_at(&self) -> f64 {
        let candidate = self.candidate.as_ref().map_or(f64::INFINITY, Candidate::next_at);
        let ask_at = if self.phase == Phase::Left { f64::INFINITY } else { self.ask_at };
        ask_at.min(candidate).min(self.members.next_at())
    }

    pub fn tick(&mut self, now: f64) {
        self.members.tick(now);
        self.carry_swim();
        if let Some(candidate) = &mut self.candidate {
            let mine = candidate.tenure(now).is_some();
            let another = !mine && self.voter.as_ref().is_some_and(|voter| voter.holder(now).is_some());
            if let Some(call) = candidate.tick(now, another) {
                self.call(call);
            }
        }
        if now >= self.ask_at && self.phase == Phase::Taking {
            self.ask(now);
        }
        self.settle(now);
    }

    /// Reads what it said to itself, and notes what came of it.
    fn settle(&mut self, now: f64) {
        while let Some(letter) = self.inbox.pop_front() {
            self.read(now, letter);
        }
        let keeps = self.keeps(now);
        if keeps != self.kept {
            self.kept = keeps;
            self.counts.elections += u64::from(keeps);
            self.events.push(Event::Keeps(keeps));
        }
        if !keeps {
            self.books = None;
        }
        for (key, purse) in &mut self.purses {
            if purse.pass(now) {
                self.events.push(Event::Stands { key: *key, standing: purse.standing() });
            }
        }
        self.events.extend(self.members.turned().into_iter().map(Event::Turned));
    }

    fn say(&mut self, to: &str, body: Body) {
        if to == self.me.name {
            // What a member says to itself takes the same way as what others say.
            self.inbox.push_back(Letter::new(self.me.clone(), to.to_string(), body));
            return;
        }
        self.post(to, None, body);
    }

    fn post(&mut self, to: &str, told: Option<SocketAddr>, body: Body) {
        let told = told.or_else(|| self.members.at(to));
        if let Some(datagram) = self.seal.close(to, body) {
            self.counts.sent += 1;
            self.counts.sent_bytes += datagram.len() as u64;
            self.parcels.push(Parcel { to: to.to_string(), told, datagram });
        }
    }

    fn carry_swim(&mut self) {
        for (seat, data) in self.members.sends() {
            self.post(&seat.process.name, Some(seat.at), Body::Swim(data));
        }
    }

    fn call(&mut self, call: Call) {
        let electorate = self.electorate;
        for voter in self.charter.voters.clone() {
            let body = match call {
                Call::Ask(ballot) => Body::Ask { ballot, electorate },
                Call::Claim(ballot) => Body::Claim { ballot, electorate },
            };
            self.say(&voter, body);
        }
    }

    fn read(&mut self, now: f64, letter: Letter) {
        let Letter { from, body, .. } = letter;
        match body {
            Body::Swim(data) => {
                self.members.hear(now, &data);
                self.carry_swim();
            }
            Body::Ask { ballot, electorate } => self.vote(now, &from, ballot, electorate, Voter::asked),
            Body::Claim { ballot, electorate } => self.vote(now, &from, ballot, electorate, Voter::claimed),
            Body::Vote { ballot, answer } => {
                let seat = self.charter.voters.iter().position(|voter| *voter == from.name);
                if let (Some(seat), Some(candidate)) = (seat, &mut self.candidate) {
                    if let Some(call) = candidate.answered(now, seat as u16, ballot, answer) {
                        self.call(call);
                    }
                }
            }
            // Who counts leases otherwise would hold on to what others have by then.
            Body::Request { electorate, .. } if electorate != self.electorate => self.strange(&from),
            Body::Request { nonce, seen, leaving, entries, .. } => {
                self.requested(now, &from, nonce, seen, leaving, &entries);
            }
            Body::Reply { nonce, to, epoch, grants } if to == self.me.incarnation => {
                self.replied(now, &from, nonce, epoch, &grants);
            }
            Body::Elsewhere { nonce: NO_QUESTION, to, .. } => self.learn_known(now, to),
            Body::Elsewhere { nonce, to, keeper } if to == self.me.incarnation => {
                if self.asked.iter().any(|(asked, _)| *asked == nonce) && self.phase == Phase::Taking {
                    let known = keeper.is_some() && keeper != self.keeper;
                    self.keeper = keeper;
                    self.open_since = None;
                    if known {
                        self.ask_at = now;
                    }
                }
            }
            Body::Reply { .. } | Body::Elsewhere { .. } => self.counts.stale += 1,
        }
    }

    /// Somebody who has the key and another charter: told of once for each process.
    fn strange(&mut self, from: &Process) {
        self.counts.strangers += 1;
        if self.strangers.len() < STRANGERS && self.strangers.insert(from.clone()) {
            self.events.push(Event::Stranger(from.clone()));
        }
    }

    fn vote(
        &mut self,
        now: f64,
        from: &Process,
        ballot: Ballot,
        electorate: u64,
        voted: impl Fn(&mut Voter, f64, Ballot) -> Option<Answer>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let named = self.charter.voters.get(usize::from(ballot.seat)) == Some(&from.name);
        if electorate != self.electorate || !named || ballot.incarnation != from.incarnation {
            return self.strange(from);
        }
        if let Some(answer) = voted(voter, now, ballot) {
            let to = from.name.clone();
            self.say(&to, Body::Vote { ballot, answer });
        }
    }

    fn requested(
        &mut self,
        now: f64,
        from: &Process,
        nonce: u64,
        seen: Ballot,
        leaving: bool,
        entries: &[Entry],
    ) {
        // The clock is looked at here, where it is granted, not when the turn began that brought it about.
        let mut tenure = self.candidate.as_ref().and_then(|candidate| candidate.tenure(now));
        if tenure.is_some_and(|epoch| seen > epoch) {
            // Who asks would take this tenure for an earlier one, and go by nothing that it is granted.
            self.candidate.iter_mut().for_each(|candidate| candidate.outdone(now, seen));
            tenure = None;
        }
        let Some(epoch) = tenure else {
            let holder = self.voter.as_ref().and_then(|voter| voter.holder(now));
            let keeper = holder.and_then(|ballot| self.charter.voters.get(usize::from(ballot.seat)).cloned());
            let keeper = keeper.filter(|name| *name != self.me.name);
            let to = from.incarnation;
            return self.say(&from.name, Body::Elsewhere { nonce, to, keeper });
        };
        if self.books.as_ref().is_none_or(|books| books.epoch() != epoch) {
            self.books = Some(Books::open(now, epoch));
        }
        let Some(books) = &mut self.books else { return };
        if leaving {
            return books.leave(now, from, nonce, &self.charter);
        }
        let mut grants = Vec::new();
        // Who has not heard of this tenure is only told of it, as what it says may be of any time.
        if seen == epoch {
            grants.extend(entries.iter().filter_map(|e| books.ask(now, &self.charter, from, nonce, e)));
        }
        let to = from.incarnation;
        self.say(&from.name, Body::Reply { nonce, to, epoch, grants });
    }

    /// Asks the keeper for everything, or a voter in turn where none is known.
    fn ask(&mut self, now: f64) {
        let lease = self.charter.lease;
        let patience = lease / ASKS;
        if self.open_since.is_some_and(|since| now >= since + patience) {
            self.counts.unanswered += 1;
            self.open_since = None;
            self.keeper = None;
        }
        let to = match &self.keeper {
            Some(keeper) => keeper.clone(),
            None => {
                self.turn += 1;
                self.charter.voters[self.turn % self.charter.voters.len()].clone()
            }
        };
        self.purses.retain(|key, purse| key.1 == 0 || !purse.is_idle(now));
        let (seen, electorate) = (self.epoch, self.electorate);
        let mut short = false;
        let entries: Vec<Entry> = self
            .purses
            .iter_mut()
            .map(|(key, purse)| {
                short |= purse.short > 0;
                Entry {
                    budget: key.0,
                    subject: key.1,
                    whole: purse.whole(),
                    demand: purse.demand(now),
                    used: purse.used(now),
                    held: purse.held(now, seen),
                }
            })
            .collect();
        for entries in entries.chunks(ENTRIES) {
            self.nonce += 1;
            let nonce = self.nonce;
            if self.asked.len() >= ASKED {
                self.asked.pop_front();
            }
            self.asked.push_back((nonce, now));
            let entries = entries.to_vec();
            self.say(&to, Body::Request { nonce, seen, electorate, leaving: false, entries });
        }
        self.open_since.get_or_insert(now);
        let soon = short || self.keeper.is_none();
        self.asked_at = now;
        self.ask_at = now + lease / if soon { SHORT_ASKS } else { ASKS };
    }

    fn replied(&mut self, now: f64, from: &Process, nonce: u64, epoch: Ballot, grants: &[Grant]) {
        let Some(asked_at) = self.asked.iter().find(|(asked, _)| *asked == nonce).map(|(_, at)| *at) else {
            self.counts.stale += 1;
            return;
        };
        if epoch < self.epoch || self.phase == Phase::Left {
            self.counts.stale += 1;
            return;
        }
        self.open_since = None;
        if self.keeper.as_ref() != Some(&from.name) {
            self.keeper = Some(from.name.clone());
            self.events.push(Event::Keeper(from.name.clone()));
        }
        if epoch > self.epoch {
            // The new keeper has to hear that this one knows of it, before anything is granted.
            self.epoch = epoch;
            self.ask_at = now;
        }
        let leases = [self.charter.short(self.charter.lease), self.charter.short(self.charter.floor_lease)];
        for grant in grants {
            let key = (grant.budget, grant.subject);
            let Some(purse) = self.purses.get_mut(&key) else { continue };
            let before = purse.amounts(now);
            if purse.granted(now, epoch, grant, (nonce, asked_at), leases) {
                // Others wait for what this one has less: they get it once the keeper knows that it is known here.
                self.ask_at = self.ask_at.min(now + self.charter.lease / SHORT_ASKS / 2.0);
            }
            let (amounts, until) = (purse.amounts(now), purse.until());
            let (own, used) = (purse.whole(), grant.whole);
            self.events.push(Event::Right { key, epoch, serial: grant.serial, amounts, until });
            if used < own && before != amounts {
                self.events.push(Event::SmallerWhole { key, own, used });
            }
        }
    }
}
