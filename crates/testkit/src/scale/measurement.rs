//! One run: starts the endpoints and a router, sends the load, and reads the resource usage of the router.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use serde::Serialize;

use crate::cluster::Answers;
use crate::convert::{count_to_f64, size_to_f64};

use super::discovery::apply_changes;
use super::endpoints::Endpoints;
use super::router::MeasuredRouter;
use super::{ScaleError, ScalePlan, load};

/// Results of one run, from the start of the router's process to the last answer.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// CPU time of the router, in seconds.
    pub cpu_seconds: f64,
    /// Peak resident memory of the router, in bytes.
    pub peak_memory_bytes: u64,
    /// Highest sampled number of descriptors that the router had open.
    pub peak_descriptors: usize,
    /// Number of connections that the endpoints accepted.
    pub backend_connections: u64,
    /// Number of connections to endpoints that the router opened, according to its counters.
    pub backend_connections_opened: u64,
    /// Size of the endpoint lists that discovery sent, in bytes.
    pub list_bytes: u64,
    /// Number of health checks that the router started, according to its counters.
    pub health_checks: u64,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Requests answered with a row before their deadline.
    pub completed: u64,
    /// Requests that were rejected; none of them was executed.
    pub rejected: u64,
    /// Requests answered with another error.
    pub aborted: u64,
    /// Requests without a valid answer, or whose connection was closed or timed out.
    pub unanswered: u64,
}

impl Measurement {
    /// Measures one router under the plan. `program` is the router executable, `example` the text of `example/router.json`,
    /// in which the addresses, the number of routers and the idle timeout of connections are replaced.
    pub fn run(plan: &ScalePlan, program: &Path, example: &str) -> Result<Measurement, ScaleError> {
        let endpoints = Endpoints::start(plan)?;
        let router = MeasuredRouter::start(plan, &endpoints, program, example)?;
        let usage = router.usage()?;
        let stopped = AtomicBool::new(false);
        let (answers, peak_descriptors) = thread::scope(|scope| {
            let peak_descriptors = scope.spawn(|| usage.peak_descriptors(&stopped));
            scope.spawn(|| apply_changes(&endpoints.store, &endpoints.changes));
            let answers = load::run(plan, router.listen());
            stopped.store(true, Ordering::Relaxed);
            (answers, peak_descriptors.join())
        });
        let peak_descriptors = peak_descriptors.unwrap_or(Ok(0)).map_err(ScaleError::Process)?;
        Measurement::collect(plan, &endpoints, &router, answers, peak_descriptors)
    }

    /// Collects the results at the end of the run.
    fn collect(
        plan: &ScalePlan,
        endpoints: &Endpoints,
        router: &MeasuredRouter,
        answers: Answers,
        peak_descriptors: usize,
    ) -> Result<Measurement, ScaleError> {
        let counters = router.counters()?;
        Ok(Measurement {
            cpu_seconds: router.cpu_seconds(),
            peak_memory_bytes: router.usage()?.peak_memory().map_err(ScaleError::Process)?,
            peak_descriptors,
            backend_connections: endpoints.store.connections_accepted(),
            backend_connections_opened: counters.value("backend_connections_opened")?,
            list_bytes: endpoints.store.list_bytes_sent(),
            health_checks: counters.value("health_checks")?,
            requests: plan.requests(),
            completed: answers.completed,
            rejected: answers.rejected,
            aborted: answers.aborted,
            unanswered: answers.connections_broken + answers.malformed,
        })
    }

    /// Returns the fraction of the requests that were answered with a row before their deadline.
    pub fn served_fraction(&self) -> f64 {
        count_to_f64(self.completed) / size_to_f64(self.requests.max(1))
    }
}
