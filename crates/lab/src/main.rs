//! The laboratory's command line.

use std::collections::BTreeMap;
use std::io::{self, BufRead};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use ottersill_lab::rig::{self, Answers, Plan, Rig};
use ottersill_lab::store::{Client, Conduct, Toy, unix_ms};

const ROUTER: &str = "127.0.0.1:7400";
const DISCOVERY: &str = "127.0.0.1:7500";
const HOSTS: [&str; 3] = ["127.0.0.1:7601", "127.0.0.1:7602", "127.0.0.1:7603"];

/// The laboratory of ottersill, on loopback: a stand-in store, and rigs of many router processes with faults between them.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a toy store of three hosts and its discovery; lines on standard input change them.
    Serve,
    /// Sends one statement to the router of the example.
    #[command(subcommand)]
    Ask(Ask),
    /// Plays schedules of faults on routers that share budgets, and audits them.
    Fleet(Fleet),
    /// Times statements through a router with talk and without, in turn.
    Cost(Cost),
}

#[derive(Subcommand)]
enum Ask {
    Get { key: String },
    Put { key: String, value: String },
}

#[derive(Args)]
struct Fleet {
    /// A script in place of a schedule from a seed; docs/operators-fleet.md has its steps.
    plan: Option<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    schedules: u64,
    /// Rigs that run at a time.
    #[arg(long, default_value_t = 1)]
    beside: u64,
    #[arg(long, default_value_t = 5)]
    routers: usize,
    /// Clients of each router.
    #[arg(long, default_value_t = 3)]
    clients: usize,
    /// How long a schedule's faults go on.
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    /// The built router; else the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The charter that each router's is made of.
    #[arg(long, default_value = "example/router.json")]
    charter: PathBuf,
}

#[derive(Args)]
struct Cost {
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    #[arg(long, default_value_t = 3)]
    routers: usize,
    /// Seconds a round.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Routers write down what they spend.
    #[arg(long)]
    audit: bool,
    #[arg(long)]
    program: Option<PathBuf>,
    #[arg(long, default_value = "example/router.json")]
    charter: PathBuf,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Serve => serve(),
        Command::Ask(Ask::Get { key }) => ask(&format!("SELECT content FROM kv WHERE name = '{key}'"), "get"),
        Command::Ask(Ask::Put { key, value }) => {
            let hex: String = value.bytes().map(|byte| format!("{byte:02x}")).collect();
            let insert =
                format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x{hex}') RETURNING content");
            ask(&insert, "put")
        }
        Command::Fleet(fleet) => play(&fleet),
        Command::Cost(cost) => time(&cost),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill-lab: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Microseconds a statement of one client, and a router's CPU a second, with talk and without.
fn time(cost: &Cost) -> io::Result<()> {
    let beside = std::env::current_exe()?.with_file_name("ottersill");
    let program = cost.program.clone().unwrap_or(beside);
    let charter = std::fs::read_to_string(&cost.charter)?;
    let mut rows = [Vec::new(), Vec::new()];
    for round in 0..cost.rounds {
        for (row, talk) in [true, false].into_iter().enumerate() {
            let plan = Plan {
                routers: cost.routers,
                voters: cost.routers.min(3) | 1,
                executions: 64,
                probes: 1000,
                work: 0.0,
                talk,
                audit: cost.audit,
                seed: round as u64 + 1,
                ..Plan::default()
            };
            let mut rig = Rig::new(plan, &program, &charter)?;
            rig.start_all()?;
            if !rig.until(|rig| (0..rig.routers.len()).all(|index| rig.is_ready(index))) {
                return Err(io::Error::other("not all routers came up"));
            }
            std::thread::sleep(Duration::from_secs_f64(4.0));
            let idle = rig.cpu(1);
            std::thread::sleep(Duration::from_secs_f64(cost.seconds));
            let idle = (rig.cpu(1) - idle) / cost.seconds;
            let mut clients = vec![0; cost.routers];
            clients[0] = 1;
            rig.load_at(&clients, 0);
            std::thread::sleep(Duration::from_secs_f64(cost.seconds));
            let served = rig.rest()[0].completed;
            let counts = rig.ask(1, "counts");
            let of = |name: &str| counts.first().and_then(|line| line[name].as_f64()).unwrap_or(0.0);
            let ran = 4.0 + 2.0 * cost.seconds;
            rows[row].push([
                cost.seconds * 1e6 / served.max(1) as f64,
                idle * 1000.0,
                of("sent") / ran,
                of("sent_bytes") / ran,
            ]);
        }
    }
    for (name, row) in ["with talk", "without"].into_iter().zip(&mut rows) {
        let figures = (0..4).map(|column| {
            let mut all: Vec<f64> = row.iter().map(|figures| figures[column]).collect();
            all.sort_by(f64::total_cmp);
            format!("{:.1} ({:.1} to {:.1})", all[all.len() / 2], all[0], all[all.len() - 1])
        });
        let [statement, idle, sent, bytes] = <[String; 4]>::try_from(figures.collect::<Vec<_>>())
            .map_err(|_| io::Error::other("four figures"))?;
        println!(
            "{name}: {statement} us a statement; idle {idle} ms CPU a second; sends {sent} datagrams, {bytes} bytes a second"
        );
    }
    Ok(())
}

/// What all schedules together came to.
#[derive(Default)]
struct Sum {
    faults: Vec<String>,
    highest: BTreeMap<String, f64>,
    grants: u64,
    spent: u64,
    processes: usize,
    torn: usize,
    answers: Answers,
    /// Schedules that were not played, as a router did not come up within the rig's patience.
    not_up: u64,
}

fn play(fleet: &Fleet) -> io::Result<()> {
    let beside = std::env::current_exe()?.with_file_name("ottersill");
    let program = fleet.program.clone().unwrap_or(beside);
    let charter = std::fs::read_to_string(&fleet.charter)?;
    let script = match &fleet.plan {
        None => None,
        Some(plan) => {
            let told = |fault| io::Error::other(format!("{}: {fault}", plan.display()));
            Some(rig::script(&std::fs::read_to_string(plan)?, fleet.routers).map_err(told)?)
        }
    };
    let (next, sum) = (AtomicU64::new(0), Mutex::new(Sum::default()));
    let one = |seed: u64| -> io::Result<()> {
        let plan = Plan { routers: fleet.routers, seed, floor: seed % 2, ..Plan::default() };
        let mut rig = Rig::new(plan, &program, &charter)?;
        rig.start_all()?;
        if !rig.until(|rig| (0..rig.routers.len()).all(|index| rig.is_ready(index))) {
            let late = (0..rig.routers.len()).filter(|index| !rig.is_ready(*index));
            let logs = late.map(|index| format!("r{index}: {}", rig.log(index))).collect::<String>();
            // What it shows is told with the rest; the other schedules go on.
            let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
            sum.not_up += 1;
            eprintln!("seed {seed}: not all routers came up\n{logs}");
            return Ok(());
        }
        rig.load(fleet.clients, 8);
        // Until what an earlier keeper might have granted is over.
        std::thread::sleep(Duration::from_secs_f64(3.5));
        match &script {
            Some(steps) => rig.play(steps)?,
            None => rig.storm(fleet.seconds)?,
        }
        std::thread::sleep(Duration::from_secs_f64(1.0));
        let answers = rig.rest();
        let verdict = rig.audit().map_err(io::Error::other)?;
        let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
        sum.faults.extend(verdict.faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        for (budget, highest) in verdict.highest {
            let so_far = sum.highest.entry(budget).or_default();
            *so_far = so_far.max(highest);
        }
        (sum.grants, sum.spent) = (sum.grants + verdict.grants, sum.spent + verdict.spent);
        sum.processes += verdict.processes;
        sum.torn += verdict.torn;
        for one in answers {
            let all = &mut sum.answers;
            (all.completed, all.rejected) = (all.completed + one.completed, all.rejected + one.rejected);
            (all.aborted, all.broken) = (all.aborted + one.aborted, all.broken + one.broken);
            all.wrong += one.wrong;
        }
        Ok(())
    };
    let work = || -> io::Result<()> {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= fleet.schedules {
                return Ok(());
            }
            one(fleet.seed + number)?;
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..fleet.beside.clamp(1, 64)).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .try_for_each(|worker| worker.join().map_err(|_| io::Error::other("a rig broke"))?)
    })?;
    let sum = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    let played = fleet.schedules - sum.not_up;
    println!("{played} schedules of {}, {} processes of the program", fleet.schedules, sum.processes);
    println!("{} grants, {} units spent, answers {:?}", sum.grants, sum.spent, sum.answers);
    println!("{} torn lines of audit files passed over", sum.torn);
    for (budget, highest) in &sum.highest {
        println!("{budget}: highest sum {highest:.3} of the whole");
    }
    sum.faults.iter().take(20).for_each(|fault| println!("BROKEN {fault}"));
    if played == 0 {
        return Err(io::Error::other("no schedule was played"));
    }
    if sum.faults.is_empty() { Ok(()) } else { Err(io::Error::other(format!("{} faults", sum.faults.len()))) }
}

/// Until the end of input, each line gives a host another conduct or health: `0 silent`, `2 leaving`.
fn serve() -> io::Result<()> {
    let toy = Toy::default();
    for at in HOSTS {
        println!("host toy-{} at {}", toy.hosts(), toy.host(at)?);
    }
    println!("discovery at {}", toy.discovery(DISCOVERY)?);
    for line in io::stdin().lock().lines() {
        let line = line?;
        let (host, word) = line.trim().split_once(' ').unwrap_or_default();
        let health = ["active", "leaving", "left"].into_iter().find(|known| *known == word);
        match (host.parse().ok().filter(|host| *host < toy.hosts()), Conduct::named(word), health) {
            (Some(host), Some(conduct), _) => toy.set_conduct(host, conduct),
            (Some(host), _, Some(health)) => toy.set_health(host, health),
            _ => println!("expected a host's number and a conduct or a health, found {line:?}"),
        }
    }
    Ok(())
}

fn ask(statement: &str, workload: &str) -> io::Result<()> {
    let mut client = Client::connect(ROUTER.parse().map_err(io::Error::other)?)?;
    client.answer()?;
    let id = unix_ms();
    println!("{}", client.ask(&format!("{statement} /* id={id:x},c={workload},d=2000,cluster=1 */"))?);
    Ok(())
}
