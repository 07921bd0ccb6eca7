//! Many routers of the built program on one machine: each with its files, a relay on every way between two of them, clients
//! that send all the time, and faults: killed, stopped and continued, ended by SIGTERM, started again, cut off.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal, kill_process};

use crate::audit::{self, Records, Verdict, Whole};
use crate::relay::{Flow, Relay, Weather, Wire};
use crate::store::{Client, Toy, unix_ms};

/// Nothing here takes longer to come about.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub voters: usize,
    pub hosts: usize,
    pub seed: u64,
    /// Executions at each host, probes a second, second tries a second; each router's floor of executions.
    pub executions: u64,
    pub probes: u64,
    pub second_tries: u64,
    /// Executions a second at each cold host.
    pub cold: u64,
    pub floor: u64,
    /// Seconds.
    pub keeper_lease: f64,
    pub lease: f64,
    pub floor_lease: f64,
    pub hold: f64,
    /// How long clients wait at most.
    pub deadline_ms: u64,
    /// How long a statement's work takes; seconds.
    pub work: f64,
    /// Without it routers know nothing of each other.
    pub talk: bool,
    /// Whether routers write down what they spend.
    pub audit: bool,
    /// Further words of each router's command line.
    pub words: Vec<String>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            routers: 5,
            voters: 3,
            hosts: 3,
            seed: 1,
            executions: 12,
            probes: 200,
            second_tries: 20,
            cold: 20,
            floor: 1,
            keeper_lease: 0.6,
            lease: 1.2,
            floor_lease: 3.0,
            hold: 0.6,
            deadline_ms: 600,
            work: 0.02,
            talk: true,
            audit: true,
            words: Vec::new(),
        }
    }
}

pub struct Router {
    pub name: String,
    pub charter: PathBuf,
    pub fleet: PathBuf,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    /// Where it takes datagrams.
    pub at: SocketAddr,
    process: Option<Child>,
    stopped: bool,
}

pub struct Rig {
    pub plan: Plan,
    pub toy: Toy,
    pub routers: Vec<Router>,
    /// By who sends and who is sent to.
    relays: Vec<Vec<Option<Relay>>>,
    /// By router and host.
    wires: Vec<Vec<Wire>>,
    program: PathBuf,
    pub folder: PathBuf,
    load: Option<Load>,
}

/// What clients were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    /// The connection ended before an answer.
    pub broken: u64,
    /// More than one, or none in time on a connection that stood.
    pub wrong: u64,
}

struct Load {
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Answers>>>,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address for this rig alone: connections that other tests open take ports of 127.0.0.1, which may be the very one
/// that a router is about to listen at.
fn own_address() -> IpAddr {
    static RIGS: AtomicU64 = AtomicU64::new(0);
    let (process, rig) = (std::process::id(), RIGS.fetch_add(1, Ordering::Relaxed));
    IpAddr::from([127, 64 + (process >> 8) as u8 % 128, process as u8, 1 + (rig % 250) as u8])
}

/// Where the router of that number takes clients, operators and datagrams: below the ports that connections are opened from,
/// or one of them might have a router's port just before the router has.
fn addresses(own: IpAddr, index: usize) -> [SocketAddr; 3] {
    [0, 1, 2].map(|kind| SocketAddr::from((own, 10_000 + 3 * index as u16 + kind)))
}

impl Rig {
    /// Writes the files of all routers and starts the relays; no router runs yet. `program` is the built router,
    /// `charter` the text of a charter with the toy's addresses in it, as in `example/router.json`.
    pub fn new(plan: Plan, program: &Path, charter: &str) -> io::Result<Rig> {
        let toy = Toy::default();
        for _ in 0..plan.hosts {
            toy.host("127.0.0.1:0")?;
        }
        toy.set_work(Duration::from_secs_f64(plan.work));
        let own = own_address();
        let wire = |_: usize| -> io::Result<Vec<Wire>> {
            (0..plan.hosts).map(|host| Wire::start(toy.host_at(host), own)).collect()
        };
        let wires = (0..plan.routers).map(wire).collect::<io::Result<Vec<Vec<Wire>>>>()?;
        let unique = format!("ottersill-rig-{}-{own}-{}", std::process::id(), plan.seed);
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder)?;
        let key = folder.join("fleet.key");
        let mut file =
            fs::OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&key)?;
        file.write_all(b"known to the members of this rig only")?;
        let mut routers = Vec::new();
        for (index, wires) in wires.iter().enumerate() {
            let name = format!("r{index}");
            let [listen, control, at] = addresses(own, index);
            // For as long as the process lives, as the toy's threads do.
            let dials: &'static [SocketAddr] = wires.iter().map(Wire::at).collect::<Vec<_>>().leak();
            let discovery = toy.discovery_by(&format!("{own}:0"), dials)?;
            let text = charter
                // Short, so that what outlives a router is over soon.
                .replace("\"deadline_ms\": 2000", &format!("\"deadline_ms\": {}", plan.deadline_ms))
                .replace("\"toy-router\"", &format!("\"{name}\""))
                .replace("127.0.0.1:7400", &listen.to_string())
                .replace("127.0.0.1:7500", &discovery.to_string())
                .replace("8c1f30d27a5be964", &format!("{:x}", plan.seed * 1000 + index as u64));
            let (path, fleet) =
                (folder.join(format!("{name}.json")), folder.join(format!("{name}.textproto")));
            fs::write(&path, text)?;
            routers.push(Router {
                name,
                charter: path,
                fleet,
                listen,
                control,
                at,
                process: None,
                stopped: false,
            });
        }
        let relay = |from: usize, to: usize| {
            (from != to)
                .then(|| Relay::start(routers[to].at, plan.seed << 16 | (from << 8 | to) as u64))
                .transpose()
        };
        let ways = (0..plan.routers).map(|from| (0..plan.routers).map(|to| relay(from, to)).collect());
        let relays = ways.collect::<io::Result<Vec<Vec<Option<Relay>>>>>()?;
        let rig =
            Rig { plan, toy, routers, relays, wires, program: program.to_path_buf(), folder, load: None };
        (0..rig.routers.len()).try_for_each(|index| rig.write_fleet(index, rig.plan.executions))?;
        Ok(rig)
    }

    /// Writes that router's file of the fleet, with another whole for executions.
    pub fn write_fleet(&self, index: usize, executions: u64) -> io::Result<()> {
        let (plan, me) = (&self.plan, &self.routers[index]);
        let mut text = String::new();
        for (to, router) in self.routers.iter().enumerate() {
            let at = self.relays[index][to].as_ref().map_or(me.at, Relay::at);
            text += &format!("peer {{ name: \"{}\" at: \"{at}\" }}\n", router.name);
        }
        for voter in 0..plan.voters {
            text += &format!("voter: \"r{voter}\"\n");
        }
        let folder = self.folder.display();
        text += &format!(
            "listen: \"{}\"\ncontrol: \"{}\"\nkey_file: \"{folder}/fleet.key\"\n{}\
             keeper_lease_s: {}\nlease_s: {}\nfloor_lease_s: {}\ndrift: 0.01\nmembers_at_most: {}\n\
             budget {{ of: EXECUTIONS_AT_EACH_HOST whole: {executions} floor: {} hold_s: {} }}\n\
             budget {{ of: PROBES whole: {} every_s: 1 }}\n\
             budget {{ of: SECOND_TRIES whole: {} every_s: 1 }}\n\
             budget {{ of: EXECUTIONS_AT_EACH_COLD_HOST whole: {} every_s: 1 }}\n",
            me.at,
            me.control,
            if plan.audit { format!("audit_file: \"{folder}/{}.audit\"\n", me.name) } else { String::new() },
            plan.keeper_lease,
            plan.lease,
            plan.floor_lease,
            plan.routers * 2,
            plan.floor,
            plan.hold,
            plan.probes,
            plan.second_tries,
            plan.cold
        );
        fs::write(&me.fleet, text)
    }

    /// Another process under a router's name and files, but for where it listens to clients; ends with the value.
    pub fn double(&self, index: usize) -> io::Result<Double> {
        let me = &self.routers[index];
        let [listen, control, _] = addresses(me.at.ip(), self.routers.len() + index);
        let (charter, fleet) = (self.folder.join("double.json"), self.folder.join("double.textproto"));
        fs::write(
            &charter,
            fs::read_to_string(&me.charter)?.replace(&me.listen.to_string(), &listen.to_string()),
        )?;
        fs::write(
            &fleet,
            fs::read_to_string(&me.fleet)?.replace(&me.control.to_string(), &control.to_string()),
        )?;
        let process = self.spawn(&charter, &fleet, "double")?;
        Ok(Double { process, listen, control })
    }

    fn spawn(&self, charter: &Path, fleet: &Path, name: &str) -> io::Result<Child> {
        let log =
            fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.program);
        command.args(&self.plan.words).env("NODE_CONFIG", charter);
        if self.plan.talk {
            command.arg("--fleet").arg(fleet);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
    }

    /// Starts it, or starts it again with nothing in memory, unless it runs.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        if self.routers[index].process.is_some() {
            return Ok(());
        }
        let router = &self.routers[index];
        let process = self.spawn(&router.charter, &router.fleet, &router.name)?;
        let router = &mut self.routers[index];
        (router.process, router.stopped) = (Some(process), false);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.routers.len()).try_for_each(|index| self.start(index))
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.routers[index].process.is_some()
    }

    pub fn is_stopped(&self, index: usize) -> bool {
        self.routers[index].stopped
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &self.routers[index].process {
            if let Some(pid) = Pid::from_raw(process.id() as i32) {
                // One that has ended by itself shows when it is waited for.
                let _ = kill_process(pid, signal);
            }
        }
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut process) = self.routers[index].process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn stop(&mut self, index: usize) {
        self.signal(index, Signal::STOP);
        self.routers[index].stopped = true;
    }

    pub fn go_on(&mut self, index: usize) {
        self.signal(index, Signal::CONT);
        self.routers[index].stopped = false;
    }

    pub fn reload(&self, index: usize) {
        self.signal(index, Signal::HUP);
    }

    /// SIGTERM, until it has ended; its exit status.
    pub fn end(&mut self, index: usize) -> Option<i32> {
        self.go_on(index);
        self.signal(index, Signal::TERM);
        let mut process = self.routers[index].process.take()?;
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            if let Ok(Some(status)) = process.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = process.kill();
        let _ = process.wait();
        None
    }

    /// Cuts or mends one way.
    pub fn weather(&self, from: usize, to: usize, change: impl FnOnce(&mut Weather)) {
        if let Some(relay) = &self.relays[from][to] {
            relay.change(change);
        }
    }

    /// What happens between a router and a host.
    pub fn flow(&self, router: usize, host: usize, change: impl FnOnce(&mut Flow)) {
        self.wires[router][host].change(change);
    }

    pub fn all_flow(&self, flow: Flow) {
        self.wires.iter().flatten().for_each(|wire| wire.change(|old| *old = flow));
    }

    pub fn all_weather(&self, weather: Weather) {
        self.relays.iter().flatten().flatten().for_each(|relay| relay.set(weather));
    }

    /// Nothing passes between who is on one side and who is on another.
    pub fn part(&self, side: impl Fn(usize) -> usize, one_way: bool) {
        for from in 0..self.routers.len() {
            for to in 0..self.routers.len() {
                let apart = side(from) != side(to) && (!one_way || side(from) < side(to));
                self.weather(from, to, |weather| weather.cut = apart);
            }
        }
    }

    /// What a router answers to `ottersill fleet`, each line an object.
    pub fn ask(&self, index: usize, question: &str) -> Vec<serde_json::Value> {
        ask(self.routers[index].control, question)
    }

    /// Units that a router holds of its budgets of that name, over all subjects.
    pub fn holds(&self, index: usize, budget: &str) -> u64 {
        let lines = self.ask(index, "budgets");
        let ours = lines.iter().filter(|line| line["budget"] == budget);
        ours.map(|line| line["part"].as_u64().unwrap_or(0) + line["floor"].as_u64().unwrap_or(0)).sum()
    }

    pub fn keeper(&self) -> Option<usize> {
        let up = (0..self.routers.len()).filter(|index| self.is_up(*index) && !self.is_stopped(*index));
        up.into_iter().find(|index| {
            let books = self.ask(*index, "books");
            !books.is_empty() && books.iter().all(|line| line.get("fault").is_none())
        })
    }

    /// Clients of each router that send one statement after the other, a write among `write_every`.
    pub fn load(&mut self, clients: usize, write_every: u64) {
        self.load_at(&vec![clients; self.routers.len()], write_every);
    }

    pub fn load_at(&mut self, clients: &[usize], write_every: u64) {
        self.rest();
        let over = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(vec![Answers::default(); self.routers.len()]));
        static IDS: AtomicU64 = AtomicU64::new(1);
        let mut threads = Vec::new();
        for (index, count) in clients.iter().enumerate() {
            for _ in 0..*count {
                let (over, answers, at) =
                    (Arc::clone(&over), Arc::clone(&answers), self.routers[index].listen);
                threads.push(thread::spawn(move || {
                    while !over.load(Ordering::Relaxed) {
                        let served = session(
                            at,
                            &over,
                            write_every,
                            || IDS.fetch_add(1, Ordering::Relaxed),
                            |one| {
                                one(&mut lock(&answers)[index]);
                            },
                        );
                        if served.is_err() {
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                }));
            }
        }
        self.load = Some(Load { over, clients: threads, answers });
    }

    pub fn answers(&self) -> Vec<Answers> {
        self.load.as_ref().map_or(Vec::new(), |load| lock(&load.answers).clone())
    }

    /// Ends the clients and gives what they were answered.
    pub fn rest(&mut self) -> Vec<Answers> {
        let Some(load) = self.load.take() else { return Vec::new() };
        load.over.store(true, Ordering::Relaxed);
        for client in load.clients {
            let _ = client.join();
        }
        Arc::try_unwrap(load.answers)
            .map_or(Vec::new(), |answers| answers.into_inner().unwrap_or_else(PoisonError::into_inner))
    }

    /// All that the routers wrote down.
    pub fn entries(&self) -> Result<Records, String> {
        let mut all = Records::default();
        for router in &self.routers {
            let path = self.folder.join(format!("{}.audit", router.name));
            // A torn line may end within a character.
            let bytes = fs::read(&path).unwrap_or_default();
            let records = audit::read(&String::from_utf8_lossy(&bytes))?;
            all.entries.extend(records.entries);
            all.torn += records.torn;
        }
        Ok(all)
    }

    pub fn wholes(&self) -> BTreeMap<String, Whole> {
        let plan = &self.plan;
        BTreeMap::from([
            (
                "executions at each host".to_string(),
                Whole::InHand { units: plan.executions, hold: plan.hold },
            ),
            ("probes".to_string(), Whole::Rate { units: plan.probes, every: 1.0 }),
            ("second tries".to_string(), Whole::Rate { units: plan.second_tries, every: 1.0 }),
            ("executions at each cold host".to_string(), Whole::Rate { units: plan.cold, every: 1.0 }),
        ])
    }

    /// What all wrote down, held against the wholes and the rules.
    pub fn audit(&self) -> Result<Verdict, String> {
        // The files are read one after the other while routers go on writing: what came after the first counts not.
        let cut = unix_ms() as f64 / 1000.0 - 0.05;
        let Records { mut entries, torn } = self.entries()?;
        entries.retain(|entry| entry.at < cut);
        let mut verdict = audit::audit(&entries, &self.wholes());
        verdict.torn = torn;
        let executed: Vec<_> = (0..self.toy.hosts()).flat_map(|host| self.toy.executed(host)).collect();
        verdict.faults.extend(audit::effects(&executed));
        for host in 0..self.toy.hosts() {
            let most = self.toy.most_at_once(host) as u64;
            if most > self.plan.executions {
                verdict.faults.push(format!("host {host} had {most} at once of {}", self.plan.executions));
            }
        }
        Ok(verdict)
    }

    /// Seconds of processor time that a router has used, as the kernel counts them for it.
    pub fn cpu(&self, index: usize) -> f64 {
        let Some(process) = &self.routers[index].process else { return 0.0 };
        let text = fs::read_to_string(format!("/proc/{}/schedstat", process.id())).unwrap_or_default();
        text.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
    }

    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("r{index}.log"))).unwrap_or_default()
    }

    /// Waits until it holds; false if it does not within the rig's patience.
    pub fn until(&self, holds: impl Fn(&Rig) -> bool) -> bool {
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            if holds(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether a router answers clients.
    pub fn is_ready(&self, index: usize) -> bool {
        Client::connect(self.routers[index].listen).is_ok_and(|mut client| {
            client.socket.set_read_timeout(Some(Duration::from_secs(1))).is_ok() && client.answer().is_ok()
        })
    }

    /// Plays a script to its end.
    pub fn play(&mut self, steps: &[Step]) -> io::Result<()> {
        let since = Instant::now();
        for Step { at, what } in steps {
            thread::sleep(Duration::from_secs_f64(*at).saturating_sub(since.elapsed()));
            match what {
                Fault::Start(index) => self.start(*index)?,
                Fault::Kill(index) => self.kill(*index),
                Fault::Stop(Some(index)) => self.stop(*index),
                Fault::Stop(None) => self.keeper().into_iter().for_each(|keeper| self.stop(keeper)),
                Fault::Continue(index) => self.go_on(*index),
                Fault::Term(index) => drop(self.end(*index)),
                Fault::Reload(index) => self.reload(*index),
                Fault::Part(sides) => {
                    let own = |index: usize| sides.len() + index;
                    let of = |index: usize| sides.iter().position(|side| side.contains(&index));
                    self.part(|index| of(index).unwrap_or(own(index)), false);
                }
                Fault::Cut(from, to) => self.weather(*from, *to, |weather| weather.cut = true),
                Fault::Weather(weather) => self.all_weather(*weather),
                Fault::Heal => self.all_weather(Weather::default()),
                Fault::Load(counts) => self.load_at(counts, 8),
            }
        }
        Ok(())
    }

    /// Faults as the seed says for so long.
    pub fn storm(&mut self, seconds: f64) -> io::Result<()> {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let weather = Weather {
            lost: rng.random_range(0.0..0.15),
            twice: rng.random_range(0.0..0.15),
            delay: rng.random_range(0.0..0.03),
            ..Weather::default()
        };
        self.all_weather(weather);
        // From some faults a second to one in a second.
        let rare = rng.random_range(200..2000);
        let since = Instant::now();
        let count = self.routers.len();
        while since.elapsed().as_secs_f64() < seconds {
            thread::sleep(Duration::from_millis(rng.random_range(20..rare)));
            let index = rng.random_range(0..count);
            match rng.random_range(0..16) {
                0 => self.kill(index),
                1 if self.is_up(index) => self.stop(index),
                2 | 3 if self.is_stopped(index) => self.go_on(index),
                4..=6 => self.start(index)?,
                7 => {
                    self.kill(index);
                    self.start(index)?;
                }
                8 => {
                    let (sides, one_way) = (rng.random_range(2..4), rng.random_bool(0.4));
                    let sides: Vec<usize> = (0..count).map(|_| rng.random_range(0..sides)).collect();
                    self.part(|index| sides[index], one_way);
                }
                9 | 10 => self.all_weather(weather),
                13 => {
                    let (host, flow) = (rng.random_range(0..self.plan.hosts), rng.random_range(0..5));
                    self.flow(index, host, |now| match flow {
                        0 => now.cut_to = true,
                        1 => now.cut_back = true,
                        2 => now.delay = 0.1,
                        3 => now.trickle = true,
                        _ => now.closed = true,
                    });
                }
                14 => self.all_flow(Flow::default()),
                11 => self.weather(index, (index + 1) % count, |weather| weather.held = true),
                12 => {
                    // Whoever keeps the books, for longer than its lease.
                    if let Some(keeper) = self.keeper() {
                        self.stop(keeper);
                    }
                }
                _ => {}
            }
        }
        self.all_weather(Weather::default());
        self.all_flow(Flow::default());
        (0..count).for_each(|index| self.go_on(index));
        self.start_all()
    }
}

/// One line of a script: when, in seconds from its start, and what.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub what: Fault,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Start(usize),
    Kill(usize),
    /// SIGSTOP; nobody named is whoever keeps the books.
    Stop(Option<usize>),
    Continue(usize),
    /// SIGTERM, and wait for the end.
    Term(usize),
    Reload(usize),
    /// Nothing passes between the sides; who is in none is one of its own.
    Part(Vec<Vec<usize>>),
    /// Nothing passes from the one to the other.
    Cut(usize, usize),
    Weather(Weather),
    Heal,
    /// Clients of each router.
    Load(Vec<usize>),
}

/// Reads a script: a line a step, `1.5 kill r2`, `2 stop keeper`, `2 part r0,r1 r2,r3`, `3 cut r0 r1`, `3 weather lost=0.1
/// twice=0.1 delay=0.02`, `4 heal`, `5 start r2`, `5 term r1`, `6 load 4,0,40`. What is behind `#` is a comment. The
/// error names the line.
pub fn script(text: &str, routers: usize) -> Result<Vec<Step>, String> {
    let router = |word: &str| {
        let index = word.strip_prefix('r').and_then(|digits| digits.parse().ok());
        index.filter(|index| *index < routers).ok_or_else(|| format!("no router is called {word:?}"))
    };
    let side = |word: &&str| word.split(',').map(router).collect::<Result<Vec<usize>, String>>();
    let mut steps = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let read = || -> Result<Option<Step>, String> {
            let Some((at, words)) = words.split_first() else { return Ok(None) };
            let at = at.parse::<f64>().ok().filter(|at| at.is_finite() && *at >= 0.0);
            let at = at.ok_or("a step begins with its time in seconds")?;
            let what = match words {
                ["start", who] => Fault::Start(router(who)?),
                ["kill", who] => Fault::Kill(router(who)?),
                ["stop", "keeper"] => Fault::Stop(None),
                ["stop", who] => Fault::Stop(Some(router(who)?)),
                ["continue", who] => Fault::Continue(router(who)?),
                ["term", who] => Fault::Term(router(who)?),
                ["reload", who] => Fault::Reload(router(who)?),
                ["part", sides @ ..] => Fault::Part(sides.iter().map(side).collect::<Result<_, _>>()?),
                ["cut", from, to] => Fault::Cut(router(from)?, router(to)?),
                ["weather", pairs @ ..] => Fault::Weather(weather(pairs)?),
                ["heal"] => Fault::Heal,
                ["load", counts] => {
                    let counts = counts.split(',').map(str::parse).collect::<Result<Vec<usize>, _>>();
                    Fault::Load(counts.map_err(|e| format!("load: {e}"))?)
                }
                _ => return Err(format!("no step is written {:?}", words.join(" "))),
            };
            Ok(Some(Step { at, what }))
        };
        steps.extend(read().map_err(|fault| format!("line {}: {fault}", number + 1))?);
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(steps)
}

fn weather(pairs: &[&str]) -> Result<Weather, String> {
    let mut weather = Weather::default();
    for pair in pairs {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value = value.parse::<f64>().ok().filter(|value| (0.0..=1.0).contains(value));
        let value = value.ok_or_else(|| format!("{pair:?}: expected a number from 0 to 1"))?;
        match name {
            "lost" => weather.lost = value,
            "twice" => weather.twice = value,
            "delay" => weather.delay = value,
            "held" => weather.held = value > 0.0,
            _ => return Err(format!("no weather is called {name:?}")),
        }
    }
    Ok(weather)
}

/// A second process under a router's name.
pub struct Double {
    process: Child,
    pub listen: SocketAddr,
    pub control: SocketAddr,
}

impl Drop for Double {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// What a router answers at its control address; nothing if it does not.
pub fn ask(control: SocketAddr, question: &str) -> Vec<serde_json::Value> {
    let asked = || -> io::Result<Vec<String>> {
        let mut router = std::net::TcpStream::connect_timeout(&control, Duration::from_millis(500))?;
        router.set_read_timeout(Some(Duration::from_millis(500)))?;
        router.write_all(format!("{question}\n").as_bytes())?;
        BufReader::new(router).lines().collect()
    };
    asked().unwrap_or_default().iter().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.rest();
        for index in 0..self.routers.len() {
            self.go_on(index);
            self.kill(index);
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// One connection's statements, until it breaks.
fn session(
    at: SocketAddr,
    over: &AtomicBool,
    write_every: u64,
    next: impl Fn() -> u64,
    tell: impl Fn(&dyn Fn(&mut Answers)),
) -> io::Result<()> {
    let mut client = Client::connect(at)?;
    client.socket.set_read_timeout(Some(Duration::from_secs(4)))?;
    client.answer()?;
    while !over.load(Ordering::Relaxed) {
        let number = next();
        let id = format!("{:x}{number:x}", unix_ms() as u64 & 0xff_ffff);
        let text = if write_every > 0 && number % write_every == 0 {
            format!(
                "INSERT INTO kv (name, content) VALUES ('k{number}', '\\x76') RETURNING content /* id={id},c=put,d=500,cluster=1 */"
            )
        } else {
            format!("SELECT content FROM kv WHERE name = 'k{number}' /* id={id},c=get,d=500,cluster=1 */")
        };
        match client.ask(&text) {
            Ok(words) if words.starts_with("row:") => tell(&|answers| answers.completed += 1),
            Ok(words) if words.starts_with("C53300") => {
                tell(&|answers| answers.rejected += 1);
                thread::sleep(Duration::from_millis(10));
            }
            Ok(words) if words.starts_with('C') => tell(&|answers| answers.aborted += 1),
            Ok(_) => tell(&|answers| answers.wrong += 1),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                // Nothing came, and it still stands; a stopped router is no wrong answer, its silence shows in others.
                tell(&|answers| answers.broken += 1);
                return Err(e);
            }
            Err(e) => {
                tell(&|answers| answers.broken += 1);
                return Err(e);
            }
        }
    }
    Ok(())
}
