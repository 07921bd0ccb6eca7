//! `cost`: measures what the exchange of datagrams in a fleet costs in statement latency and in CPU time of a router.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use clap::Args;

use crate::cluster::{Cluster, ClusterPlan};
use crate::convert::count_to_f64;

use super::{CommandError, RouterFiles};

/// Index of the router whose CPU time and datagrams are measured; clients send to another router.
const MEASURED: usize = 1;
/// Time after the start in which the routers reach a steady state.
const SETTLING_SECONDS: f64 = 4.0;

/// Arguments of `cost`.
#[derive(Args)]
pub(super) struct CostArguments {
    /// Rounds; each measures a cluster with a fleet and one without.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Number of routers in each cluster.
    #[arg(long, default_value_t = 3)]
    routers: usize,
    /// Seconds that each measurement takes.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Have the routers write audit files.
    #[arg(long)]
    audit: bool,
    /// The router executable; by default, the one next to this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The configuration file from which the configuration of each router is derived.
    #[arg(long, alias = "charter", default_value = "example/router.json")]
    config: PathBuf,
}

/// Result of one measurement.
struct Sample {
    /// Mean time of a statement of one client, in microseconds.
    statement_us: f64,
    /// CPU time without load, in milliseconds per second.
    idle_cpu_ms: f64,
    datagrams_per_second: f64,
    bytes_per_second: f64,
}

/// Measures clusters with a fleet and clusters without one, in turn, and prints both results.
pub(super) fn run(arguments: &CostArguments) -> Result<(), CommandError> {
    let files = RouterFiles::find(arguments.program.as_deref(), &arguments.config)?;
    let (mut with_fleet, mut without_fleet) = (Vec::new(), Vec::new());
    for round in 0..arguments.rounds {
        let seed = round as u64 + 1;
        with_fleet.push(measure(arguments, &files, seed, true)?);
        without_fleet.push(measure(arguments, &files, seed, false)?);
    }
    print("with fleet", &with_fleet);
    print("without fleet", &without_fleet);
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
    let counters = cluster.query(MEASURED, "counters");
    let counter = |name: &str| counters.first().and_then(|line| line[name].as_f64()).unwrap_or(0.0);
    let run_seconds = SETTLING_SECONDS + 2.0 * seconds;
    Ok(Sample {
        statement_us: seconds * 1e6 / count_to_f64(completed.max(1)),
        idle_cpu_ms: idle_cpu * 1000.0,
        datagrams_per_second: counter("sent") / run_seconds,
        bytes_per_second: counter("sent_bytes") / run_seconds,
    })
}

fn plan(arguments: &CostArguments, seed: u64, fleet_enabled: bool) -> ClusterPlan {
    ClusterPlan {
        routers: arguments.routers,
        // Odd, because the router rejects an even number of voters.
        voters: arguments.routers.min(3) | 1,
        attempts_per_endpoint: 64,
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
        "{name}: {statement} us per statement; idle {idle} ms CPU per second; sends {sent} datagrams, {bytes} bytes per second"
    );
}

/// Formats the median with the minimum and the maximum; `-` if there are no samples.
fn median_and_spread(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> String {
    let mut values: Vec<f64> = samples.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else { return "-".to_string() };
    format!("{:.1} ({min:.1} to {max:.1})", values[values.len() / 2])
}
