//! `scale`: compares what a router needs in a small and in a large deployment.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;

use crate::scale::{Comparison, Measurement, ScalePlan};

use super::{CommandError, RouterFiles};

/// Arguments of `scale`.
#[derive(Args)]
pub(super) struct ScaleArguments {
    /// Number of endpoints in the small deployment.
    #[arg(long, default_value_t = 200)]
    small: usize,
    /// Number of endpoints in the large deployment.
    #[arg(long, default_value_t = 3200)]
    large: usize,
    /// Number of routers that the configuration states in the small deployment.
    #[arg(long, default_value_t = 300)]
    small_routers: usize,
    /// Number of routers that the configuration states in the large deployment.
    #[arg(long, default_value_t = 900)]
    large_routers: usize,
    /// Milliseconds after which idle connections to endpoints are closed; by default, the value in the configuration.
    #[arg(long)]
    keepalive_ms: Option<u64>,
    /// Requests per second, of which a fifth are writes.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Duration of the load of each run, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Fraction of the endpoints that is replaced during a run.
    #[arg(long, default_value_t = 0.1)]
    replaced: f64,
    /// Seed of the first run; each further run takes the next.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each deployment, in turn; the medians are compared.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// File to which the table and all runs are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The router executable; by default, the one next to this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The configuration file from which the configuration of the router is derived.
    #[arg(long, default_value = "example/router.json")]
    config: PathBuf,
}

impl ScaleArguments {
    fn plan(&self, endpoints: usize, routers: usize, seed: u64) -> ScalePlan {
        ScalePlan {
            endpoints,
            routers,
            keepalive: self.keepalive_ms.map(Duration::from_millis),
            requests_per_second: self.rate,
            duration: Duration::from_secs_f64(self.seconds),
            replaced_fraction: self.replaced,
            seed,
            ..ScalePlan::default()
        }
    }
}

/// Measures both deployments in turn and prints the table. Fails if a row is not within its bound.
pub(super) fn run(arguments: &ScaleArguments) -> Result<(), CommandError> {
    let files = RouterFiles::find(arguments.program.as_deref(), &arguments.config)?;
    let (mut small, mut large) = (Vec::new(), Vec::new());
    for seed in arguments.seed..arguments.seed + arguments.runs {
        small.push(measure(&arguments.plan(arguments.small, arguments.small_routers, seed), &files)?);
        large.push(measure(&arguments.plan(arguments.large, arguments.large_routers, seed), &files)?);
    }
    let comparison = Comparison::new((arguments.small, small), (arguments.large, large));
    print!("{comparison}");
    if let Some(path) = &arguments.json {
        write_json(path, &comparison)?;
    }
    match comparison.exceeded() {
        0 => Ok(()),
        rows => Err(CommandError::BoundsExceeded(rows)),
    }
}

fn measure(plan: &ScalePlan, files: &RouterFiles) -> Result<Measurement, CommandError> {
    let measurement = Measurement::run(plan, &files.program, &files.example)?;
    let Measurement { requests, completed, rejected, aborted, unanswered, .. } = &measurement;
    eprintln!(
        "{} hosts, seed {}: {requests} requests, {completed} completed, {rejected} rejected, {aborted} aborted, \
         {unanswered} unanswered",
        plan.endpoints, plan.seed
    );
    Ok(measurement)
}

fn write_json(path: &Path, comparison: &Comparison) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(comparison).map_err(io::Error::from)?;
    fs::write(path, text).map_err(|source| CommandError::File { path: path.to_path_buf(), source })
}
