//! A flood of ever-new shapes among usual ones, with the memory that the book really takes.

use ottersill_statement::book::Book;
use ottersill_statement::shape::Key;
use peak_alloc::PeakAlloc;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

const BUDGET: usize = 1 << 20;
const USUAL: usize = 200;
/// Statements of a usual shape come among so many of new ones.
const NEW_A_USUAL: usize = 4;

fn read(book: &mut Book, now: f64, text: &str) {
    let shape = book.scan(text.as_bytes()).shape;
    book.read(now, 0, text.as_bytes(), shape);
}

/// As many new shapes as `OTTERSILL_CHURN` says, two million for the figures of the docs; CI does with fewer.
#[test]
fn a_flood_of_new_shapes_moves_no_usual_one() {
    let news = std::env::var("OTTERSILL_CHURN").ok().and_then(|n| n.parse().ok()).unwrap_or(60_000_usize);
    let usual: Vec<String> =
        (0..USUAL).map(|n| format!("SELECT a{n} FROM kv WHERE name = '7f' AND n > 3")).collect();
    let before = HEAP.current_usage();
    // Eight thousand statements a second: what two routers take on a busy day, four fifths of it the flood.
    let mut now = 0.0;
    let mut book = Book::new(now, Key::from_seed(7), BUDGET, vec![0.01]);
    for round in 0..3 {
        for text in &usual {
            (now, _) = (now + 0.001, round);
            read(&mut book, now, text);
        }
    }
    let (mut asked, mut found, mut most, mut next) = (0_u64, 0_u64, 0, news / 20);
    for n in 0..news {
        now += 1.0 / 8000.0;
        let text = format!("SELECT x{n}, y FROM new_{} WHERE z{n} = 1 OR length(w) > 5", n % 1000);
        read(&mut book, now, &text);
        if n % NEW_A_USUAL == 0 {
            // Skewed, as usual statements are: some come a hundred times as often as others.
            let at = (n / NEW_A_USUAL).wrapping_mul(2_654_435_761) % (USUAL * USUAL);
            let at = USUAL - 1 - at.isqrt();
            let known = book.found.known;
            read(&mut book, now, &usual[at]);
            asked += 1;
            found += book.found.known - known;
        }
        most = most.max(HEAP.current_usage() - before);
        if n + 1 >= next {
            next += news / 20;
            let heap = HEAP.current_usage() - before;
            println!(
                "{:>9} new  {:>5} pages  {:>8} bytes counted  {heap:>8} on the heap  {:.4} found",
                n + 1,
                book.pages(),
                book.bytes(),
                found as f64 / asked as f64
            );
        }
    }
    println!("{:?}", book.found);
    assert!(most <= BUDGET + BUDGET / 10, "{most} bytes on the heap");
    assert!(found * 100 >= asked * 99, "{found} of {asked} found");
    assert!(book.found.parsed > (USUAL as u64), "the flood was not parsed at all");
}
