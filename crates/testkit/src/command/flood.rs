//! `flood`: measures what usual clients wait while other clients flood a router.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use crate::flood::{FloodInput, FloodMeasurement, FloodPlan};

use super::{CommandError, RouterFiles};

/// Arguments of `flood`.
#[derive(Args)]
pub(super) struct FloodArguments {
    /// What the flooding clients send; by default, each kind in turn.
    #[arg(long = "input")]
    inputs: Vec<FloodInput>,
    /// Number of flooding clients.
    #[arg(long, default_value_t = 6)]
    flooders: usize,
    /// Number of further connections that send half of a long statement and stay.
    #[arg(long, default_value_t = 0)]
    half_sent: usize,
    /// Number of usual clients.
    #[arg(long, default_value_t = 6)]
    usual: usize,
    /// Statements per second of each usual client.
    #[arg(long, default_value_t = 15.0)]
    rate: f64,
    /// One statement in this many of the usual clients is a write; with zero, none is.
    #[arg(long, default_value_t = 0)]
    write_every: u64,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Number of routers, each on a core of its own, among which all clients are divided.
    #[arg(long, default_value_t = 1)]
    routers: usize,
    /// Number of busy threads that share each router's core with it.
    #[arg(long, default_value_t = 0)]
    competitors: usize,
    /// Memory limit in the router's configuration, in MB.
    #[arg(long, default_value_t = 192)]
    memory_mb: usize,
    /// The router executable; by default, the one next to this program. With several, each input is run on each in turn.
    #[arg(long = "program")]
    programs: Vec<PathBuf>,
    /// The configuration file from which the configuration of the router is derived.
    #[arg(long, default_value = "example/router.json")]
    config: PathBuf,
}

impl FloodArguments {
    fn plan(&self, input: Option<FloodInput>) -> FloodPlan {
        FloodPlan {
            input,
            flooders: self.flooders,
            half_sent: self.half_sent,
            usual: self.usual,
            rate: self.rate,
            write_every: self.write_every,
            duration: Duration::from_secs_f64(self.seconds),
            routers: self.routers,
            competitors: self.competitors,
            memory_mb: self.memory_mb,
        }
    }
}

/// Measures without a flood, then with each input, and prints a row for each run.
pub(super) fn run(arguments: &FloodArguments) -> Result<(), CommandError> {
    let mut programs: Vec<Option<PathBuf>> = arguments.programs.iter().cloned().map(Some).collect();
    if programs.is_empty() {
        programs.push(None);
    }
    let inputs = if arguments.inputs.is_empty() { FloodInput::all() } else { &arguments.inputs };
    println!("{}", FloodMeasurement::HEADER);
    for input in std::iter::once(None).chain(inputs.iter().copied().map(Some)) {
        for (index, program) in programs.iter().enumerate() {
            let files = RouterFiles::find(program.as_deref(), &arguments.config)?;
            let measurement = FloodMeasurement::run(&arguments.plan(input), &files.program, &files.example)?;
            let name = input.map_or("none".to_string(), FloodInput::name);
            let label = if programs.len() > 1 { format!("{name} ({})", index + 1) } else { name };
            println!("{}", measurement.row(&label));
        }
    }
    Ok(())
}
