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
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill-lab: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// What all schedules together came to.
#[derive(Default)]
struct Sum {
    faults: Vec<String>,
    highest: BTreeMap<String, f64>,
    grants: u64,
    spent: u64,
    processes: usize,
    answers: Answers,
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
            return Err(io::Error::other(format!("seed {seed}: not all routers came up")));
        }
        rig.load(fleet.clients, 8);
        std::thread::sleep(Duration::from_secs_f64(1.5));
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
    println!("{} schedules, {} processes of the program", fleet.schedules, sum.processes);
    println!("{} grants, {} units spent, answers {:?}", sum.grants, sum.spent, sum.answers);
    for (budget, highest) in &sum.highest {
        println!("{budget}: highest sum {highest:.3} of the whole");
    }
    sum.faults.iter().take(20).for_each(|fault| println!("BROKEN {fault}"));
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
