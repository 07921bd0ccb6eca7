//! `cost`: what talk between routers costs a statement and a router.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use clap::Args;

use crate::cluster::{Cluster, ClusterPlan};
use crate::convert::count_to_f64;

use super::{CommandError, RouterFiles};

/// The router that is measured; clients send to another.
const MEASURED: usize = 1;
/// Until routers have settled.
const SETTLING_SECONDS: f64 = 4.0;

/// Arguments of `cost`.
#[derive(Args)]
pub(super) struct CostArguments {
    /// Rounds; each measures both.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Routers of each cluster.
    #[arg(long, default_value_t = 3)]
    routers: usize,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Routers write audit files.
    #[arg(long)]
    audit: bool,
    /// The built router; else the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The settings that each router's are made of.
    #[arg(long, alias = "charter", default_value = "example/router.json")]
    config: PathBuf,
}

/// What one measurement gave.
struct Sample {
    /// Microseconds a statement of one client.
    statement_us: f64,
    /// Milliseconds of processor time a second, without load.
    idle_cpu_ms: f64,
    datagrams_per_second: f64,
    bytes_per_second: f64,
}

/// Measures routers that talk to each other and routers that do not, in turn, and prints both.
pub(super) fn run(arguments: &CostArguments) -> Result<(), CommandError> {
    let files = RouterFiles::find(arguments.program.as_deref(), &arguments.config)?;
    let (mut with_talk, mut without) = (Vec::new(), Vec::new());
    for round in 0..arguments.rounds {
        let seed = round as u64 + 1;
        with_talk.push(measure(arguments, &files, seed, true)?);
        without.push(measure(arguments, &files, seed, false)?);
    }
    print("with talk", &with_talk);
    print("without", &without);
    Ok(())
}

fn measure(
    arguments: &CostArguments,
    files: &RouterFiles,
    seed: u64,
    fleet_enabled: bool,
) -> Result<Sample, CommandError> {
    let seconds = arguments.seconds;
    let mut cluster = Cluster::new(plan(arguments, seed, fleet_enabled), &files.program, &files.example)?;
    cluster.start_all()?;
    if !cluster.wait_until_ready() {
        return Err(CommandError::NotReady);
    }
    sleep(SETTLING_SECONDS);
    let cpu_before = cluster.cpu_seconds(MEASURED);
    sleep(seconds);
    let idle_cpu = (cluster.cpu_seconds(MEASURED) - cpu_before) / seconds;
    let mut clients = vec![0; arguments.routers];
    clients[0] = 1;
    cluster.start_load_at(&clients, 0);
    sleep(seconds);
    let completed = cluster.stop_load()[0].completed;
    let counts = cluster.query(MEASURED, "counters");
    let count = |name: &str| counts.first().and_then(|line| line[name].as_f64()).unwrap_or(0.0);
    let ran_for = SETTLING_SECONDS + 2.0 * seconds;
    Ok(Sample {
        statement_us: seconds * 1e6 / count_to_f64(completed.max(1)),
        idle_cpu_ms: idle_cpu * 1000.0,
        datagrams_per_second: count("sent") / ran_for,
        bytes_per_second: count("sent_bytes") / ran_for,
    })
}

fn plan(arguments: &CostArguments, seed: u64, fleet_enabled: bool) -> ClusterPlan {
    ClusterPlan {
        routers: arguments.routers,
        // Odd, as an even number is refused.
        voters: arguments.routers.min(3) | 1,
        executions: 64,
        health_checks_per_second: 1000,
        statement_seconds: 0.0,
        fleet_enabled,
        audit: arguments.audit,
        seed,
        ..ClusterPlan::default()
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn print(name: &str, samples: &[Sample]) {
    let statement = median_and_spread(samples, |sample| sample.statement_us);
    let idle = median_and_spread(samples, |sample| sample.idle_cpu_ms);
    let sent = median_and_spread(samples, |sample| sample.datagrams_per_second);
    let bytes = median_and_spread(samples, |sample| sample.bytes_per_second);
    println!(
        "{name}: {statement} us a statement; idle {idle} ms CPU a second; sends {sent} datagrams, {bytes} bytes a second"
    );
}

/// The median, with the least and the greatest; `-` of no samples.
fn median_and_spread(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> String {
    let mut values: Vec<f64> = samples.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(greatest)) = (values.first(), values.last()) else { return "-".to_string() };
    format!("{:.1} ({least:.1} to {greatest:.1})", values[values.len() / 2])
}
