//! Classifies the statements under `corpus/`, each of which is listed with its expected kind: in full, and by the tokens alone.

use std::path::Path;

use ottersill_statement::classify::{StatementKind, classify, classify_by_prescan, prescan};
use ottersill_statement::fingerprint;
use rstest::rstest;

fn corpus(file: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(file);
    let text = std::fs::read_to_string(path).expect("corpus file is unreadable");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let parse_line = |line: &str| {
        let (kind, text) = line.split_once('|').expect("corpus line has no `|`");
        (kind.to_string(), text.replace('⏎', "\n"))
    };
    lines.map(parse_line).collect()
}

const CORPUS_FILES: [&str; 5] =
    ["plain-reads.txt", "look-like-writes.txt", "look-like-reads.txt", "writes.txt", "sessions.txt"];

#[rstest]
#[case::plain_reads(CORPUS_FILES[0])]
#[case::look_like_writes(CORPUS_FILES[1])]
#[case::look_like_reads(CORPUS_FILES[2])]
#[case::writes(CORPUS_FILES[3])]
#[case::sessions(CORPUS_FILES[4])]
fn classification_matches_the_corpus(#[case] file: &str) {
    let mut wrong = Vec::new();
    for (kind, text) in corpus(file) {
        let classification = classify(text.as_bytes());
        if classification.kind.name() != kind {
            wrong.push(format!(
                "{text:?}: {} for {kind}: {}",
                classification.kind.name(),
                classification.reason
            ));
        }
    }
    assert!(wrong.is_empty(), "{} statements are misclassified:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against the one dangerous error: neither the full classification nor the prescan may classify a write as a read. Also
/// checks that each statement has the fingerprint of its canonical text.
#[test]
fn no_write_is_classified_as_a_read() {
    let mut count = 0;
    for (kind, text) in CORPUS_FILES.iter().flat_map(|file| corpus(file)) {
        count += 1;
        let bytes = text.as_bytes();
        let (full, tokens) = (classify(bytes).kind, classify_by_prescan(bytes, &prescan(bytes)).kind);
        if kind != "read" {
            assert_ne!(full, StatementKind::Read, "{text}");
            assert_ne!(tokens, StatementKind::Read, "by its tokens alone: {text}");
        }
        // All texts of a fingerprint have one kind, as its canonical text is classified for all of them.
        let canonical = fingerprint::canonical_text(bytes);
        let key = fingerprint::Key::from_seed(1);
        assert_eq!(
            fingerprint::fingerprint_of(key, canonical.as_bytes()),
            fingerprint::fingerprint_of(key, bytes),
            "{text}\n{canonical}"
        );
    }
    assert!(count >= 400, "{count} statements");
}

/// The prescan alone recognizes most plain reads. A flood of new fingerprints, which exhausts the parse budget, depends on that.
#[test]
fn plain_reads_are_classified_as_reads() {
    let reads = corpus(CORPUS_FILES[0]);
    let by_tokens = reads.iter().filter(|(_, text)| {
        classify_by_prescan(text.as_bytes(), &prescan(text.as_bytes())).kind == StatementKind::Read
    });
    let by_parser = reads.iter().filter(|(_, text)| classify(text.as_bytes()).kind == StatementKind::Read);
    let (tokens, parser, total) = (by_tokens.count(), by_parser.count(), reads.len());
    println!(
        "of {total} plain reads {parser} are recognized by the full classification, {tokens} by the tokens alone"
    );
    assert!(parser * 100 >= total * 95, "{parser} of {total}");
    assert!(tokens * 100 >= total * 85, "{tokens} of {total} by their tokens");
}
