//! Simulates a fleet of members in one process. The simulation keeps the true time; the members' clocks run at
//! different rates. Datagrams may be delayed, duplicated, reordered or lost, and members may be suspended, killed and
//! restarted. After each step, the units that all members may spend are compared with the total.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use ottersill_fleet::node::{FleetNode, MemberIdentity};
use ottersill_fleet::quota_ledger::{BudgetKey, Pools};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Peer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const RATE_BUDGET: &str = "probes";
pub const CONCURRENCY_BUDGET: &str = "executions";
pub const HOLD_SECONDS: f64 = 0.5;
pub const REFILL_SECONDS: f64 = 1.0;

/// Indices of the two budgets in the configuration.
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
            Budget::new(RATE_BUDGET, LimitKind::Rate { refill_seconds: REFILL_SECONDS }, total, floor),
            Budget::new(
                CONCURRENCY_BUDGET,
                LimitKind::Concurrency { hold_seconds: HOLD_SECONDS },
                total,
                floor,
            ),
        ],
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16))
}

/// Returns the number of seeds from `OTTERSILL_SEEDS`, or `default_count` if that is not set.
pub fn seed_count(default_count: u64) -> u64 {
    std::env::var("OTTERSILL_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default_count)
}

/// Returns the voters, which are the first members.
pub fn voter_peers(voters: usize) -> Vec<Peer> {
    (0..voters).map(|voter| Peer { name: format!("r{voter}"), address: address(voter) }).collect()
}

pub struct Node {
    pub fleet: Option<FleetNode>,
    pub config: FleetConfig,
    starts: u64,
    /// The node's clock shows `clock_offset + clock_rate * true time`, in seconds.
    clock_rate: f64,
    clock_offset: f64,
    pub suspended: bool,
    /// Datagrams that arrived while the node was suspended.
    queued_datagrams: Vec<Vec<u8>>,
    /// Operations per second that the node attempts to begin.
    pub offered_rate: f64,
    /// Operations that are due but have not been attempted yet.
    due_operations: f64,
}

impl Node {
    pub fn key(&self, budget: usize) -> BudgetKey {
        BudgetKey { budget: self.config.budgets[budget].id, subject: 0 }
    }
}

#[derive(Debug, PartialEq)]
enum Action {
    DatagramArrives(usize, Vec<u8>),
    TimerFires(usize),
    /// An operation of this node ends, which began after this number of starts of the node.
    OperationEnds(usize, u64),
}

#[derive(Debug, PartialEq)]
struct Scheduled {
    /// True time in seconds.
    at: f64,
    /// Order of actions that are scheduled for the same time.
    sequence: u64,
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
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    /// Mean delay of a datagram in seconds; one in twenty takes thirty times as long.
    pub delay_seconds: f64,
    /// Delay that each datagram has beyond that, in seconds.
    pub fixed_delay_seconds: f64,
}

pub struct Simulation {
    pub nodes: Vec<Node>,
    /// True time in seconds.
    pub time: f64,
    pub rng: SmallRng,
    pub link_faults: LinkFaults,
    /// `cut[from][to]` says whether all datagrams from member `from` to member `to` are dropped.
    pub cut: Vec<Vec<bool>>,
    scheduled: BinaryHeap<Scheduled>,
    scheduled_count: u64,
    /// Operations in flight at all members, including those of killed members.
    pub in_flight: u64,
    /// When each unit of the rate budget was acquired, in seconds of true time.
    pub rate_acquired_at: Vec<f64>,
    /// The highest sum over all members so far, as a fraction of the total.
    pub highest_sum_fraction: f64,
    pub max_in_flight: u64,
    pub violations: Vec<String>,
    pub total: u64,
    pub rate_units_acquired: BTreeMap<usize, u64>,
    /// Whether each start gets a random incarnation, as with a wall clock that is stepped between starts.
    pub random_incarnations: bool,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, voters: usize, total: u64, floor: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let max_members = 2 * nodes as u64;
        let nodes = (0..nodes).map(|index| {
            let config = config(&format!("r{index}"), voters, total, floor, max_members);
            let clock_rate = rng.random_range(1.0 - config.max_clock_drift..1.0 + config.max_clock_drift);
            let clock_offset = rng.random_range(0.0..100.0);
            let offered_rate = rng.random_range(0.0..total as f64);
            Node {
                fleet: None,
                config,
                starts: 0,
                clock_rate,
                clock_offset,
                suspended: false,
                queued_datagrams: Vec::new(),
                offered_rate,
                due_operations: 0.0,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let cut = vec![vec![false; nodes.len()]; nodes.len()];
        Simulation {
            nodes,
            time: 0.0,
            rng,
            link_faults: LinkFaults {
                loss_probability: 0.0,
                duplicate_probability: 0.0,
                delay_seconds: 0.002,
                ..LinkFaults::default()
            },
            cut,
            scheduled: BinaryHeap::new(),
            scheduled_count: 0,
            in_flight: 0,
            rate_acquired_at: Vec::new(),
            highest_sum_fraction: 0.0,
            max_in_flight: 0,
            violations: Vec::new(),
            total,
            rate_units_acquired: BTreeMap::new(),
            random_incarnations: false,
        }
    }

    pub fn clock(&self, node: usize) -> f64 {
        self.nodes[node].clock_offset + self.nodes[node].clock_rate * self.time
    }

    /// Multiplies the rate of the node's clock by `factor` from now on.
    pub fn scale_clock_rate(&mut self, node: usize, factor: f64) {
        let now = self.clock(node);
        let node = &mut self.nodes[node];
        node.clock_rate *= factor;
        node.clock_offset = now - node.clock_rate * self.time;
    }

    fn schedule(&mut self, at: f64, action: Action) {
        self.scheduled_count += 1;
        self.scheduled.push(Scheduled { at, sequence: self.scheduled_count, action });
    }

    /// Starts the node, or restarts it without its state. Each start has a larger incarnation than the previous ones,
    /// unless incarnations are random.
    pub fn start(&mut self, node: usize) {
        let incarnation = if self.random_incarnations {
            self.rng.random_range(1..u64::from(u32::MAX))
        } else {
            self.nodes[node].starts + 1
        };
        self.start_as(node, incarnation);
    }

    /// Starts or restarts the node with the given incarnation, as from a wall clock that may have been stepped.
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
        (new.suspended, new.queued_datagrams) = (false, Vec::new());
        self.send_from(node);
        self.schedule(self.time, Action::TimerFires(node));
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

    /// Resumes a suspended node, which first handles the datagrams that arrived meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].suspended = false;
        for datagram in std::mem::take(&mut self.nodes[node].queued_datagrams) {
            self.deliver(node, &datagram);
        }
        self.schedule(self.time, Action::TimerFires(node));
    }

    /// Lets the node leave the fleet and stop, as on SIGTERM.
    pub fn leave(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.leave(now);
        }
        self.send_from(node);
        self.kill(node);
    }

    /// Returns the first node that is leader by its own clock.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            let now = self.clock(*node);
            self.nodes[*node].fleet.as_ref().is_some_and(|fleet| fleet.is_leader(now))
        })
    }

    fn deliver(&mut self, node: usize, datagram: &[u8]) {
        let now = self.clock(node);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.handle_datagram(now, datagram);
            self.send_from(node);
        }
    }

    /// Takes the node's outgoing datagrams and schedules their arrival, with the link faults applied.
    fn send_from(&mut self, node: usize) {
        let Some(fleet) = self.nodes[node].fleet.as_mut() else {
            return;
        };
        fleet.take_events();
        for datagram in fleet.take_datagrams() {
            let to: usize = datagram.to[1..].parse().expect("member name has no number");
            let duplicated = self.rng.random_bool(self.link_faults.duplicate_probability);
            for _ in 0..1 + usize::from(duplicated) {
                if self.cut[node][to] || self.rng.random_bool(self.link_faults.loss_probability) {
                    continue;
                }
                let delay_factor = if self.rng.random_bool(0.05) { 30.0 } else { 1.0 };
                let jitter = self.link_faults.delay_seconds * delay_factor * self.rng.random_range(0.1..2.0);
                let delay = self.link_faults.fixed_delay_seconds + jitter;
                self.schedule(self.time + delay, Action::DatagramArrives(to, datagram.bytes.clone()));
            }
        }
    }

    /// Runs the simulation until that true time in seconds; `each` is called every tenth of a second.
    pub fn run(&mut self, until: f64, mut each: impl FnMut(&mut Simulation)) {
        let mut next_step_at = self.time;
        while self.time < until {
            let at = self.scheduled.peek().map_or(f64::INFINITY, |scheduled| scheduled.at);
            if next_step_at <= at {
                self.time = self.time.max(next_step_at);
                next_step_at += 0.02;
                self.generate_traffic(0.02);
                if (next_step_at * 50.0).round() as u64 % 5 == 0 {
                    each(self);
                }
                self.check_invariants();
                continue;
            }
            let Some(Scheduled { at, action, .. }) = self.scheduled.pop() else {
                continue;
            };
            self.time = self.time.max(at);
            self.perform(action);
            // Large fleets are checked only fifty times per second, because a check after each step takes too long.
            if self.nodes.len() < 20 {
                self.check_invariants();
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::DatagramArrives(node, datagram) if self.nodes[node].suspended => {
                self.nodes[node].queued_datagrams.push(datagram);
            }
            Action::DatagramArrives(node, datagram) => self.deliver(node, &datagram),
            Action::TimerFires(node) => self.fire_timer(node),
            Action::OperationEnds(node, starts) => {
                self.in_flight -= 1;
                // A suspended router would observe the end only after it resumes. An earlier release does not raise
                // the sum.
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

    fn fire_timer(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].suspended {
            return;
        }
        let Some(fleet) = self.nodes[node].fleet.as_mut() else {
            return;
        };
        let due_at = fleet.next_timeout();
        if due_at <= now {
            fleet.tick(now);
            self.send_from(node);
        }
        let Some(fleet) = self.nodes[node].fleet.as_ref() else {
            return;
        };
        let delay = ((fleet.next_timeout() - now) / self.nodes[node].clock_rate).clamp(0.0005, 0.02);
        self.schedule(self.time + delay, Action::TimerFires(node));
    }

    fn generate_traffic(&mut self, seconds: f64) {
        for node in 0..self.nodes.len() {
            let now = self.clock(node);
            let state = &mut self.nodes[node];
            if state.suspended || state.fleet.is_none() {
                continue;
            }
            state.due_operations += state.offered_rate * seconds;
            let starts = state.starts;
            let (rate, concurrency) = (state.key(RATE_INDEX), state.key(CONCURRENCY_INDEX));
            while self.nodes[node].due_operations >= 1.0 {
                self.nodes[node].due_operations -= 1.0;
                let Some(fleet) = self.nodes[node].fleet.as_mut() else {
                    break;
                };
                if fleet.acquire(now, rate) {
                    self.rate_acquired_at.push(self.time);
                    *self.rate_units_acquired.entry(node).or_default() += 1;
                }
                let Some(fleet) = self.nodes[node].fleet.as_mut() else {
                    break;
                };
                if fleet.acquire(now, concurrency) {
                    self.in_flight += 1;
                    let ends_at = self.time + self.rng.random_range(0.01..HOLD_SECONDS * 0.95);
                    self.schedule(ends_at, Action::OperationEnds(node, starts));
                }
            }
        }
    }

    /// Returns the units of a budget that all members may have in use now: their leases, and units in use beyond them.
    pub fn sum_over_members(&mut self, budget: usize) -> u64 {
        let time = self.time;
        let alive = self.nodes.iter_mut().filter_map(|node| {
            let now = node.clock_offset + node.clock_rate * time;
            let key = node.key(budget);
            let fleet = node.fleet.as_mut()?;
            let spendable = fleet.spendable(now, key);
            Some(if budget == RATE_INDEX { spendable } else { spendable.max(fleet.in_use(now, key)) })
        });
        alive.sum()
    }

    fn check_invariants(&mut self) {
        for budget in [RATE_INDEX, CONCURRENCY_INDEX] {
            let sum = self.sum_over_members(budget);
            self.highest_sum_fraction = self.highest_sum_fraction.max(sum as f64 / self.total as f64);
            if sum > self.total {
                self.violations
                    .push(format!("at {:.3} s: {sum} of {} units of budget {budget}", self.time, self.total));
            }
        }
        self.max_in_flight = self.max_in_flight.max(self.in_flight);
        if self.in_flight > self.total {
            self.violations.push(format!(
                "at {:.3} s: {} operations in flight of {}",
                self.time, self.in_flight, self.total
            ));
        }
    }

    /// Panics unless the sum stayed within the total at all times. Returns [`max_rate_usage`](Self::max_rate_usage).
    pub fn assert_within_total(&self, seed: u64) -> f64 {
        let first = &self.violations[..self.violations.len().min(5)];
        assert!(self.violations.is_empty(), "seed {seed}: {first:?}");
        let rate_usage = self.max_rate_usage();
        assert!(
            rate_usage <= 1.0,
            "seed {seed}: rate budget exceeded, {rate_usage} of the allowed units acquired"
        );
        rate_usage
    }

    /// Returns the largest ratio, over windows of time, of the units of the rate budget that were acquired to those
    /// allowed. It is at most 1 if the budget was kept.
    pub fn max_rate_usage(&self) -> f64 {
        let drift = self.nodes[0].config.max_clock_drift;
        let mut max_usage: f64 = 0.0;
        for (first, from) in self.rate_acquired_at.iter().enumerate().step_by(7) {
            for (last, to) in self.rate_acquired_at.iter().enumerate().skip(first).step_by(5) {
                let allowed = self.total as f64 * (1.0 + (to - from) * (1.0 + drift) / REFILL_SECONDS);
                max_usage = max_usage.max((last - first + 1) as f64 / allowed);
            }
        }
        max_usage
    }

    /// Returns the units of a budget that the node has leased now.
    pub fn leased(&self, node: usize, budget: usize) -> Pools<u64> {
        let (now, node) = (self.clock(node), &self.nodes[node]);
        let key = node.key(budget);
        let fleet = node.fleet.as_ref().expect("node is not running");
        let quota = fleet.quotas().find(|(other, _)| **other == key);
        quota.map_or_else(Pools::default, |(_, quota)| quota.leased(now))
    }
}

/// Runs the simulation for `seconds` with faults that are derived from its seed.
pub fn run_with_random_faults(mut simulation: Simulation, seconds: f64) -> Simulation {
    simulation.link_faults = LinkFaults {
        loss_probability: simulation.rng.random_range(0.0..0.2),
        duplicate_probability: simulation.rng.random_range(0.0..0.2),
        delay_seconds: simulation.rng.random_range(0.001..0.03),
        ..LinkFaults::default()
    };
    simulation.start_all();
    // Between about three faults per second and one in several seconds.
    let rarity = simulation.rng.random_range(40..1000);
    simulation.run(seconds, |simulation| inject_random_fault(simulation, rarity));
    simulation
}

fn inject_random_fault(simulation: &mut Simulation, rarity: u32) {
    let node = simulation.rng.random_range(0..simulation.nodes.len());
    let total = simulation.total;
    match simulation.rng.random_range(0..rarity) {
        0 => simulation.kill(node),
        1 if simulation.nodes[node].fleet.is_some() => simulation.suspend(node),
        2 | 3 if simulation.nodes[node].suspended => simulation.resume(node),
        4 => simulation.leave(node),
        5 | 6 if simulation.nodes[node].fleet.is_none() => simulation.start(node),
        // A running router is restarted, which ends its previous process.
        7 => simulation.start(node),
        8 => partition_members(simulation),
        9 | 10 => simulation.cut.iter_mut().flatten().for_each(|cut| *cut = false),
        // The leader is suspended for longer than its lease, while it divides the budgets.
        11 => simulation.leader().into_iter().for_each(|leader| simulation.suspend(leader)),
        12 => simulation.nodes[node].offered_rate = simulation.rng.random_range(0.0..2.0 * total as f64),
        _ => {}
    }
}

fn partition_members(simulation: &mut Simulation) {
    let count = simulation.nodes.len();
    let side: Vec<bool> = (0..count).map(|_| simulation.rng.random_bool(0.5)).collect();
    let one_way = simulation.rng.random_bool(0.5);
    for from in 0..count {
        for to in 0..count {
            simulation.cut[from][to] = side[from] != side[to] && (!one_way || side[from]);
        }
    }
}
