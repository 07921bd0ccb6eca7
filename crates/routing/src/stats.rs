//! Statistics of each class of requests: the latency of its answers, and its fraction of all work.

use crate::clock::decayed;
use crate::ids::{ClassId, Id, Table};
use crate::interface::{Consistency, Effect, RoutingConfig, WorkloadSettings};
use crate::retry::ClientRetryDetector;

/// The expected latency before the first answer is the SLO time divided by this.
const INITIAL_LATENCY_DIVISOR: f64 = 6.0;
/// Weight of the newest answer in a class's expected latency.
const LATENCY_LEARNING_RATE: f64 = 0.02;
/// The estimate for a single request is at least the class's expected latency divided by this.
const MIN_ESTIMATE_DIVISOR: f64 = 8.0;
/// A read of data of any age is long if it takes this many times as long as the fastest class.
const LONG_READ_FACTOR: f64 = 4.0;
/// Time constant in seconds with which recent work decays.
const WORK_DECAY_SECONDS: f64 = 60.0;
/// Avoids a division by zero while no work has been recorded.
const MIN_WORK: f64 = 1e-9;

/// The expected latency of a workload in seconds before its first answer.
pub(crate) fn initial_latency(workload: &WorkloadSettings) -> f64 {
    workload.slo_time / INITIAL_LATENCY_DIVISOR
}

/// The settings and statistics of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    settings: WorkloadSettings,
    /// Moving average of the latency of answers in seconds.
    expected_latency: f64,
    /// Seconds of endpoint work recently spent on the class, decaying over time.
    recent_work: f64,
    client_retries: ClientRetryDetector,
}

impl ClassStats {
    /// Creates a class without any answers so far.
    fn new(settings: WorkloadSettings) -> ClassStats {
        ClassStats {
            expected_latency: initial_latency(&settings),
            settings,
            recent_work: 0.0,
            client_retries: ClientRetryDetector::default(),
        }
    }

    pub(crate) fn settings(&self) -> &WorkloadSettings {
        &self.settings
    }

    /// The consistency that its requests need.
    pub(crate) fn consistency(&self) -> Consistency {
        self.settings.consistency
    }

    /// How often its requests may take effect.
    pub(crate) fn effect(&self) -> Effect {
        self.settings.effect
    }

    /// Whether its requests go to the primary because they may write.
    pub(crate) fn is_write(&self) -> bool {
        self.settings.consistency == Consistency::Primary
    }

    /// The detector of retries by the clients of the class.
    pub(crate) fn client_retries(&mut self) -> &mut ClientRetryDetector {
        &mut self.client_retries
    }

    /// The expected latency in seconds of a request that takes `extra_work` seconds more work than usual, or less work
    /// if `extra_work` is negative.
    pub(crate) fn estimate(&self, extra_work: f64) -> f64 {
        (self.expected_latency + extra_work).max(self.expected_latency / MIN_ESTIMATE_DIVISOR)
    }

    /// Records a completed attempt; `latency` in seconds excludes the extra work of the request.
    pub(crate) fn record_latency(&mut self, latency: f64) {
        self.expected_latency += LATENCY_LEARNING_RATE * (latency - self.expected_latency);
    }

    /// Records that an attempt occupied an endpoint, for `seconds` if that is known.
    pub(crate) fn record_work(&mut self, seconds: Option<f64>) {
        self.recent_work += seconds.unwrap_or(self.expected_latency);
    }

    /// Applies the decay of one tick.
    fn tick(&mut self) {
        self.client_retries.tick();
        self.recent_work = decayed(self.recent_work, WORK_DECAY_SECONDS);
    }
}

/// All classes: those of the settings, followed by a write class for each of them, which has the same settings but
/// those of a write.
#[derive(Clone, Debug)]
pub(crate) struct Classes {
    table: Table<ClassId, ClassStats>,
    /// The number of classes in the settings.
    configured: usize,
}

impl Classes {
    /// Creates the classes of these settings.
    pub(crate) fn new(config: &RoutingConfig) -> Classes {
        let configured = config.workloads.iter().cloned();
        // A statement that may write is handled by the strictest settings, whatever its workload specifies.
        let write_class = |workload: &WorkloadSettings| WorkloadSettings {
            consistency: Consistency::Primary,
            effect: Effect::NonIdempotent,
            ..workload.clone()
        };
        let write_classes = config.workloads.iter().map(write_class);
        let table = Table::from_entries(configured.chain(write_classes).map(ClassStats::new).collect());
        Classes { table, configured: config.workloads.len() }
    }

    pub(crate) fn get(&self, class: ClassId) -> &ClassStats {
        &self.table[class]
    }

    pub(crate) fn get_mut(&mut self, class: ClassId) -> &mut ClassStats {
        &mut self.table[class]
    }

    /// The class of a request: that of its workload, or its write class if the workload only reads and the statement
    /// may write.
    pub(crate) fn classify(&self, workload: usize, may_write: bool) -> ClassId {
        let class = ClassId::new(workload);
        if may_write { self.write_class(class) } else { class }
    }

    /// The write class of a class that only reads; a class that writes is its own write class.
    pub(crate) fn write_class(&self, class: ClassId) -> ClassId {
        let is_configured = class.index() < self.configured;
        if is_configured && !self.table[class].is_write() {
            ClassId::new(class.index() + self.configured)
        } else {
            class
        }
    }

    /// The fraction of all recent work that is due to the selected classes.
    pub(crate) fn work_share(&self, selected: impl Fn(&ClassStats) -> bool) -> f64 {
        let all: f64 = self.table.iter().map(|class| class.recent_work).sum();
        let selected = self.table.iter().filter(|class| selected(class));
        let selected_work: f64 = selected.map(|class| class.recent_work).sum();
        selected_work / all.max(MIN_WORK)
    }

    /// The fraction of all recent work that is due to long reads.
    pub(crate) fn long_read_share(&self) -> f64 {
        let threshold = self.long_read_threshold();
        self.work_share(|class| class.consistency() == Consistency::Any && class.expected_latency > threshold)
    }

    /// Whether an answer of this class that takes `seconds` is a long read: a read of data of any age that delays the
    /// replication of the endpoint on which it runs.
    pub(crate) fn is_long_read(&self, class: &ClassStats, seconds: f64) -> bool {
        class.consistency() == Consistency::Any && seconds > self.long_read_threshold()
    }

    /// The latency in seconds above which a read of data of any age is long.
    fn long_read_threshold(&self) -> f64 {
        let latencies = self.table.iter().map(|class| class.expected_latency);
        LONG_READ_FACTOR * latencies.fold(f64::INFINITY, f64::min)
    }

    /// Applies the decay of one tick.
    pub(crate) fn tick(&mut self) {
        self.table.iter_mut().for_each(ClassStats::tick);
    }
}
