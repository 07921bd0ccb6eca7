//! Many members in one process, on a true time that only the world knows: clocks that run at different rates, datagrams
//! that come late, twice, out of order or never, members that are stopped, killed and started again. After each
//! step the sum of what all may spend is held against the whole.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use ottersill_fleet::node::{FleetNode, MemberIdentity};
use ottersill_fleet::quota_ledger::POOLS;
use ottersill_fleet::settings::{Budget, FleetConfig, Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const RATE: &str = "probes";
pub const CONCURRENCY: &str = "executions";
pub const HOLD: f64 = 0.5;
pub const EVERY: f64 = 1.0;

pub fn config(name: &str, voters: usize, total: u64, floor: u64, members_at_most: u64) -> FleetConfig {
    FleetConfig {
        name: name.to_string(),
        voters: (0..voters).map(|voter| format!("r{voter}")).collect(),
        leader_lease: 0.8,
        lease: 2.0,
        floor_lease: 6.0,
        drift: 0.02,
        members_at_most,
        budgets: vec![
            Budget::named(RATE, Kind::Rate { every: EVERY }, total, floor),
            Budget::named(CONCURRENCY, Kind::Concurrency { hold: HOLD }, total, floor),
        ],
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16))
}

pub struct Node {
    pub fleet: Option<FleetNode>,
    pub config: FleetConfig,
    starts: u64,
    /// Its clock is at `offset + rate * true time`.
    rate: f64,
    offset: f64,
    pub stopped: bool,
    /// What came while it was stopped.
    waiting: Vec<Vec<u8>>,
    /// Statements that it would like to begin in a second.
    pub appetite: f64,
    owed: f64,
}

#[derive(Debug, PartialEq)]
enum What {
    Arrives(usize, Vec<u8>),
    Wakes(usize),
    /// A thing in hand of that node's start ends.
    Ends(usize, u64),
}

#[derive(Debug, PartialEq)]
struct Due(f64, u64, What);

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    pub lost: f64,
    pub twice: f64,
    /// Mean seconds on the way; one in twenty takes thirty times as long.
    pub delay: f64,
}

pub struct World {
    pub nodes: Vec<Node>,
    pub time: f64,
    pub rng: SmallRng,
    pub weather: Weather,
    /// From whom to whom nothing comes through.
    pub cut: Vec<Vec<bool>>,
    due: BinaryHeap<Due>,
    count: u64,
    /// Things in hand all over, with those of the dead.
    pub in_hand: u64,
    /// Times of what was spent of the rate in the last windows.
    pub spent: Vec<f64>,
    pub highest: f64,
    pub most_in_hand: u64,
    pub faults: Vec<String>,
    pub total: u64,
    pub taken: BTreeMap<usize, u64>,
    /// Incarnations come in any order, as from wall clocks that are stepped between two starts.
    pub wall_clocks_step: bool,
}

impl World {
    pub fn new(seed: u64, nodes: usize, voters: usize, total: u64, floor: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members = 2 * nodes as u64;
        let nodes = (0..nodes).map(|index| {
            let config = config(&format!("r{index}"), voters, total, floor, members);
            let rate = rng.random_range(1.0 - config.drift..1.0 + config.drift);
            let offset = rng.random_range(0.0..100.0);
            let appetite = rng.random_range(0.0..total as f64);
            Node {
                fleet: None,
                config,
                starts: 0,
                rate,
                offset,
                stopped: false,
                waiting: Vec::new(),
                appetite,
                owed: 0.0,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let cut = vec![vec![false; nodes.len()]; nodes.len()];
        World {
            nodes,
            time: 0.0,
            rng,
            weather: Weather { lost: 0.0, twice: 0.0, delay: 0.002 },
            cut,
            due: BinaryHeap::new(),
            count: 0,
            in_hand: 0,
            spent: Vec::new(),
            highest: 0.0,
            most_in_hand: 0,
            faults: Vec::new(),
            total,
            taken: BTreeMap::new(),
            wall_clocks_step: false,
        }
    }

    pub fn clock(&self, node: usize) -> f64 {
        self.nodes[node].offset + self.nodes[node].rate * self.time
    }

    /// Its clock runs so much slower from now on.
    pub fn slow_down(&mut self, node: usize, by: f64) {
        let now = self.clock(node);
        let at = &mut self.nodes[node];
        at.rate *= by;
        at.offset = now - at.rate * self.time;
    }

    fn when(&mut self, at: f64, what: What) {
        self.count += 1;
        self.due.push(Due(at, self.count, what));
    }

    /// Starts it, or starts it again with nothing in memory. Each start has a larger incarnation than those before,
    /// unless wall clocks are stepped.
    pub fn start(&mut self, node: usize) {
        let incarnation = match self.wall_clocks_step {
            true => self.rng.random_range(1..u64::from(u32::MAX)),
            false => self.nodes[node].starts + 1,
        };
        self.start_as(node, incarnation);
    }

    /// The same with an incarnation of the test's choice: what a wall clock says that may have been stepped.
    pub fn start_as(&mut self, node: usize, incarnation: u64) {
        let now = self.clock(node);
        let voters = self.nodes[node].config.voters.len();
        self.nodes[node].starts += 1;
        let seeds = (0..voters).map(|voter| (format!("r{voter}"), address(voter))).collect();
        let seed = self.rng.random();
        let identity =
            MemberIdentity { incarnation, at: address(node), seeds, secret: b"of this test", seed };
        let config = self.nodes[node].config.clone();
        let new = &mut self.nodes[node];
        new.fleet = Some(FleetNode::start(now, config, identity));
        (new.stopped, new.waiting) = (false, Vec::new());
        self.after(node);
        self.when(self.time, What::Wakes(node));
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].fleet = None;
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    /// It goes on where it was, and reads what came meanwhile.
    pub fn go_on(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        for datagram in std::mem::take(&mut self.nodes[node].waiting) {
            self.arrive(node, &datagram);
        }
        self.when(self.time, What::Wakes(node));
    }

    /// Leaves as on SIGTERM, and ends.
    pub fn leave(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.leave(now);
        }
        self.after(node);
        self.kill(node);
    }

    fn arrive(&mut self, node: usize, datagram: &[u8]) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.handle_datagram(now, datagram);
            self.after(node);
        }
    }

    /// Sends what it wants sent.
    fn after(&mut self, node: usize) {
        let Some(fleet) = self.nodes[node].fleet.as_mut() else { return };
        fleet.take_events();
        for datagram in fleet.take_datagrams() {
            let to: usize = datagram.to[1..].parse().expect("a number");
            let twice = self.rng.random_bool(self.weather.twice);
            for _ in 0..1 + usize::from(twice) {
                if self.cut[node][to] || self.rng.random_bool(self.weather.lost) {
                    continue;
                }
                let slow = if self.rng.random_bool(0.05) { 30.0 } else { 1.0 };
                let delay = self.weather.delay * slow * self.rng.random_range(0.1..2.0);
                self.when(self.time + delay, What::Arrives(to, datagram.bytes.clone()));
            }
        }
    }

    /// Goes on until that time; `each` is called every tenth of a second.
    pub fn run(&mut self, until: f64, mut each: impl FnMut(&mut World)) {
        let mut next = self.time;
        while self.time < until {
            let at = self.due.peek().map_or(f64::INFINITY, |due| due.0);
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
            let Some(Due(at, _, what)) = self.due.pop() else { continue };
            self.time = self.time.max(at);
            match what {
                What::Arrives(node, datagram) if self.nodes[node].stopped => {
                    self.nodes[node].waiting.push(datagram);
                }
                What::Arrives(node, datagram) => self.arrive(node, &datagram),
                What::Wakes(node) => self.wake(node),
                What::Ends(node, starts) => {
                    self.in_hand -= 1;
                    // A stopped router learns of the end once it goes on; sooner does no harm to the sum.
                    let now = self.clock(node);
                    let key = self.nodes[node].config.budgets[1].id;
                    if self.nodes[node].starts == starts {
                        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
                            fleet.release(now, (key, 0), true);
                        }
                    }
                }
            }
            // Looked at after each step where that can be afforded, else fifty times a second.
            if self.nodes.len() < 20 {
                self.check();
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].stopped {
            return;
        }
        let Some(fleet) = self.nodes[node].fleet.as_mut() else { return };
        let next = fleet.next_at();
        if next <= now {
            fleet.tick(now);
            self.after(node);
        }
        let Some(fleet) = self.nodes[node].fleet.as_ref() else { return };
        let ahead = ((fleet.next_at() - now) / self.nodes[node].rate).clamp(0.0005, 0.02);
        self.when(self.time + ahead, What::Wakes(node));
    }

    fn traffic(&mut self, span: f64) {
        for node in 0..self.nodes.len() {
            let now = self.clock(node);
            let at = &mut self.nodes[node];
            if at.stopped || at.fleet.is_none() {
                continue;
            }
            at.owed += at.appetite * span;
            let starts = at.starts;
            let (rate, hand) = (at.config.budgets[0].id, at.config.budgets[1].id);
            while self.nodes[node].owed >= 1.0 {
                self.nodes[node].owed -= 1.0;
                let Some(fleet) = self.nodes[node].fleet.as_mut() else { break };
                if fleet.acquire(now, (rate, 0)) {
                    self.spent.push(self.time);
                    *self.taken.entry(node).or_default() += 1;
                }
                let Some(fleet) = self.nodes[node].fleet.as_mut() else { break };
                if fleet.acquire(now, (hand, 0)) {
                    self.in_hand += 1;
                    let ends = self.time + self.rng.random_range(0.01..HOLD * 0.95);
                    self.when(ends, What::Ends(node, starts));
                }
            }
        }
    }

    /// Units that all may have in use of that budget now: rights, and what is in hand beyond them.
    pub fn sum(&mut self, budget: usize) -> u64 {
        let time = self.time;
        let alive = self.nodes.iter_mut().filter_map(|node| {
            let now = node.offset + node.rate * time;
            let key = (node.config.budgets[budget].id, 0);
            let fleet = node.fleet.as_mut()?;
            let (right, _) = fleet.lease(now, key);
            Some(if budget == 0 { right } else { right.max(fleet.in_use(now, key)) })
        });
        alive.sum()
    }

    fn check(&mut self) {
        for budget in 0..2 {
            let sum = self.sum(budget);
            self.highest = self.highest.max(sum as f64 / self.total as f64);
            if sum > self.total {
                self.faults.push(format!("at {:.3}: {sum} of {} of budget {budget}", self.time, self.total));
            }
        }
        self.most_in_hand = self.most_in_hand.max(self.in_hand);
        if self.in_hand > self.total {
            self.faults.push(format!("at {:.3}: {} in hand of {}", self.time, self.in_hand, self.total));
        }
    }

    /// The most that was spent of the rate over what any window allows; at most 1 if the budget was kept.
    pub fn spent_at_most(&self) -> f64 {
        let drift = self.nodes[0].config.drift;
        let mut most: f64 = 0.0;
        for (first, from) in self.spent.iter().enumerate().step_by(7) {
            for (last, to) in self.spent.iter().enumerate().skip(first).step_by(5) {
                let may = self.total as f64 * (1.0 + (to - from) * (1.0 + drift) / EVERY);
                most = most.max((last - first + 1) as f64 / may);
            }
        }
        most
    }

    pub fn pools(&self, node: usize, budget: usize) -> [u64; POOLS] {
        let (now, at) = (self.clock(node), &self.nodes[node]);
        let key = (at.config.budgets[budget].id, 0);
        let fleet = at.fleet.as_ref().expect("a running node");
        fleet.quotas().find(|(other, _)| **other == key).map_or([0; POOLS], |(_, quota)| quota.amounts(now))
    }
}

/// A schedule of faults from the world's seed, for `seconds`.
pub fn storm(mut world: World, seconds: f64) -> World {
    let total = world.total;
    world.weather = Weather {
        lost: world.rng.random_range(0.0..0.2),
        twice: world.rng.random_range(0.0..0.2),
        delay: world.rng.random_range(0.001..0.03),
    };
    world.start_all();
    // From three faults a second to one in some seconds.
    let rare = world.rng.random_range(40..1000);
    world.run(seconds, |world| {
        let count = world.nodes.len();
        let node = world.rng.random_range(0..count);
        match world.rng.random_range(0..rare) {
            0 => world.kill(node),
            1 if world.nodes[node].fleet.is_some() => world.stop(node),
            2 | 3 if world.nodes[node].stopped => world.go_on(node),
            4 => world.leave(node),
            5 | 6 if world.nodes[node].fleet.is_none() => world.start(node),
            // A router that is started anew while it still runs: the old one ends with it.
            7 => world.start(node),
            8 => {
                let side: Vec<bool> = (0..count).map(|_| world.rng.random_bool(0.5)).collect();
                let one_way = world.rng.random_bool(0.5);
                for from in 0..count {
                    for to in 0..count {
                        world.cut[from][to] = side[from] != side[to] && (!one_way || side[from]);
                    }
                }
            }
            9 | 10 => world.cut.iter_mut().flatten().for_each(|cut| *cut = false),
            11 => {
                // Whom the keeper is: stopped for longer than its lease, in the middle of dividing.
                let leader = (0..count).find(|node| {
                    let now = world.clock(*node);
                    world.nodes[*node].fleet.as_ref().is_some_and(|fleet| fleet.is_leader(now))
                });
                leader.into_iter().for_each(|leader| world.stop(leader));
            }
            12 => world.nodes[node].appetite = world.rng.random_range(0.0..2.0 * total as f64),
            _ => {}
        }
    });
    world
}
