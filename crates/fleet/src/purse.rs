//! What this router may spend of one budget, looked at against the clock at the moment of spending.

use crate::books::{BY_DEMAND, FLOOR, Grant, Held, POTS};
use crate::terms::Kind;
use crate::vote::Ballot;

/// Seconds over which demand is looked at: short beside a lease, so that a part follows its router's traffic.
const LOOK: f64 = 0.5;
/// Asked for beyond what was wanted of late, so that there is room before the next answer.
const ROOM: f64 = 1.25;

/// What a router has of a budget at this instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing may be spent.
    Empty,
    /// Nobody divides for it, or there is nothing beyond its floor.
    Floor,
    Part,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Right {
    amount: u64,
    until: f64,
    /// Of which grant, and in which tenure.
    serial: u64,
    epoch: Ballot,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Purse {
    kind: Kind,
    /// The whole by this router's own file: a bound even where a keeper says otherwise.
    whole: u64,
    rights: [Right; POTS],
    standing: Standing,
    /// Rate: tokens that are there, as of `counted_at`.
    tokens: f64,
    counted_at: f64,
    /// In hand: how many, and until when each of those counts that were given up, in order.
    in_hand: u64,
    lingering: std::collections::VecDeque<f64>,
    /// What was wanted since the last look, and what that came to.
    wanted: f64,
    peak: f64,
    recent: f64,
    /// Units that something waits for, until the next question.
    least: u64,
    looked_at: f64,
    /// Questions up to this one were an earlier purse's: their answers may speak of rights that are on no books.
    since_nonce: u64,
    /// What was turned away since the last question.
    pub short: u64,
    pub spent: u64,
    pub turned_away: u64,
}

impl Purse {
    pub fn new(now: f64, kind: Kind, whole: u64, since_nonce: u64) -> Purse {
        Purse {
            kind,
            whole,
            rights: [Right::default(); POTS],
            standing: Standing::Empty,
            tokens: 0.0,
            counted_at: now,
            in_hand: 0,
            lingering: std::collections::VecDeque::new(),
            wanted: 0.0,
            peak: 0.0,
            recent: 0.0,
            least: 0,
            looked_at: now,
            since_nonce,
            short: 0,
            spent: 0,
            turned_away: 0,
        }
    }

    /// Units that may be spent now, and until when.
    pub fn right(&self, now: f64) -> (u64, f64) {
        let live = self.rights.iter().filter(|right| now < right.until && right.amount > 0);
        let (sum, until) =
            live.fold((0, f64::INFINITY), |(sum, until), right| (sum + right.amount, right.until.min(until)));
        (sum.min(self.whole), until)
    }

    pub fn amounts(&self, now: f64) -> [u64; POTS] {
        self.rights.map(|right| if now < right.until { right.amount } else { 0 })
    }

    pub fn until(&self) -> [f64; POTS] {
        self.rights.map(|right| right.until)
    }

    /// Every change of what it stands at; true if it changed.
    pub fn pass(&mut self, now: f64) -> bool {
        let [part, floor] = self.amounts(now);
        let next = match (part, floor) {
            (0, 0) => Standing::Empty,
            (0, _) => Standing::Floor,
            _ => Standing::Part,
        };
        std::mem::replace(&mut self.standing, next) != next
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Lets tokens come back up to now, and takes those away that the right no longer holds. Time that has passed counts
    /// by the least right of it: what ran out meanwhile earned nothing.
    fn count(&mut self, now: f64) {
        while self.lingering.front().is_some_and(|until| *until <= now) {
            self.lingering.pop_front();
        }
        if let Kind::Rate { every } = self.kind {
            let (right, _) = self.right(now);
            let earned = right as f64 * (now - self.counted_at).max(0.0) / every;
            self.tokens = (self.tokens + earned).min(right as f64);
        }
        self.counted_at = now.max(self.counted_at);
    }

    pub fn in_use(&self) -> u64 {
        self.in_hand + self.lingering.len() as u64
    }

    /// Spends a unit if there is one at this instant; the clock is to be read for this call.
    pub fn take(&mut self, now: f64) -> bool {
        self.count(now);
        self.wanted += 1.0;
        let (right, _) = self.right(now);
        let taken = match self.kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::InHand { .. } => self.in_use() < right,
        };
        if taken {
            self.spent += 1;
            match self.kind {
                Kind::Rate { .. } => self.tokens -= 1.0,
                Kind::InHand { .. } => self.in_hand += 1,
            }
        } else {
            self.short += 1;
            self.turned_away += 1;
        }
        let use_now = self.in_use() as f64 + self.short as f64;
        self.peak = self.peak.max(use_now);
        taken
    }

    /// Whether a unit could be had now, without having it.
    pub fn has(&mut self, now: f64) -> bool {
        self.count(now);
        match self.kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::InHand { .. } => self.in_use() < self.right(now).0,
        }
    }

    /// Something waits for a unit that this purse has not; asks for as many as that.
    pub fn want(&mut self, units: u64) {
        self.short = self.short.max(units);
        self.least = self.least.max(units);
        self.peak = self.peak.max((self.in_use() + units) as f64);
    }

    /// Units in use that are counted out to their hold, as it is not known whether they are over.
    pub fn lingering(&self) -> u64 {
        self.lingering.len() as u64
    }

    /// Tokens of a rate that are there now.
    pub fn tokens(&mut self, now: f64) -> f64 {
        self.count(now);
        self.tokens
    }

    /// A thing in hand has ended; `proved` if it is known to be over where it ran, else it counts for the whole hold, as
    /// what was given up may be running still.
    pub fn put(&mut self, now: f64, proved: bool) {
        let Kind::InHand { hold } = self.kind else { return };
        self.in_hand = self.in_hand.saturating_sub(1);
        if !proved {
            self.lingering.push_back(now + hold);
        }
    }

    /// Units it could use, by what was wanted of late, with some room; zero where nothing was.
    pub fn demand(&mut self, now: f64) -> u64 {
        self.count(now);
        let span = now - self.looked_at;
        if span >= LOOK / 2.0 {
            let recent = match self.kind {
                Kind::Rate { every } => self.wanted * every / span,
                Kind::InHand { .. } => self.peak,
            };
            let weight = (span / LOOK).min(1.0);
            // What grows is asked for at once, what falls is given back over a look or two.
            self.recent = recent.max(self.recent + weight * (recent - self.recent));
            (self.wanted, self.peak, self.looked_at) = (0.0, self.in_use() as f64, now);
        }
        self.short = 0;
        let asked = self.recent.max((self.in_use() + std::mem::take(&mut self.least)) as f64);
        if asked < 0.01 { 0 } else { (asked * ROOM).max(asked.ceil()) as u64 }
    }

    pub fn used(&mut self, now: f64) -> u64 {
        self.count(now);
        self.in_use()
    }

    /// What to say of the own rights to a keeper of that tenure.
    pub fn held(&self, now: f64, epoch: Ballot) -> [Held; POTS] {
        let amounts = self.amounts(now);
        [BY_DEMAND, FLOOR].map(|pot| {
            let right = self.rights[pot];
            let serial = if right.epoch == epoch { right.serial } else { 0 };
            Held { amount: amounts[pot], serial }
        })
    }

    /// Goes by a grant, if it is newer than what it goes by; `asked` says which question it answers and when that left,
    /// and `leases` are counted short. True if it has less now than before, which the keeper is to be told.
    pub fn granted(
        &mut self,
        now: f64,
        epoch: Ballot,
        grant: &Grant,
        asked: (u64, f64),
        leases: [f64; POTS],
    ) -> bool {
        let (nonce, asked_at) = asked;
        let last = self.rights[BY_DEMAND];
        if nonce <= self.since_nonce || (epoch, grant.serial) <= (last.epoch, last.serial) {
            return false;
        }
        self.count(now);
        let before = self.amounts(now);
        for (pot, right) in self.rights.iter_mut().enumerate() {
            let (amount, until) = (grant.amounts[pot], asked_at + leases[pot]);
            *right = Right { amount, until, serial: grant.serial, epoch };
        }
        let less = self.amounts(now).iter().zip(before).any(|(after, before)| *after < before);
        self.count(now);
        less
    }

    /// Gives all rights back, for good.
    pub fn give_back(&mut self, now: f64) {
        self.forget_rights(now, u64::MAX);
    }

    /// Goes by no right any more, until one that answers a question after that one. What is in hand stays so.
    pub fn forget_rights(&mut self, now: f64, since_nonce: u64) {
        self.rights = [Right::default(); POTS];
        self.since_nonce = since_nonce;
        self.count(now);
    }

    pub fn set_whole(&mut self, now: f64, whole: u64) {
        self.whole = whole;
        self.count(now);
    }

    pub fn whole(&self) -> u64 {
        self.whole
    }

    /// Nothing is held or in use, and nothing was wanted for a while.
    pub fn is_idle(&mut self, now: f64) -> bool {
        self.count(now);
        self.in_use() == 0 && self.recent < 0.01 && now > self.looked_at + 20.0 * LOOK
    }
}
