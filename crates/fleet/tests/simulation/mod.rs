//! Many members in one process, on a true time that only the simulation knows: clocks that run at different rates,
//! datagrams that come late, twice, out of order or never, members that are suspended, killed and started again. After
//! each step the sum of what all may spend is held against the total.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use ottersill_fleet::node::{FleetNode, MemberIdentity};
use ottersill_fleet::quota_ledger::{BudgetKey, Pools};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Peer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const RATE: &str = "probes";
pub const CONCURRENCY: &str = "executions";
pub const HOLD: f64 = 0.5;
pub const EVERY: f64 = 1.0;

/// Indices of the two budgets.
const RATE_INDEX: usize = 0;
const CONCURRENCY_INDEX: usize = 1;

pub fn config(name: &str, voters: usize, total: u64, floor: u64, max_members: u64) -> FleetConfig {
    FleetConfig {
        name: name.to_string(),
        voters: (0..voters).map(|voter| format!("r{voter}")).collect(),
        leader_lease_seconds: 0.8,
        lease_seconds: 2.0,
        floor_lease_seconds: 6.0,
        max_clock_drift: 0.02,
        max_members,
        budgets: vec![
            Budget::new(RATE, LimitKind::Rate { refill_seconds: EVERY }, total, floor),
            Budget::new(CONCURRENCY, LimitKind::Concurrency { hold_seconds: HOLD }, total, floor),
        ],
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16))
}

/// As many seeds as `OTTERSILL_SEEDS` says, or the number given.
pub fn seed_count(usual: u64) -> u64 {
    std::env::var("OTTERSILL_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// The first members, which are the voters.
pub fn voter_peers(voters: usize) -> Vec<Peer> {
    (0..voters).map(|voter| Peer { name: format!("r{voter}"), address: address(voter) }).collect()
}

pub struct Node {
    pub fleet: Option<FleetNode>,
    pub config: FleetConfig,
    starts: u64,
    /// Its clock is at `offset + rate * true time`.
    rate: f64,
    offset: f64,
    pub suspended: bool,
    /// What came while it was suspended.
    waiting: Vec<Vec<u8>>,
    /// Operations that it would like to begin in a second.
    pub appetite: f64,
    owed: f64,
}

impl Node {
    pub fn key(&self, budget: usize) -> BudgetKey {
        BudgetKey { budget: self.config.budgets[budget].id, subject: 0 }
    }
}

#[derive(Debug, PartialEq)]
enum Action {
    Arrives(usize, Vec<u8>),
    Wakes(usize),
    /// An operation of that start of that node ends.
    Ends(usize, u64),
}

#[derive(Debug, PartialEq)]
struct Scheduled {
    at: f64,
    number: u64,
    action: Action,
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Probabilities.
    pub lost: f64,
    pub twice: f64,
    /// Mean seconds on the way; one in twenty takes thirty times as long.
    pub delay: f64,
}

pub struct Simulation {
    pub nodes: Vec<Node>,
    pub time: f64,
    pub rng: SmallRng,
    pub link_faults: LinkFaults,
    /// From whom to whom nothing comes through.
    pub cut: Vec<Vec<bool>>,
    scheduled: BinaryHeap<Scheduled>,
    count: u64,
    /// Operations in flight anywhere, those of the dead among them.
    pub in_flight: u64,
    /// Times of what was spent of the rate.
    pub spent: Vec<f64>,
    /// The highest sum, as a part of the total.
    pub highest: f64,
    pub most_in_flight: u64,
    pub violations: Vec<String>,
    pub total: u64,
    pub acquired: BTreeMap<usize, u64>,
    /// Incarnations come in any order, as from wall clocks that are stepped between two starts.
    pub wall_clocks_step: bool,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, voters: usize, total: u64, floor: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members = 2 * nodes as u64;
        let nodes = (0..nodes).map(|index| {
            let config = config(&format!("r{index}"), voters, total, floor, members);
            let rate = rng.random_range(1.0 - config.max_clock_drift..1.0 + config.max_clock_drift);
            let offset = rng.random_range(0.0..100.0);
            let appetite = rng.random_range(0.0..total as f64);
            Node {
                fleet: None,
                config,
                starts: 0,
                rate,
                offset,
                suspended: false,
                waiting: Vec::new(),
                appetite,
                owed: 0.0,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let cut = vec![vec![false; nodes.len()]; nodes.len()];
        Simulation {
            nodes,
            time: 0.0,
            rng,
            link_faults: LinkFaults { lost: 0.0, twice: 0.0, delay: 0.002 },
            cut,
            scheduled: BinaryHeap::new(),
            count: 0,
            in_flight: 0,
            spent: Vec::new(),
            highest: 0.0,
            most_in_flight: 0,
            violations: Vec::new(),
            total,
            acquired: BTreeMap::new(),
            wall_clocks_step: false,
        }
    }

    pub fn clock(&self, node: usize) -> f64 {
        self.nodes[node].offset + self.nodes[node].rate * self.time
    }

    /// Its clock runs at so much of its rate from now on.
    pub fn slow_down(&mut self, node: usize, by: f64) {
        let now = self.clock(node);
        let at = &mut self.nodes[node];
        at.rate *= by;
        at.offset = now - at.rate * self.time;
    }

    fn schedule(&mut self, at: f64, action: Action) {
        self.count += 1;
        self.scheduled.push(Scheduled { at, number: self.count, action });
    }

    /// Starts it, or starts it again with nothing in memory. Each start has a larger incarnation than those before,
    /// unless wall clocks are stepped.
    pub fn start(&mut self, node: usize) {
        let incarnation = if self.wall_clocks_step {
            self.rng.random_range(1..u64::from(u32::MAX))
        } else {
            self.nodes[node].starts + 1
        };
        self.start_as(node, incarnation);
    }

    /// The same with an incarnation of the test's choice: what a wall clock says that may have been stepped.
    pub fn start_as(&mut self, node: usize, incarnation: u64) {
        let now = self.clock(node);
        let voters = self.nodes[node].config.voters.len();
        self.nodes[node].starts += 1;
        let seeds = voter_peers(voters);
        let seed = self.rng.random();
        let identity =
            MemberIdentity { incarnation, address: address(node), seeds, secret: b"of this test", seed };
        let config = self.nodes[node].config.clone();
        let new = &mut self.nodes[node];
        new.fleet = Some(FleetNode::start(now, config, identity));
        (new.suspended, new.waiting) = (false, Vec::new());
        self.send_from(node);
        self.schedule(self.time, Action::Wakes(node));
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].fleet = None;
    }

    pub fn suspend(&mut self, node: usize) {
        self.nodes[node].suspended = true;
    }

    /// It goes on where it was, and reads what came meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].suspended = false;
        for datagram in std::mem::take(&mut self.nodes[node].waiting) {
            self.arrive(node, &datagram);
        }
        self.schedule(self.time, Action::Wakes(node));
    }

    /// Leaves as on SIGTERM, and ends.
    pub fn leave(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.leave(now);
        }
        self.send_from(node);
        self.kill(node);
    }

    /// The node that is leader by its own clock.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            let now = self.clock(*node);
            self.nodes[*node].fleet.as_ref().is_some_and(|fleet| fleet.is_leader(now))
        })
    }

    fn arrive(&mut self, node: usize, datagram: &[u8]) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.handle_datagram(now, datagram);
            self.send_from(node);
        }
    }

    /// Sends what it wants sent.
    fn send_from(&mut self, node: usize) {
        let Some(fleet) = self.nodes[node].fleet.as_mut() else {
            return;
        };
        fleet.take_events();
        for datagram in fleet.take_datagrams() {
            let to: usize = datagram.to[1..].parse().expect("a number");
            let twice = self.rng.random_bool(self.link_faults.twice);
            for _ in 0..1 + usize::from(twice) {
                if self.cut[node][to] || self.rng.random_bool(self.link_faults.lost) {
                    continue;
                }
                let slow = if self.rng.random_bool(0.05) { 30.0 } else { 1.0 };
                let delay = self.link_faults.delay * slow * self.rng.random_range(0.1..2.0);
                self.schedule(self.time + delay, Action::Arrives(to, datagram.bytes.clone()));
            }
        }
    }

    /// Goes on until that time; `each` is called every tenth of a second.
    pub fn run(&mut self, until: f64, mut each: impl FnMut(&mut Simulation)) {
        let mut next = self.time;
        while self.time < until {
            let at = self.scheduled.peek().map_or(f64::INFINITY, |scheduled| scheduled.at);
            if next <= at {
                self.time = self.time.max(next);
                next += 0.02;
                self.traffic(0.02);
                if (next * 50.0).round() as u64 % 5 == 0 {
                    each(self);
                }
                self.check();
                continue;
            }
            let Some(Scheduled { at, action, .. }) = self.scheduled.pop() else {
                continue;
            };
            self.time = self.time.max(at);
            self.act(action);
            // Checked after each step where that can be afforded, else fifty times a second.
            if self.nodes.len() < 20 {
                self.check();
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrives(node, datagram) if self.nodes[node].suspended => {
                self.nodes[node].waiting.push(datagram);
            }
            Action::Arrives(node, datagram) => self.arrive(node, &datagram),
            Action::Wakes(node) => self.wake(node),
            Action::Ends(node, starts) => {
                self.in_flight -= 1;
                // A suspended router learns of the end once it goes on; sooner does no harm to the sum.
                let now = self.clock(node);
                let key = self.nodes[node].key(CONCURRENCY_INDEX);
                if self.nodes[node].starts == starts {
                    if let Some(fleet) = self.nodes[node].fleet.as_mut() {
                        fleet.release(now, key, true);
                    }
                }
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].suspended {
            return;
        }
        let Some(fleet) = self.nodes[node].fleet.as_mut() else {
            return;
        };
        let next = fleet.next_timeout();
        if next <= now {
            fleet.tick(now);
            self.send_from(node);
        }
        let Some(fleet) = self.nodes[node].fleet.as_ref() else {
            return;
        };
        let ahead = ((fleet.next_timeout() - now) / self.nodes[node].rate).clamp(0.0005, 0.02);
        self.schedule(self.time + ahead, Action::Wakes(node));
    }

    fn traffic(&mut self, span: f64) {
        for node in 0..self.nodes.len() {
            let now = self.clock(node);
            let at = &mut self.nodes[node];
            if at.suspended || at.fleet.is_none() {
                continue;
            }
            at.owed += at.appetite * span;
            let starts = at.starts;
            let (rate, concurrency) = (at.key(RATE_INDEX), at.key(CONCURRENCY_INDEX));
            while self.nodes[node].owed >= 1.0 {
                self.nodes[node].owed -= 1.0;
                let Some(fleet) = self.nodes[node].fleet.as_mut() else {
                    break;
                };
                if fleet.acquire(now, rate) {
                    self.spent.push(self.time);
                    *self.acquired.entry(node).or_default() += 1;
                }
                let Some(fleet) = self.nodes[node].fleet.as_mut() else {
                    break;
                };
                if fleet.acquire(now, concurrency) {
                    self.in_flight += 1;
                    let ends = self.time + self.rng.random_range(0.01..HOLD * 0.95);
                    self.schedule(ends, Action::Ends(node, starts));
                }
            }
        }
    }

    /// Units that all may have in use of that budget now: leases, and what is in use beyond them.
    pub fn sum(&mut self, budget: usize) -> u64 {
        let time = self.time;
        let alive = self.nodes.iter_mut().filter_map(|node| {
            let now = node.offset + node.rate * time;
            let key = node.key(budget);
            let fleet = node.fleet.as_mut()?;
            let spendable = fleet.spendable(now, key);
            Some(if budget == RATE_INDEX { spendable } else { spendable.max(fleet.in_use(now, key)) })
        });
        alive.sum()
    }

    fn check(&mut self) {
        for budget in [RATE_INDEX, CONCURRENCY_INDEX] {
            let sum = self.sum(budget);
            self.highest = self.highest.max(sum as f64 / self.total as f64);
            if sum > self.total {
                self.violations
                    .push(format!("at {:.3}: {sum} of {} of budget {budget}", self.time, self.total));
            }
        }
        self.most_in_flight = self.most_in_flight.max(self.in_flight);
        if self.in_flight > self.total {
            self.violations
                .push(format!("at {:.3}: {} in flight of {}", self.time, self.in_flight, self.total));
        }
    }

    /// Panics unless the sum stayed within the total at all times, and returns [`spent_at_most`](Self::spent_at_most).
    pub fn assert_within_total(&self, seed: u64) -> f64 {
        let first = &self.violations[..self.violations.len().min(5)];
        assert!(self.violations.is_empty(), "seed {seed}: {first:?}");
        let most = self.spent_at_most();
        assert!(most <= 1.0, "seed {seed}: spent {most} of what the rate allows");
        most
    }

    /// The most that was spent of the rate over what any window allows; at most 1 if the budget was kept.
    pub fn spent_at_most(&self) -> f64 {
        let drift = self.nodes[0].config.max_clock_drift;
        let mut most: f64 = 0.0;
        for (first, from) in self.spent.iter().enumerate().step_by(7) {
            for (last, to) in self.spent.iter().enumerate().skip(first).step_by(5) {
                let allowed = self.total as f64 * (1.0 + (to - from) * (1.0 + drift) / EVERY);
                most = most.max((last - first + 1) as f64 / allowed);
            }
        }
        most
    }

    /// What that node has leased of that budget.
    pub fn leased(&self, node: usize, budget: usize) -> Pools<u64> {
        let (now, at) = (self.clock(node), &self.nodes[node]);
        let key = at.key(budget);
        let fleet = at.fleet.as_ref().expect("a running node");
        let quota = fleet.quotas().find(|(other, _)| **other == key);
        quota.map_or_else(Pools::default, |(_, quota)| quota.leased(now))
    }
}

/// A schedule of faults from the simulation's seed, for `seconds`.
pub fn storm(mut simulation: Simulation, seconds: f64) -> Simulation {
    simulation.link_faults = LinkFaults {
        lost: simulation.rng.random_range(0.0..0.2),
        twice: simulation.rng.random_range(0.0..0.2),
        delay: simulation.rng.random_range(0.001..0.03),
    };
    simulation.start_all();
    // From three faults a second to one in some seconds.
    let rarity = simulation.rng.random_range(40..1000);
    simulation.run(seconds, |simulation| fault(simulation, rarity));
    simulation
}

fn fault(simulation: &mut Simulation, rarity: u32) {
    let node = simulation.rng.random_range(0..simulation.nodes.len());
    let total = simulation.total;
    match simulation.rng.random_range(0..rarity) {
        0 => simulation.kill(node),
        1 if simulation.nodes[node].fleet.is_some() => simulation.suspend(node),
        2 | 3 if simulation.nodes[node].suspended => simulation.resume(node),
        4 => simulation.leave(node),
        5 | 6 if simulation.nodes[node].fleet.is_none() => simulation.start(node),
        // A router that is started anew while it still runs: the old one ends with it.
        7 => simulation.start(node),
        8 => partition(simulation),
        9 | 10 => simulation.cut.iter_mut().flatten().for_each(|cut| *cut = false),
        // The leader, for longer than its lease, in the middle of dividing.
        11 => simulation.leader().into_iter().for_each(|leader| simulation.suspend(leader)),
        12 => simulation.nodes[node].appetite = simulation.rng.random_range(0.0..2.0 * total as f64),
        _ => {}
    }
}

fn partition(simulation: &mut Simulation) {
    let count = simulation.nodes.len();
    let side: Vec<bool> = (0..count).map(|_| simulation.rng.random_bool(0.5)).collect();
    let one_way = simulation.rng.random_bool(0.5);
    for from in 0..count {
        for to in 0..count {
            simulation.cut[from][to] = side[from] != side[to] && (!one_way || side[from]);
        }
    }
}
