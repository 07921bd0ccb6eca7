//! What is learnt of each class of requests: how long its answers take, and how much of all work it is.

use crate::clock::decayed;
use crate::ids::{ClassId, Id, Table};
use crate::interface::{Consistency, Effect, RequestClass, RoutingConfig};
use crate::retry::ClientRetryDetector;

/// Before any answer came one is expected to take the SLO time divided by this.
const INITIAL_LATENCY_DIVISOR: f64 = 6.0;
/// Weight of the newest answer in a class's expected latency.
const LATENCY_LEARNING_RATE: f64 = 0.02;
/// An estimate for one request is never below the class's expected latency divided by this.
const MIN_ESTIMATE_DIVISOR: f64 = 8.0;
/// A read of any data is long if it takes this many times as long as the quickest class.
const LONG_READ_FACTOR: f64 = 4.0;
/// Time constant in seconds with which recent work fades.
const WORK_MEMORY: f64 = 60.0;
/// Keeps shares of work defined while there is none.
const MIN_WORK: f64 = 1e-9;

/// Seconds that an answer of a workload is taken to need before any came.
pub(crate) fn initial_latency(workload: &RequestClass) -> f64 {
    workload.slo_time / INITIAL_LATENCY_DIVISOR
}

/// One class: its settings and what was learnt.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    settings: RequestClass,
    /// Moving average of the seconds that an answer takes.
    expected_latency: f64,
    /// Seconds of endpoint work spent on it of late.
    recent_work: f64,
    client_retries: ClientRetryDetector,
}

impl ClassStats {
    /// A class of which nothing was learnt yet.
    fn new(settings: RequestClass) -> ClassStats {
        ClassStats {
            expected_latency: initial_latency(&settings),
            settings,
            recent_work: 0.0,
            client_retries: ClientRetryDetector::default(),
        }
    }

    /// What the settings say of it.
    pub(crate) fn settings(&self) -> &RequestClass {
        &self.settings
    }

    /// What data its requests need.
    pub(crate) fn needs(&self) -> Consistency {
        self.settings.needs
    }

    /// How often its requests may take effect.
    pub(crate) fn effect(&self) -> Effect {
        self.settings.effect
    }

    /// Whether it goes to the primary because it may write.
    pub(crate) fn is_write(&self) -> bool {
        self.settings.needs == Consistency::Primary
    }

    /// What is known of retries by its clients.
    pub(crate) fn client_retries(&mut self) -> &mut ClientRetryDetector {
        &mut self.client_retries
    }

    /// Seconds that an answer takes for a request with so many seconds more work than is usual, or fewer if negative.
    pub(crate) fn estimate(&self, extra_work: f64) -> f64 {
        (self.expected_latency + extra_work).max(self.expected_latency / MIN_ESTIMATE_DIVISOR)
    }

    /// An attempt was answered in full; `latency` excludes what was its own extra work.
    pub(crate) fn record_latency(&mut self, latency: f64) {
        self.expected_latency += LATENCY_LEARNING_RATE * (latency - self.expected_latency);
    }

    /// An attempt kept an endpoint busy, for that long if it is known.
    pub(crate) fn record_work(&mut self, seconds: Option<f64>) {
        self.recent_work += seconds.unwrap_or(self.expected_latency);
    }

    /// Lets what was learnt fade by one tick.
    fn tick(&mut self) {
        self.client_retries.tick();
        self.recent_work = decayed(self.recent_work, WORK_MEMORY);
    }
}

/// All classes: those of the settings, then for each a twin with the terms of a write.
#[derive(Clone, Debug)]
pub(crate) struct Classes {
    table: Table<ClassId, ClassStats>,
    /// How many the settings name.
    declared: usize,
}

impl Classes {
    /// The classes of these settings.
    pub(crate) fn new(config: &RoutingConfig) -> Classes {
        let declared = config.workloads.iter().cloned();
        // A text that may write goes by the strictest terms, whatever its workload says.
        let as_write = |workload: &RequestClass| RequestClass {
            needs: Consistency::Primary,
            effect: Effect::NonIdempotent,
            ..workload.clone()
        };
        let twins = config.workloads.iter().map(as_write);
        let table = Table::of(declared.chain(twins).map(ClassStats::new).collect());
        Classes { table, declared: config.workloads.len() }
    }

    /// The class.
    pub(crate) fn get(&self, class: ClassId) -> &ClassStats {
        &self.table[class]
    }

    /// The class, to be changed.
    pub(crate) fn get_mut(&mut self, class: ClassId) -> &mut ClassStats {
        &mut self.table[class]
    }

    /// The class of a request: its workload's, or the twin if that only reads and the text may write.
    pub(crate) fn classify(&self, workload: usize, may_write: bool) -> ClassId {
        let class = ClassId::new(workload);
        if may_write { self.as_write(class) } else { class }
    }

    /// The twin of a class that only reads; a class that writes stands for itself.
    pub(crate) fn as_write(&self, class: ClassId) -> ClassId {
        let is_declared = class.index() < self.declared;
        if is_declared && !self.table[class].is_write() {
            ClassId::new(class.index() + self.declared)
        } else {
            class
        }
    }

    /// The part of all recent work that is due to the selected classes.
    pub(crate) fn work_share(&self, selected: impl Fn(&ClassStats) -> bool) -> f64 {
        let all: f64 = self.table.iter().map(|class| class.recent_work).sum();
        let selected = self.table.iter().filter(|class| selected(class));
        let selected_work: f64 = selected.map(|class| class.recent_work).sum();
        selected_work / all.max(MIN_WORK)
    }

    /// The part of all recent work that is due to long reads.
    pub(crate) fn long_read_share(&self) -> f64 {
        let threshold = self.long_read_threshold();
        self.work_share(|class| class.needs() == Consistency::Any && class.expected_latency > threshold)
    }

    /// Whether an answer of that class which takes so many seconds is a long read: one of any data that holds back the
    /// replication of the endpoint it runs on.
    pub(crate) fn is_long_read(&self, class: &ClassStats, seconds: f64) -> bool {
        class.needs() == Consistency::Any && seconds > self.long_read_threshold()
    }

    /// Seconds from which on a read of any data is long.
    fn long_read_threshold(&self) -> f64 {
        let latencies = self.table.iter().map(|class| class.expected_latency);
        LONG_READ_FACTOR * latencies.fold(f64::INFINITY, f64::min)
    }

    /// Lets what was learnt fade by one tick.
    pub(crate) fn tick(&mut self) {
        self.table.iter_mut().for_each(ClassStats::tick);
    }
}
