//! Who keeps the books: a lease that a majority of the voters grants to one of them, without a disk.
//!
//! It is Paxos with a value that expires. A voter that has just started may have forgotten what it granted, so it
//! rests for a whole lease. A candidate counts its lease from before it claimed, and counts it short
//! ([`Charter::short`](crate::terms::Charter::short)); a voter counts it long, from when the claim came. So a keeper
//! that was stopped for too long is none any more by its own clock before any voter grants the next lease, and it
//! needs to hear of nobody for that.

use serde::{Deserialize, Serialize};

/// Orders the attempts of all candidates. The incarnation keeps apart two processes that sit on one seat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub seat: u16,
    pub incarnation: u64,
}

impl Ballot {
    fn same_process(self, other: Ballot) -> bool {
        (self.seat, self.incarnation) == (other.seat, other.incarnation)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Vote {
    /// What was granted before the start may still be in force.
    Resting {
        until: f64,
    },
    Free,
    Granted {
        to: Ballot,
        until: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// No lower ballot will be granted; `held` while another holds the lease.
    Promised {
        held: bool,
    },
    /// That ballot was promised already.
    Outbid(Ballot),
    Granted,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    vote: Vote,
    promised: Ballot,
    lease: f64,
}

impl Voter {
    pub fn start(now: f64, lease: f64) -> Voter {
        Voter { vote: Vote::Resting { until: now + lease }, promised: Ballot::default(), lease }
    }

    /// Every change of the vote by time.
    fn pass(&mut self, now: f64) {
        self.vote = match self.vote {
            Vote::Resting { until } | Vote::Granted { until, .. } if now >= until => Vote::Free,
            vote => vote,
        };
    }

    /// To whom the lease is granted now, as far as this voter has a say.
    pub fn holder(&self, now: f64) -> Option<Ballot> {
        match self.vote {
            Vote::Granted { to, until } if now < until => Some(to),
            _ => None,
        }
    }

    /// What to answer a candidate that asks; nothing while resting.
    pub fn asked(&mut self, now: f64, ballot: Ballot) -> Option<Answer> {
        self.pass(now);
        let held = match self.vote {
            Vote::Resting { .. } => return None,
            Vote::Granted { to, .. } => !to.same_process(ballot),
            Vote::Free => false,
        };
        if ballot < self.promised {
            return Some(Answer::Outbid(self.promised));
        }
        self.promised = ballot;
        Some(Answer::Promised { held })
    }

    pub fn claimed(&mut self, now: f64, ballot: Ballot) -> Option<Answer> {
        self.pass(now);
        match self.vote {
            Vote::Resting { .. } => None,
            _ if ballot < self.promised => Some(Answer::Outbid(self.promised)),
            Vote::Granted { to, .. } if !to.same_process(ballot) => Some(Answer::Promised { held: true }),
            _ => {
                self.promised = ballot;
                self.vote = Vote::Granted { to: ballot, until: now + self.lease };
                Some(Answer::Granted)
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Course {
    Resting {
        again_at: f64,
    },
    /// Voters that have promised are bits of `yes`.
    Asking {
        ballot: Ballot,
        until: f64,
        yes: u64,
    },
    Claiming {
        ballot: Ballot,
        sent_at: f64,
        until: f64,
        yes: u64,
    },
}

/// What a candidate wants sent to all voters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    Ask(Ballot),
    Claim(Ballot),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    course: Course,
    me: Ballot,
    voters: usize,
    /// The candidate's own, shorter count of the lease.
    lease: f64,
    /// It is the keeper until then.
    until: f64,
    /// The ballot with which it became keeper: names the tenure as long as it is not interrupted.
    epoch: Ballot,
    highest: u64,
}

impl Candidate {
    /// Starts to ask after `wait`, which is best unlike at all candidates.
    pub fn start(now: f64, seat: u16, incarnation: u64, voters: usize, lease: f64, wait: f64) -> Candidate {
        let me = Ballot { round: 0, seat, incarnation };
        let course = Course::Resting { again_at: now + wait };
        Candidate { course, me, voters, lease, until: f64::NEG_INFINITY, epoch: me, highest: 0 }
    }

    /// The tenure, if it is the keeper at this instant.
    pub fn tenure(&self, now: f64) -> Option<Ballot> {
        (now < self.until).then_some(self.epoch)
    }

    pub fn next_at(&self) -> f64 {
        match self.course {
            Course::Resting { again_at } => again_at,
            Course::Asking { until, .. } | Course::Claiming { until, .. } => until,
        }
    }

    /// Every change of course.
    fn pass(&mut self, next: Course) {
        self.course = next;
    }

    /// How long answers are waited for, and how long to rest after a try that failed: a part of the lease that differs
    /// by seat and round, so that two that met do not meet again for ever.
    fn pause(&self) -> f64 {
        let odd = (u64::from(self.me.seat) * 7 + self.highest * 3) % 11;
        self.lease * (0.15 + 0.02 * odd as f64)
    }

    /// Asks again where that is due. The keeper asks while a third of its time is over, not when all of it is.
    pub fn tick(&mut self, now: f64, another: bool) -> Option<Call> {
        if now < self.next_at() {
            return None;
        }
        let starts = matches!(self.course, Course::Resting { .. });
        if starts && (!another || self.tenure(now).is_some()) {
            self.highest += 1;
            let ballot = Ballot { round: self.highest, ..self.me };
            self.pass(Course::Asking { ballot, until: now + self.lease / 4.0, yes: 0 });
            return Some(Call::Ask(ballot));
        }
        self.pass(Course::Resting { again_at: now + self.pause() });
        None
    }

    /// A voter's answer to that ballot.
    pub fn answered(&mut self, now: f64, voter: u16, ballot: Ballot, answer: Answer) -> Option<Call> {
        if let Answer::Outbid(by) = answer {
            self.highest = self.highest.max(by.round);
        }
        let counted = 1u64.checked_shl(u32::from(voter)).unwrap_or(0);
        let majority = |yes: u64| 2 * yes.count_ones() as usize > self.voters;
        match (self.course, answer) {
            (Course::Asking { ballot: mine, until, yes }, Answer::Promised { held: false })
                if mine == ballot && now < until =>
            {
                let yes = yes | counted;
                if majority(yes) {
                    let until = now + self.lease / 4.0;
                    self.pass(Course::Claiming { ballot, sent_at: now, until, yes: 0 });
                    return Some(Call::Claim(ballot));
                }
                self.pass(Course::Asking { ballot, until, yes });
            }
            (Course::Claiming { ballot: mine, sent_at, until, yes }, Answer::Granted) if mine == ballot => {
                let yes = yes | counted;
                if majority(yes) {
                    // A tenure that lapsed is over, whatever follows: somebody else may have kept the books between.
                    if self.tenure(now).is_none() {
                        self.epoch = ballot;
                    }
                    self.until = self.until.max(sent_at + self.lease);
                    self.pass(Course::Resting { again_at: now + self.lease / 3.0 });
                } else {
                    self.pass(Course::Claiming { ballot, sent_at, until, yes });
                }
            }
            _ => {}
        }
        None
    }

    /// A later tenure than any of this candidate's is known, as voters have been started again and rounds of theirs began
    /// anew. Its own is over, so that the next is later than that one.
    pub fn outdone(&mut self, now: f64, by: Ballot) {
        self.highest = self.highest.max(by.round);
        self.until = f64::NEG_INFINITY;
        self.pass(Course::Resting { again_at: now });
    }

    /// Goes on as another process: its tenure is over, and answers to its earlier calls count for nothing.
    pub fn restart_as(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.until = f64::NEG_INFINITY;
        self.pass(Course::Resting { again_at: self.next_at() });
    }

    /// Leaves of its own will: no grant goes out after this.
    pub fn resign(&mut self) {
        self.until = f64::NEG_INFINITY;
        self.pass(Course::Resting { again_at: f64::INFINITY });
    }
}
