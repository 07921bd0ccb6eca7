//! A flood of new fingerprints among typical ones, with the heap memory that the cache actually uses.

use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::FingerprintCache;
use peak_alloc::PeakAlloc;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

const BUDGET_BYTES: usize = 1 << 20;
const TYPICAL_FINGERPRINTS: usize = 200;
/// Number of statements with a new fingerprint for each one with a typical fingerprint.
const NEW_PER_TYPICAL: usize = 4;

fn look_up(cache: &mut FingerprintCache, now: f64, text: &str) {
    let fingerprint = cache.scan(text.as_bytes()).fingerprint;
    cache.lookup(now, 0, text.as_bytes(), fingerprint);
}

/// Guards against a flood of new fingerprints that evicts typical ones from the cache, or that grows the cache beyond its budget.
/// `OTTERSILL_CHURN` sets the number of new fingerprints: two million for the figures in the docs, and fewer by default for CI.
#[test]
fn a_flood_of_new_fingerprints_evicts_no_typical_one() {
    let new_statements =
        std::env::var("OTTERSILL_CHURN").ok().and_then(|n| n.parse().ok()).unwrap_or(60_000_usize);
    let typical: Vec<String> = (0..TYPICAL_FINGERPRINTS)
        .map(|n| format!("SELECT a{n} FROM kv WHERE name = '7f' AND n > 3"))
        .collect();
    let heap_before = HEAP.current_usage();
    // Eight thousand statements per second, the load of two routers on a busy day; four fifths of them are the flood.
    let mut now = 0.0;
    let mut cache = FingerprintCache::new(now, Key::from_seed(7), BUDGET_BYTES, vec![0.01]);
    for round in 0..3 {
        for text in &typical {
            (now, _) = (now + 0.001, round);
            look_up(&mut cache, now, text);
        }
    }
    let (mut lookups, mut hits, mut peak_bytes, mut next_report) = (0_u64, 0_u64, 0, new_statements / 20);
    for n in 0..new_statements {
        now += 1.0 / 8000.0;
        let text = format!("SELECT x{n}, y FROM new_{} WHERE z{n} = 1 OR length(w) > 5", n % 1000);
        look_up(&mut cache, now, &text);
        if n % NEW_PER_TYPICAL == 0 {
            // A skewed choice, as of typical statements: some are sent a hundred times as often as others.
            let index = (n / NEW_PER_TYPICAL).wrapping_mul(2_654_435_761)
                % (TYPICAL_FINGERPRINTS * TYPICAL_FINGERPRINTS);
            let index = TYPICAL_FINGERPRINTS - 1 - index.isqrt();
            let hits_before = cache.counts.hits;
            look_up(&mut cache, now, &typical[index]);
            lookups += 1;
            hits += cache.counts.hits - hits_before;
        }
        peak_bytes = peak_bytes.max(HEAP.current_usage() - heap_before);
        if n + 1 >= next_report {
            next_report += new_statements / 20;
            let heap_bytes = HEAP.current_usage() - heap_before;
            println!(
                "{:>9} new  {:>5} entries  {:>8} bytes counted  {heap_bytes:>8} on the heap  {:.4} hit rate",
                n + 1,
                cache.entries(),
                cache.bytes(),
                hits as f64 / lookups as f64
            );
        }
    }
    println!("{:?}", cache.counts);
    assert!(peak_bytes <= BUDGET_BYTES + BUDGET_BYTES / 10, "{peak_bytes} bytes on the heap");
    assert!(hits * 100 >= lookups * 99, "{hits} cache hits in {lookups} lookups of typical statements");
    assert!(cache.counts.parsed > (TYPICAL_FINGERPRINTS as u64), "no statement of the flood was parsed");
}
