//! A flood of ever-new fingerprints among typical ones, with the memory that the cache really takes.

use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::FingerprintCache;
use peak_alloc::PeakAlloc;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

const BUDGET: usize = 1 << 20;
const KNOWN_FINGERPRINTS: usize = 200;
/// Statements of a typical fingerprint come among so many of new ones.
const NEW_PER_KNOWN: usize = 4;

fn read(cache: &mut FingerprintCache, now: f64, text: &str) {
    let fingerprint = cache.scan(text.as_bytes()).fingerprint;
    cache.lookup(now, 0, text.as_bytes(), fingerprint);
}

/// As many new fingerprints as `OTTERSILL_CHURN` says, two million for the figures of the docs; CI does with fewer.
#[test]
fn a_flood_of_new_shapes_moves_no_usual_one() {
    let news = std::env::var("OTTERSILL_CHURN").ok().and_then(|n| n.parse().ok()).unwrap_or(60_000_usize);
    let typical: Vec<String> =
        (0..KNOWN_FINGERPRINTS).map(|n| format!("SELECT a{n} FROM kv WHERE name = '7f' AND n > 3")).collect();
    let before = HEAP.current_usage();
    // Eight thousand statements a second: what two routers take on a busy day, four fifths of it the flood.
    let mut now = 0.0;
    let mut cache = FingerprintCache::new(now, Key::from_seed(7), BUDGET, vec![0.01]);
    for round in 0..3 {
        for text in &typical {
            (now, _) = (now + 0.001, round);
            read(&mut cache, now, text);
        }
    }
    let (mut asked, mut hits, mut most, mut next) = (0_u64, 0_u64, 0, news / 20);
    for n in 0..news {
        now += 1.0 / 8000.0;
        let text = format!("SELECT x{n}, y FROM new_{} WHERE z{n} = 1 OR length(w) > 5", n % 1000);
        read(&mut cache, now, &text);
        if n % NEW_PER_KNOWN == 0 {
            // Skewed, as typical statements are: some come a hundred times as often as others.
            let at =
                (n / NEW_PER_KNOWN).wrapping_mul(2_654_435_761) % (KNOWN_FINGERPRINTS * KNOWN_FINGERPRINTS);
            let at = KNOWN_FINGERPRINTS - 1 - at.isqrt();
            let known = cache.counts.known;
            read(&mut cache, now, &typical[at]);
            asked += 1;
            hits += cache.counts.known - known;
        }
        most = most.max(HEAP.current_usage() - before);
        if n + 1 >= next {
            next += news / 20;
            let heap = HEAP.current_usage() - before;
            println!(
                "{:>9} new  {:>5} entries  {:>8} bytes counted  {heap:>8} on the heap  {:.4} found",
                n + 1,
                cache.entries(),
                cache.bytes(),
                hits as f64 / asked as f64
            );
        }
    }
    println!("{:?}", cache.counts);
    assert!(most <= BUDGET + BUDGET / 10, "{most} bytes on the heap");
    assert!(hits * 100 >= asked * 99, "{hits} of {asked} found");
    assert!(cache.counts.parsed > (KNOWN_FINGERPRINTS as u64), "the flood was not parsed at all");
}
