//! Stores the classification and the cost model of each fingerprint, within a budget of bytes.
//!
//! `quick_cache` admits an entry to its hot part only if it is looked up again, so a flood of new fingerprints doesn't evict
//! those in use. An evicted statement is classified again.

use std::hash::{BuildHasherDefault, Hasher};

use quick_cache::unsync::Cache;
use quick_cache::{OptionsBuilder, Weighter};

use crate::classify::{self, Classification, StatementKind};
use crate::convert::split_u128;
use crate::cost_model::{CostModel, Estimate, QueueingDelay};
use crate::fingerprint::{self, Fingerprint, Key, Scan};
use crate::lexer::Lexer;
use crate::parse_budget::ParseBudget;
use crate::prescan::Prescan;

/// Identifies an entry. The workload is part of the key, as workloads use different values, so that the same fingerprint may cost
/// more in one than in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CacheKey {
    /// The statement's fingerprint.
    pub fingerprint: Fingerprint,
    /// The index of the workload.
    pub workload: u32,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    classification: Classification,
    cost: CostModel,
    /// Rejections as a write by replicas since a replica last completed the statement.
    read_only_rejections: u8,
}

/// Number of rejections by replicas after which a statement is treated as one that may write. A single one may be a corrupted
/// answer.
const READ_ONLY_REJECTIONS_UNTIL_UNKNOWN: u8 = 3;

impl CacheEntry {
    fn kind(&self) -> StatementKind {
        match self.classification.kind {
            // The text shows no write, but a view or a policy that it uses may write.
            StatementKind::Read if self.read_only_rejections >= READ_ONLY_REJECTIONS_UNTIL_UNKNOWN => {
                StatementKind::Unknown
            }
            kind => kind,
        }
    }
}

/// Bytes of an entry without its classification's heap memory: the slot with key and entry, its share of the index and of the
/// record of evicted keys, and the allocator's overhead. Checked by tests/churn.rs.
const ENTRY_OVERHEAD_BYTES: usize = 400;
/// Allocator overhead of each name, in bytes.
const NAME_OVERHEAD_BYTES: usize = 24;

#[derive(Clone, Copy)]
struct ByteWeighter;

impl Weighter<CacheKey, CacheEntry> for ByteWeighter {
    fn weight(&self, _key: &CacheKey, entry: &CacheEntry) -> u64 {
        let classification = &entry.classification;
        let names = classification.tables.len() + classification.functions.len();
        (ENTRY_OVERHEAD_BYTES + classification.bytes() + NAME_OVERHEAD_BYTES * names) as u64
    }
}

/// Folds a key into 64 bits. A stronger hash is not needed, as a fingerprint already is a keyed hash.
#[derive(Clone, Copy, Default)]
struct FoldingHasher(u64);

impl Hasher for FoldingHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u128(&mut self, fingerprint: u128) {
        let [upper, lower] = split_u128(fingerprint);
        self.write_u64(upper ^ lower);
    }

    fn write_u32(&mut self, number: u32) {
        self.write_u64(u64::from(number));
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = (self.0.rotate_left(5) ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// The result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementInfo {
    /// The key of the statement's cache entry, if it has one.
    pub key: Option<CacheKey>,
    /// The kind of statement.
    pub kind: StatementKind,
    /// Why the statement is not supported, if so.
    pub refusal: Option<&'static str>,
    /// Its expected work, if the statement was in the cache.
    pub estimate: Option<Estimate>,
}

/// Counts of how statements were classified, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LookupCounts {
    /// Statements found in the cache.
    pub hits: u64,
    /// Statements that were parsed, as they were not in the cache.
    pub parsed: u64,
    /// Statements classified by their tokens alone, as a parse could not change the result or the parse budget was exhausted.
    pub prescanned: u64,
    /// Statements rejected by a replica as a write although the text shows none.
    pub read_only_rejections: u64,
}

/// A cache of the classification and the cost of each fingerprint, limited to a budget of bytes.
pub struct FingerprintCache {
    key: Key,
    entries: Cache<CacheKey, CacheEntry, ByteWeighter, BuildHasherDefault<FoldingHasher>>,
    parse_budget: ParseBudget,
    /// The typical work of each workload.
    typical: Vec<TypicalWork>,
    /// The queueing delay of each endpoint, up to the highest index that completed an attempt.
    delays: Vec<QueueingDelay>,
    /// Counts of all lookups, and of rejections by replicas, so far.
    pub counts: LookupCounts,
}

/// The mean estimated work of the statements that clients send in a workload, in seconds, and the number of statements averaged.
#[derive(Clone, Copy, Debug)]
struct TypicalWork {
    mean_seconds: f64,
    statements: f64,
}

/// Number of statements over which the typical work of a workload is averaged.
const TYPICAL_WORK_STATEMENTS: f64 = 100.0;

impl TypicalWork {
    /// Adds a statement with an estimate of `work` seconds.
    fn record(&mut self, work: f64) {
        self.statements = (self.statements + 1.0).min(TYPICAL_WORK_STATEMENTS);
        self.mean_seconds += (work - self.mean_seconds) / self.statements;
    }
}

impl FingerprintCache {
    /// Creates an empty cache with a budget of `bytes`. `typical` holds the initial typical work of each workload, and `now` is
    /// the time; both in seconds.
    pub fn new(now: f64, key: Key, bytes: usize, typical: Vec<f64>) -> FingerprintCache {
        let (items, weight) = ((bytes / ENTRY_OVERHEAD_BYTES).max(1), bytes as u64);
        let mut options = OptionsBuilder::new();
        let options = options.estimated_items_capacity(items).weight_capacity(weight).shards(1).build();
        let entries = match options {
            Ok(options) => Cache::with_options(options, ByteWeighter, Default::default(), Default::default()),
            // Does not happen, as all options that the builder requires are set. The fallback differs only in its initial
            // capacity.
            Err(_) => Cache::with(items, weight, ByteWeighter, Default::default(), Default::default()),
        };
        let typical =
            typical.into_iter().map(|mean_seconds| TypicalWork { mean_seconds, statements: 0.0 }).collect();
        FingerprintCache {
            key,
            entries,
            parse_budget: ParseBudget::new(now),
            typical,
            delays: Vec::new(),
            counts: LookupCounts::default(),
        }
    }

    /// Returns the bytes that the cache holds by its own accounting.
    pub fn bytes(&self) -> u64 {
        self.entries.weight()
    }

    /// Returns the number of entries in the cache.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Scans a text once for its fingerprint, its comment and its first literal.
    pub fn scan(&self, text: &[u8]) -> Scan {
        fingerprint::scan(self.key, text)
    }

    /// Looks up a statement of a workload, and classifies it if it is not in the cache. `now` is in seconds, and `workload` an
    /// index into the `typical` that was passed to [`FingerprintCache::new`].
    pub fn lookup(
        &mut self,
        now: f64,
        workload: usize,
        text: &[u8],
        fingerprint: Fingerprint,
    ) -> StatementInfo {
        let key = CacheKey { fingerprint, workload: u32::try_from(workload).unwrap_or(u32::MAX) };
        let typical = &mut self.typical[workload];
        if let Some(entry) = self.entries.get(&key) {
            self.counts.hits += 1;
            let estimate = entry.cost.estimate(now, typical.mean_seconds);
            typical.record(estimate.work_seconds);
            return StatementInfo {
                key: Some(key),
                kind: entry.kind(),
                refusal: entry.classification.refusal(),
                estimate: Some(estimate),
            };
        }
        let typical = typical.mean_seconds;
        let mut prescan = Prescan::default();
        Lexer::new(text).for_each(|token| prescan.push(&token, text));
        if classify::is_conclusive(&prescan) || !self.parse_budget.allows(now, key.fingerprint.0, text.len())
        {
            self.counts.prescanned += 1;
            let classification = classify::classify_by_prescan(text, &prescan);
            let (kind, refusal) = (classification.kind, classification.refusal());
            return StatementInfo { key: None, kind, refusal, estimate: None };
        }
        self.counts.parsed += 1;
        let classification = classify::classify(text);
        let (kind, refusal) = (classification.kind, classification.refusal());
        self.entries.insert(
            key,
            CacheEntry { classification, cost: CostModel::new(typical), read_only_rejections: 0 },
        );
        StatementInfo { key: Some(key), kind, refusal, estimate: None }
    }

    /// Returns the classification of an entry, if it is still in the cache.
    pub fn classification(&self, key: &CacheKey) -> Option<&Classification> {
        self.entries.peek(key).map(|entry| &entry.classification)
    }

    /// Records an attempt that was completed at the time `now` after `elapsed` seconds. `served_by_replica` is set if the
    /// endpoint is a replica.
    pub fn record_completion(
        &mut self,
        now: f64,
        key: CacheKey,
        endpoint: usize,
        elapsed: f64,
        served_by_replica: bool,
    ) {
        if self.delays.len() <= endpoint {
            self.delays.resize(endpoint + 1, QueueingDelay::default());
        }
        // `peek_mut` doesn't count as a use: only lookups for clients may keep an entry from being evicted.
        let Some(mut entry) = self.entries.peek_mut(&key) else { return };
        entry.read_only_rejections = if served_by_replica { 0 } else { entry.read_only_rejections };
        entry.cost.record(now, elapsed, &mut self.delays[endpoint]);
    }

    /// Forgets the delay of an endpoint, as its index is reused for another one.
    pub fn forget_endpoint(&mut self, endpoint: usize) {
        if let Some(delay) = self.delays.get_mut(endpoint) {
            *delay = QueueingDelay::default();
        }
    }

    /// Records that a replica rejected the statement as a write.
    pub fn record_read_only_rejection(&mut self, key: CacheKey) {
        if let Some(mut entry) = self.entries.peek_mut(&key) {
            self.counts.read_only_rejections += 1;
            entry.read_only_rejections = entry.read_only_rejections.saturating_add(1);
        }
    }
}
