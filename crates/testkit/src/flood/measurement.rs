//! One run of a plan, and its results.

use std::fmt;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::cluster::Answers;
use crate::convert::{count_to_f64, round_to_size, size_to_f64};

use super::flooder::Flood;
use super::routers::Routers;
use super::{FloodError, FloodPlan, usual_load};

/// Time from the first statements, in which a router learns the roles of its endpoints, to the flood.
const SETTLING_TIME: Duration = Duration::from_millis(700);
const BYTES_PER_MB: f64 = 1_048_576.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The results of one run.
#[derive(Clone, Debug)]
pub struct FloodMeasurement {
    /// Counts of the answers to usual clients.
    pub answers: Answers,
    /// Answers to usual clients after their time limit.
    pub late: u64,
    /// Median time to an answer, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    /// Longest time to an answer, in milliseconds.
    pub longest_ms: f64,
    /// Connections of the flooding clients.
    pub flood_connections: u64,
    /// Bytes that the flooding clients received.
    pub flood_bytes: u64,
    /// Highest peak of resident memory of a router, in MB.
    pub peak_memory_mb: f64,
    /// Mean CPU time of a router during the load, in seconds.
    pub cpu_seconds: f64,
    /// Time that the machine's host took from the routers' cores during the load, in seconds.
    pub stolen_seconds: f64,
    /// Longest iteration of a router's event loop, in milliseconds, if it reports it.
    pub longest_iteration_ms: Option<f64>,
}

impl FloodMeasurement {
    /// Header of the rows that `Display` writes.
    pub const HEADER: &'static str = "| input | median ms | p99 ms | longest ms | rows | rejected | aborted | unanswered | late | flood connections | flood KB received | peak MB | CPU s | stolen s | longest iteration ms |";

    /// Runs a plan with routers of that program.
    pub fn run(plan: &FloodPlan, program: &Path, example: &str) -> Result<FloodMeasurement, FloodError> {
        let routers = Routers::start(plan, program, example)?;
        let addresses = routers.listen();
        let settling = FloodPlan { duration: SETTLING_TIME, ..plan.clone() };
        usual_load::run(&settling, &addresses);
        let (cpu_before, stolen_before) = (routers.cpu_seconds(), routers.stolen_seconds()?);
        let flood = Flood::start(plan.input, plan.flooders, plan.half_sent, &addresses);
        let mut usual = usual_load::run(plan, &addresses);
        let cpu_seconds = routers.cpu_seconds() - cpu_before;
        let stolen_seconds = routers.stolen_seconds()? - stolen_before;
        let (flood_connections, flood_bytes) = flood.stop();
        let peak_memory_mb = count_to_f64(routers.peak_memory()?) / BYTES_PER_MB;
        thread::sleep(SETTLING_TIME);
        let longest_iteration_ms = routers.longest_iteration_us().map(|us| count_to_f64(us) / 1000.0);
        usual.latencies.sort_by(f64::total_cmp);
        let quantile = |fraction| quantile_ms(&usual.latencies, fraction);
        Ok(FloodMeasurement {
            answers: usual.answers,
            late: usual.late,
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            longest_ms: quantile(1.0),
            flood_connections,
            flood_bytes,
            peak_memory_mb,
            cpu_seconds,
            stolen_seconds,
            longest_iteration_ms,
        })
    }

    /// Formats the measurement as a row of a table.
    pub fn row(&self, input: &str) -> impl fmt::Display {
        let Answers { completed, rejected, aborted, connections_broken, .. } = self.answers;
        let iteration = self.longest_iteration_ms.map_or("-".to_string(), |ms| format!("{ms:.1}"));
        format!(
            "| {input} | {:.1} | {:.1} | {:.1} | {completed} | {rejected} | {aborted} | {connections_broken} | {} | {} | {} | {:.1} | {:.2} | {:.2} | {iteration} |",
            self.median_ms,
            self.p99_ms,
            self.longest_ms,
            self.late,
            self.flood_connections,
            self.flood_bytes / 1024,
            self.peak_memory_mb,
            self.cpu_seconds,
            self.stolen_seconds,
        )
    }
}

/// Returns the quantile of sorted times, in milliseconds; not a number if there are none.
fn quantile_ms(sorted_seconds: &[f64], fraction: f64) -> f64 {
    let last = sorted_seconds.len().saturating_sub(1);
    let index = round_to_size(size_to_f64(last) * fraction);
    sorted_seconds.get(index).map_or(f64::NAN, |seconds| seconds * MILLISECONDS_PER_SECOND)
}
