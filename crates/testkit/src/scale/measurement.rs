//! One run: starts the endpoints and a router, sends the load, and reads what the router has used.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use serde::Serialize;

use crate::cluster::Answers;
use crate::convert::{count_to_f64, size_to_f64};

use super::discovery::play_changes;
use super::hosts::Hosts;
use super::router::MeasuredRouter;
use super::{ScaleError, ScalePlan, load};

/// What one run came to, from the start of the router's process to the last answer.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Processor time of the router, in seconds.
    pub cpu_seconds: f64,
    /// The router's peak of resident memory, in bytes.
    pub peak_memory_bytes: u64,
    /// The most descriptors that the router was seen to have open.
    pub peak_descriptors: usize,
    /// Connections that the endpoints accepted.
    pub backend_connections: u64,
    /// Connections to endpoints that the router says it opened.
    pub backend_connections_opened: u64,
    /// Bytes of lists that discovery sent.
    pub list_bytes: u64,
    /// Health checks that the router says it began.
    pub health_checks: u64,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that were answered with a row, in their time.
    pub completed: u64,
    /// Requests that were rejected: nothing ran.
    pub rejected: u64,
    /// Requests that were answered with another error.
    pub aborted: u64,
    /// Requests whose connection ended, or that were not answered.
    pub unanswered: u64,
}

impl Measurement {
    /// Plays the plan on one router. `program` is the built router, `example` the text of `example/router.json`, whose
    /// addresses, number of routers and idle time of connections are replaced.
    pub fn run(plan: &ScalePlan, program: &Path, example: &str) -> Result<Measurement, ScaleError> {
        let hosts = Hosts::start(plan)?;
        let router = MeasuredRouter::start(plan, &hosts, program, example)?;
        let usage = router.usage()?;
        let stopped = AtomicBool::new(false);
        let (answers, peak_descriptors) = thread::scope(|scope| {
            let peak_descriptors = scope.spawn(|| usage.peak_descriptors(&stopped));
            scope.spawn(|| play_changes(&hosts.store, &hosts.changes));
            let answers = load::run(plan, router.listen());
            stopped.store(true, Ordering::Relaxed);
            (answers, peak_descriptors.join())
        });
        let peak_descriptors = peak_descriptors.unwrap_or(Ok(0)).map_err(ScaleError::Process)?;
        Measurement::read(plan, &hosts, &router, answers, peak_descriptors)
    }

    /// Reads what the router has used until now.
    fn read(
        plan: &ScalePlan,
        hosts: &Hosts,
        router: &MeasuredRouter,
        answers: Answers,
        peak_descriptors: usize,
    ) -> Result<Measurement, ScaleError> {
        let counters = router.counters()?;
        Ok(Measurement {
            cpu_seconds: router.cpu_seconds(),
            peak_memory_bytes: router.usage()?.peak_memory().map_err(ScaleError::Process)?,
            peak_descriptors,
            backend_connections: hosts.store.connections_accepted(),
            backend_connections_opened: counters.value("backend_connections_opened")?,
            list_bytes: hosts.store.list_bytes_sent(),
            health_checks: counters.value("health_checks")?,
            requests: plan.requests(),
            completed: answers.completed,
            rejected: answers.rejected,
            aborted: answers.aborted,
            unanswered: answers.broken + answers.wrong,
        })
    }

    /// The part of the requests that was answered with a row, in their time.
    pub fn served(&self) -> f64 {
        count_to_f64(self.completed) / size_to_f64(self.requests.max(1))
    }
}
