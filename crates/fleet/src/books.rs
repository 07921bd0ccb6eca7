//! The keeper's books: what is out of each budget, and who may have how much of it.
//!
//! What the sum rests on: a right is accounted for until the keeper's own count of its lease is over, or until its
//! holder has said that it goes by a newer one. Units that a holder still has in hand are its own whatever its
//! right. A keeper that is new knows nothing of what the one before granted; until all of that is over it only
//! goes on with what each holder says that it holds *now*, in answer to the new tenure: as all of that is still on
//! the old keeper's books, which nobody adds to, the old rights and what continues them never exceed the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::divide::divide;
use crate::terms::{Charter, Process};
use crate::vote::Ballot;

/// Each budget is kept in two pots: what is divided by demand, and what is set aside for floors.
pub const POTS: usize = 2;
pub const BY_DEMAND: usize = 0;
pub const FLOOR: usize = 1;

/// What a holder says of a right of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Units, zero once its time is over.
    pub amount: u64,
    /// The newest grant that it goes by; zero where that came in an earlier tenure, or never.
    pub serial: u64,
}

/// What a holder asks for, budget by budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub budget: u64,
    pub subject: u64,
    /// The whole by the holder's own file.
    pub whole: u64,
    /// Units that it could spend.
    pub demand: u64,
    /// Units that it has in hand.
    pub used: u64,
    pub held: [Held; POTS],
}

/// What is granted, in place of all that was granted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub budget: u64,
    pub subject: u64,
    pub whole: u64,
    pub amounts: [u64; POTS],
    pub serial: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Right {
    amount: u64,
    until: f64,
}

impl Right {
    fn at(self, now: f64) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }
}

/// One holder's part of one pot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Part {
    /// What it goes by, as it said last.
    said: Right,
    /// The most of what was granted since, which it may go by already.
    sent: Right,
}

impl Part {
    fn out(&self, now: f64) -> u64 {
        self.said.at(now).max(self.sent.at(now))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    parts: [Part; POTS],
    /// In hand beyond any right.
    used: Right,
    demand: u64,
    whole: u64,
    /// The last grant, and the question that it answered.
    serial: u64,
    nonce: u64,
    /// When it last had a unit that others wanted as well.
    turn: u64,
    heard_at: f64,
}

impl Account {
    /// Units of that pot that this holder may have in use. What it has in hand beyond its floor counts with what is
    /// divided by demand, as a right that has run out leaves things in hand.
    fn out(&self, now: f64, pot: usize) -> u64 {
        let right = self.parts[pot].out(now);
        match pot {
            BY_DEMAND => right.max(self.used.at(now).saturating_sub(self.parts[FLOOR].out(now))),
            _ => right,
        }
    }
}

/// A budget and its subject.
pub type Key = (u64, u64);

#[derive(Clone, Debug, PartialEq)]
pub struct Books {
    epoch: Ballot,
    since: f64,
    /// By budget, subject and holder. An account goes once nothing of it is out and its holder is not heard of; no more
    /// than `ACCOUNTS` are kept.
    accounts: BTreeMap<Key, BTreeMap<Process, Account>>,
    count: usize,
    serial: u64,
    swept_at: f64,
}

/// Accounts that are kept at most: some forty megabytes of them. Whoever is beyond gets nothing.
const ACCOUNTS: usize = 200_000;

/// One line of what is out, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    pub budget: u64,
    pub subject: u64,
    pub holder: Process,
    pub by_demand: u64,
    pub floor: u64,
    pub used: u64,
    pub demand: u64,
}

impl Books {
    pub fn open(now: f64, epoch: Ballot) -> Books {
        Books { epoch, since: now, accounts: BTreeMap::new(), count: 0, serial: 0, swept_at: now }
    }

    pub fn epoch(&self) -> Ballot {
        self.epoch
    }

    /// What an earlier keeper granted may still be out for so long at the most; until then rights are continued and
    /// none grows.
    pub fn settles_at(&self, lease: f64, hold: f64) -> f64 {
        self.since + lease + hold
    }

    /// Takes in what a holder says and grants what there is for it. The holder has to have spoken in answer to this tenure
    /// (see [`Fleet`](crate::fleet::Fleet)): what it holds was then on the books when the tenure began, and what it
    /// says is no older than that. `nonce` grows with each of its questions; one that comes late is not heard.
    pub fn ask(
        &mut self,
        now: f64,
        charter: &Charter,
        holder: &Process,
        nonce: u64,
        entry: &Entry,
    ) -> Option<Grant> {
        let budget = charter.budget(entry.budget)?;
        let (key, hold) = ((entry.budget, entry.subject), budget.kind.hold());
        let leases = [charter.lease, charter.floor_lease];
        self.sweep(now, charter);
        let known = self.accounts.get(&key).is_some_and(|holders| holders.contains_key(holder));
        if !known && self.count >= ACCOUNTS {
            return None;
        }
        self.count += usize::from(!known);
        let settles = leases.map(|lease| self.settles_at(lease, hold));
        let holders = self.accounts.entry(key).or_default();
        let account = holders.entry(holder.clone()).or_default();
        if nonce <= account.nonce {
            return None;
        }
        (account.nonce, account.heard_at) = (nonce, now);
        (account.demand, account.whole) = (entry.demand, entry.whole);
        for (part, held) in account.parts.iter_mut().zip(entry.held) {
            if held.serial >= account.serial {
                // It goes by the last grant: all others are over, as it never goes back.
                let until = part.sent.until.max(part.said.until);
                *part = Part { said: Right { amount: held.amount, until }, sent: Right::default() };
            }
        }
        // What is in hand now ends within the hold; what is begun from now on is within the right, which counts itself.
        account.used = Right { amount: entry.used, until: now + hold };
        let own = [account.out(now, BY_DEMAND), account.out(now, FLOOR)];
        // Members whose files differ go by the smaller one, as far as they are heard of.
        let heard = holders.values().filter(|other| now < other.heard_at + charter.lease);
        let whole = heard.fold(budget.whole, |whole, other| whole.min(other.whole));
        let set_aside = charter.set_aside(budget).min(whole);
        let out = |pot: usize| -> u64 {
            let others = holders.iter().filter(|(other, _)| *other != holder);
            others.map(|(_, account)| account.out(now, pot)).sum()
        };
        let others = [out(BY_DEMAND), out(FLOOR)];
        let free = whole.saturating_sub(others[BY_DEMAND] + others[FLOOR]);
        let settling = |pot: usize| now < settles[pot];
        let floor = if settling(FLOOR) { entry.held[FLOOR].amount } else { budget.floor };
        let floor =
            floor.min(set_aside.saturating_sub(others[FLOOR])).min(free.saturating_sub(own[BY_DEMAND]));
        let by_demand = whole - set_aside;
        let part = if settling(BY_DEMAND) {
            entry.held[BY_DEMAND].amount
        } else {
            target(now, charter, holders, holder, by_demand)
        };
        let part = part.min(by_demand.saturating_sub(others[BY_DEMAND]));
        let amounts = [part.min(free.saturating_sub(own[FLOOR].max(floor))), floor];
        self.serial += 1;
        let account = holders.get_mut(holder)?;
        for (pot, amount) in amounts.into_iter().enumerate() {
            let sent = &mut account.parts[pot].sent;
            *sent = Right { amount: sent.at(now).max(amount), until: now + leases[pot] + hold };
        }
        account.serial = self.serial;
        if amounts[BY_DEMAND] > 0 {
            account.turn = self.serial;
        }
        let (budget, subject, serial) = (entry.budget, entry.subject, self.serial);
        Some(Grant { budget, subject, whole, amounts, serial })
    }

    /// The holder has left and spends nothing more; what it has in hand ends in its own time.
    pub fn leave(&mut self, now: f64, holder: &Process, nonce: u64, charter: &Charter) {
        for ((id, _), holders) in &mut self.accounts {
            let hold = charter.budget(*id).map_or(0.0, |budget| budget.kind.hold());
            if let Some(account) = holders.get_mut(holder) {
                // A question of before that comes later would count less than that.
                account.nonce = account.nonce.max(nonce);
                // What it began since it last spoke was within its rights.
                let amount = account.out(now, BY_DEMAND) + account.out(now, FLOOR);
                account.parts = [Part::default(); POTS];
                account.used = Right { amount, until: now + hold };
                (account.demand, account.heard_at) = (0, f64::NEG_INFINITY);
            }
        }
    }

    /// Drops accounts of which nothing is out and whose holder is silent.
    fn sweep(&mut self, now: f64, charter: &Charter) {
        if now < self.swept_at + charter.lease {
            return;
        }
        self.swept_at = now;
        for holders in self.accounts.values_mut() {
            holders.retain(|_, account| {
                let out = account.out(now, BY_DEMAND) + account.out(now, FLOOR);
                out > 0 || now < account.heard_at + 2.0 * charter.lease
            });
        }
        self.accounts.retain(|_, holders| !holders.is_empty());
        self.count = self.accounts.values().map(BTreeMap::len).sum();
    }

    /// Units that may be in use by all.
    pub fn out(&self, now: f64, key: Key) -> u64 {
        let holders = self.accounts.get(&key);
        holders
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|a| a.out(now, BY_DEMAND) + a.out(now, FLOOR))
            .sum()
    }

    pub fn lines(&self, now: f64) -> Vec<Line> {
        let holders = self.accounts.iter().flat_map(|(key, holders)| holders.iter().map(move |h| (key, h)));
        let line = |((budget, subject), (holder, account)): (&Key, (&Process, &Account))| Line {
            budget: *budget,
            subject: *subject,
            holder: holder.clone(),
            by_demand: account.out(now, BY_DEMAND),
            floor: account.out(now, FLOOR),
            used: account.used.at(now),
            demand: account.demand,
        };
        holders.map(line).collect()
    }
}

/// The holder's fair part of what is divided by demand, among all that are heard of.
fn target(
    now: f64,
    charter: &Charter,
    holders: &BTreeMap<Process, Account>,
    holder: &Process,
    whole: u64,
) -> u64 {
    let live = |account: &Account| now < account.heard_at + charter.lease;
    let asked: Vec<(u64, u64)> =
        holders.values().map(|a| (if live(a) { a.demand } else { 0 }, a.turn)).collect();
    let index = holders.keys().position(|other| other == holder);
    index.map_or(0, |index| divide(whole, &asked)[index])
}
