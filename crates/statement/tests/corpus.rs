//! The corpus under `corpus/`: what each statement is, by the full reading and by the tokens alone.

use std::path::Path;

use ottersill_statement::classify::{StatementKind, classify, classify_by_prescan, prescan};
use ottersill_statement::fingerprint;
use rstest::rstest;

fn corpus(file: &str) -> Vec<(String, String)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(file);
    let text = std::fs::read_to_string(path).expect("a file of the corpus");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pair = |line: &str| {
        let (kind, text) = line.split_once('|').expect("a bar");
        (kind.to_string(), text.replace('⏎', "\n"))
    };
    lines.map(pair).collect()
}

const FILES: [&str; 5] =
    ["plain-reads.txt", "look-like-writes.txt", "look-like-reads.txt", "writes.txt", "sessions.txt"];

#[rstest]
#[case::plain_reads(FILES[0])]
#[case::look_like_writes(FILES[1])]
#[case::look_like_reads(FILES[2])]
#[case::writes(FILES[3])]
#[case::sessions(FILES[4])]
fn each_is_what_it_says(#[case] file: &str) {
    let mut wrong = Vec::new();
    for (kind, text) in corpus(file) {
        let reading = classify(text.as_bytes());
        if reading.kind.name() != kind {
            wrong.push(format!("{text:?}: {} for {kind}: {}", reading.kind.name(), reading.why));
        }
    }
    assert!(wrong.is_empty(), "{} of them:\n{}", wrong.len(), wrong.join("\n"));
}

/// Whatever else is asked of them: neither way calls one that writes a read.
#[test]
fn none_that_writes_is_called_a_read() {
    let mut count = 0;
    for (kind, text) in FILES.iter().flat_map(|file| corpus(file)) {
        count += 1;
        let bytes = text.as_bytes();
        let (full, tokens) = (classify(bytes).kind, classify_by_prescan(bytes, &prescan(bytes)).kind);
        if kind != "read" {
            assert_ne!(full, StatementKind::Read, "{text}");
            assert_ne!(tokens, StatementKind::Read, "by its tokens alone: {text}");
        }
        // Of one fingerprint, of one kind: the shortest text of the fingerprint stands for all.
        let plain = fingerprint::plain(bytes);
        let key = fingerprint::Key::from_seed(1);
        assert_eq!(
            fingerprint::fingerprint_of(key, plain.as_bytes()),
            fingerprint::fingerprint_of(key, bytes),
            "{text}\n{plain}"
        );
    }
    assert!(count >= 400, "{count} statements");
}

/// The tokens alone tell most plain reads, as they have to in a flood.
#[test]
fn plain_reads_are_told_as_such() {
    let reads = corpus(FILES[0]);
    let by_tokens = reads.iter().filter(|(_, text)| {
        classify_by_prescan(text.as_bytes(), &prescan(text.as_bytes())).kind == StatementKind::Read
    });
    let by_parser = reads.iter().filter(|(_, text)| classify(text.as_bytes()).kind == StatementKind::Read);
    let (tokens, parser, all) = (by_tokens.count(), by_parser.count(), reads.len());
    println!("of {all} plain reads {parser} are told by the full reading, {tokens} by the tokens alone");
    assert!(parser * 100 >= all * 95, "{parser} of {all}");
    assert!(tokens * 100 >= all * 85, "{tokens} of {all} by their tokens");
}
