//! Keeps the classification and the cost model of each fingerprint, within a budget of bytes.
//!
//! `quick_cache` admits to its hot part only what is looked up again, so a flood of ever-new fingerprints does not evict those
//! that are in use. An evicted statement is classified anew.

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

/// Identifies an entry. The workload is a part of it, as the same text may cost more under one workload than under another,
/// whose values differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CacheKey {
    /// The statement's fingerprint.
    pub fingerprint: Fingerprint,
    /// The workload's index.
    pub workload: u32,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    classification: Classification,
    cost: CostModel,
    /// Replicas that rejected it as a write since a replica last answered it.
    read_only_rejections: u8,
}

/// Rejections by replicas after which a statement counts as one that may write; a single one may be a corrupted answer.
const READ_ONLY_REJECTIONS_UNTIL_UNKNOWN: u8 = 3;

impl CacheEntry {
    fn kind(&self) -> StatementKind {
        match self.classification.kind {
            // Nothing in the text says so, but a view or a policy may.
            StatementKind::Read if self.read_only_rejections >= READ_ONLY_REJECTIONS_UNTIL_UNKNOWN => {
                StatementKind::Unknown
            }
            kind => kind,
        }
    }
}

/// Bytes of an entry beside the names of its classification: the slot with key and entry, its part of the index, the record of
/// evicted keys, and what the allocator adds; measured by tests/churn.rs.
const ENTRY_OVERHEAD_BYTES: usize = 400;
/// Bytes that the allocator adds to each name.
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

/// Folds a key into 64 bits; a fingerprint is a keyed hash already.
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

/// What is known of one statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementInfo {
    /// The entry, if the statement has one.
    pub key: Option<CacheKey>,
    /// What it is.
    pub kind: StatementKind,
    /// Why it can't be accepted at all.
    pub refusal: Option<&'static str>,
    /// Its expected work, once enough is known.
    pub estimate: Option<Estimate>,
}

/// How statements were classified, for the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LookupCounts {
    /// Found in the cache.
    pub known: u64,
    /// Parsed, as they were not in the cache.
    pub parsed: u64,
    /// Classified by their tokens alone: a parse could tell no more, or the parse budget was used up.
    pub prescanned: u64,
    /// Rejected by a replica as a write though nothing in the text says so.
    pub denied: u64,
}

/// Classification and cost of each fingerprint, within a budget of bytes.
pub struct FingerprintCache {
    key: Key,
    entries: Cache<CacheKey, CacheEntry, ByteWeighter, BuildHasherDefault<FoldingHasher>>,
    parse_budget: ParseBudget,
    /// One for each workload.
    typical: Vec<TypicalWork>,
    /// One for each endpoint that ever completed an attempt.
    delays: Vec<QueueingDelay>,
    /// What lookups have found so far.
    pub counts: LookupCounts,
}

/// Mean estimated work of a workload's statements, over those that clients sent.
#[derive(Clone, Copy, Debug)]
struct TypicalWork {
    work: f64,
    statements: f64,
}

/// Statements of a workload over which its typical work is averaged.
const TYPICAL_WORK_STATEMENTS: f64 = 100.0;

impl TypicalWork {
    /// Adds a statement that was estimated at that many seconds.
    fn record(&mut self, work: f64) {
        self.statements = (self.statements + 1.0).min(TYPICAL_WORK_STATEMENTS);
        self.work += (work - self.work) / self.statements;
    }
}

impl FingerprintCache {
    /// `bytes` is the budget; `typical` has the seconds of work that each workload begins with.
    pub fn new(now: f64, key: Key, bytes: usize, typical: Vec<f64>) -> FingerprintCache {
        let (items, weight) = ((bytes / ENTRY_OVERHEAD_BYTES).max(1), bytes as u64);
        let mut options = OptionsBuilder::new();
        let options = options.estimated_items_capacity(items).weight_capacity(weight).shards(1).build();
        let entries = match options {
            Ok(options) => Cache::with_options(options, ByteWeighter, Default::default(), Default::default()),
            // All that the builder requires is given; the fallback differs in the initial capacity alone.
            Err(_) => Cache::with(items, weight, ByteWeighter, Default::default(), Default::default()),
        };
        let typical = typical.into_iter().map(|work| TypicalWork { work, statements: 0.0 }).collect();
        FingerprintCache {
            key,
            entries,
            parse_budget: ParseBudget::new(now),
            typical,
            delays: Vec::new(),
            counts: LookupCounts::default(),
        }
    }

    /// Bytes that the cache holds, as it counts them.
    pub fn bytes(&self) -> u64 {
        self.entries.weight()
    }

    /// Entries in the cache.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Scans a text once; everything else goes by what this finds.
    pub fn scan(&self, text: &[u8]) -> Scan {
        fingerprint::scan(self.key, text)
    }

    /// What is known of a statement under that workload, an index below the length of `typical`. Classifies it first where it is
    /// not in the cache.
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
            self.counts.known += 1;
            let estimate = entry.cost.estimate(now, typical.work);
            typical.record(estimate.work);
            return StatementInfo {
                key: Some(key),
                kind: entry.kind(),
                refusal: entry.classification.refusal(),
                estimate: Some(estimate),
            };
        }
        let typical = typical.work;
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

    /// The classification of an entry, if it is still in the cache.
    pub fn classification(&self, key: &CacheKey) -> Option<&Classification> {
        self.entries.peek(key).map(|entry| &entry.classification)
    }

    /// Records an attempt that was completed after `took` seconds; `only_reads` if a replica served it.
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
        // No client asked for it, so this must not keep the entry from being evicted.
        let Some(mut entry) = self.entries.peek_mut(&key) else { return };
        entry.read_only_rejections = if served_by_replica { 0 } else { entry.read_only_rejections };
        entry.cost.record(now, elapsed, &mut self.delays[endpoint]);
    }

    /// From now on another endpoint has that index.
    pub fn forget_endpoint(&mut self, endpoint: usize) {
        if let Some(delay) = self.delays.get_mut(endpoint) {
            *delay = QueueingDelay::default();
        }
    }

    /// Records that a replica rejected the statement as a write.
    pub fn record_read_only_rejection(&mut self, key: CacheKey) {
        if let Some(mut entry) = self.entries.peek_mut(&key) {
            self.counts.denied += 1;
            entry.read_only_rejections = entry.read_only_rejections.saturating_add(1);
        }
    }
}
