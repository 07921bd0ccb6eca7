//! The record of the complete statements in a client's inbox: which ids it holds, how it reads them, and what it costs.

use std::time::Instant;

use bytes::Bytes;
use ottersill::client::arrivals::Arrivals;
use ottersill::client::pipelining::Pipeline;
use ottersill::protocol::statement_text::{StatementText, preview_comment};
use ottersill_routing::statement_ids::{IdConflict, StatementIds};
use ottersill_statement::fingerprint::{Key, scan};
use ottersill_testkit::stand_in::message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn query(id: &str) -> Vec<u8> {
    message(b'Q', format!("SELECT 1 /* id={id},c=get,d=500,cluster=1 */\0").as_bytes())
}

/// An inbox with the record of its statements.
#[derive(Default)]
struct Inbox {
    bytes: Vec<u8>,
    arrivals: Arrivals,
    pipeline: Pipeline,
    ids: StatementIds,
}

impl Inbox {
    fn receive(&mut self, bytes: &[u8], now: f64) {
        self.bytes.extend_from_slice(bytes);
        self.arrivals.sync(self.bytes.len(), now);
        self.pipeline.scan(&self.bytes, &self.arrivals, &self.ids, now);
    }

    /// Takes out the first message, and returns its id and whether that was held for it.
    fn take(&mut self) -> Option<(u64, Result<(), IdConflict>)> {
        let length = 1 + u32::from_be_bytes(self.bytes[1..5].try_into().expect("no header")) as usize;
        self.bytes.drain(..length);
        let read_ahead = self.pipeline.take(length)?;
        Some((read_ahead.id, read_ahead.held.map(drop)))
    }
}

/// Guards against an id that is read in another way ahead of the statement's turn than at its turn, so that the statement is not
/// protected while it waits.
#[rstest]
#[case::usual("SELECT 1 /* id=9b1f03aa5c7e2d41,c=get,d=500,cluster=1 */")]
#[case::capitals("SELECT 1 /* id=9B1F03AA5C7E2D41,c=get,d=500,cluster=1 */")]
#[case::no_number("SELECT 1 /* id=order-17,c=get,d=500,cluster=1 */")]
#[case::longer_than_64_bits("SELECT 1 /* id=9b1f03aa5c7e2d419b1f03aa5c7e2d41,c=get,d=500,cluster=1 */")]
#[case::id_last_and_spaces("SELECT 1 /*  c=get , d=500, cluster=1 , id=7f  */")]
#[case::no_spaces("SELECT 1/*id=7f,c=get,d=500,cluster=1*/")]
#[case::semicolon_behind("SELECT 1 /* id=7f,c=get,d=500,cluster=1 */ ;\n ")]
#[case::two_comments("SELECT /* id=1 */ 1 /* id=7f,c=get,d=500,cluster=1 */")]
#[case::nested_comment("SELECT 1 /* /* id=1 */ ,id=7f,c=get,d=500,cluster=1 */")]
#[case::comment_signs_in_a_literal("SELECT '*/ /* id=1' /* id=7f,c=get,d=500,cluster=1 */")]
#[case::other_characters("SELECT 'ü' /* ü=ü,id=7f,c=get,d=500,cluster=1 */")]
fn an_id_is_the_same_ahead_of_its_turn_and_at_its_turn(#[case] text: &str) {
    let long =
        format!("{},comment={} */", text.trim_end_matches(['*', '/', ' ', ';', '\n']), "x".repeat(5000));
    for text in [text, &long] {
        let bytes = Bytes::copy_from_slice(text.as_bytes());
        let (_, comment) = StatementText::parse(&bytes, &scan(Key::from_seed(1), &bytes)).expect("refused");
        let preview = preview_comment(&bytes).expect("no preview");
        assert_eq!((preview.id, preview.time_left), (comment.id, Some(comment.time_left)), "{text}");
    }
}

/// Guards against a preview of what is no comment of this service, and against a panic on broken input.
#[rstest]
#[case("")]
#[case("SELECT 1")]
#[case("*/")]
#[case("/*/")]
#[case("/**/")]
#[case("SELECT 1 /* id=,c=get */")]
#[case("SELECT 1 /* id=1,id=2 */")]
#[case("SELECT 1 /* id=1 */ /* c=get */")]
#[case("SELECT 1 /* id=1 */ x")]
#[case("id=1 */")]
fn a_text_without_an_id_has_no_preview(#[case] text: &str) {
    assert_eq!(preview_comment(text.as_bytes()), None);
}

/// Guards against ids that are held too early, twice or never, in whatever parts the input arrives: random pipelines in random
/// parts hold the ids that are complete, the first of each, until their statements are taken out.
#[test]
fn ids_are_held_from_the_last_byte_of_their_statements_until_these_are_taken_out() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let numbers: Vec<u64> = (0..random.random_range(1..40)).map(|_| random.random_range(0..30)).collect();
        let messages: Vec<Vec<u8>> = numbers.iter().map(|number| query(&format!("{number:x}"))).collect();
        let input = messages.concat();
        let mut inbox = Inbox::default();
        let (mut sent, mut taken) = (0, 0);
        // For each complete statement, whether it was the first with its id when it became complete.
        let mut is_first: Vec<bool> = Vec::new();
        while taken < numbers.len() {
            let part = random.random_range(0..200).min(input.len() - sent);
            inbox.receive(&input[sent..sent + part], 0.0);
            sent += part;
            while messages.iter().take(is_first.len() + 1).map(Vec::len).sum::<usize>() <= sent {
                let Some(number) = numbers.get(is_first.len()) else { break };
                let holds = |other: usize| is_first[other] && numbers[other] == *number;
                is_first.push(!(taken..is_first.len()).any(holds));
            }
            let held = is_first.iter().skip(taken).filter(|is_first| **is_first).count();
            assert_eq!(inbox.ids.held(), held, "seed {seed}");
            if taken < is_first.len() && random.random_bool(0.5) {
                let (id, held) = inbox.take().expect("no id");
                assert_eq!((id, held.is_ok()), (numbers[taken], is_first[taken]), "seed {seed}");
                taken += 1;
            }
        }
        assert_eq!(inbox.ids.held(), 0, "seed {seed}");
    }
}

/// Guards against a second statement that is served once the first one with its id has ended: what was read as a copy stays one.
#[test]
fn a_copy_stays_a_copy_after_the_first_has_ended() {
    let mut inbox = Inbox::default();
    inbox.receive(&[query("7"), query("7"), query("8"), query("7")].concat(), 0.0);
    assert_eq!(inbox.take(), Some((7, Ok(()))));
    assert_eq!(inbox.take(), Some((7, Err(IdConflict::Held))));
    assert_eq!(inbox.take(), Some((8, Ok(()))));
    assert_eq!(inbox.take(), Some((7, Err(IdConflict::Held))));
    inbox.receive(&query("7"), 0.0);
    assert_eq!(inbox.take(), Some((7, Ok(()))));
}

/// Guards against ids of another statement where messages without an id lie between: they are no statements.
#[test]
fn messages_without_an_id_are_passed_over() {
    let mut inbox = Inbox::default();
    let bytes = [message(b'Q', b"\0"), query("7"), message(b'S', b""), message(b'Q', b"x"), query("8")];
    inbox.receive(&bytes.concat(), 0.0);
    assert_eq!(inbox.ids.held(), 2);
    let taken: Vec<_> = (0..bytes.len()).map(|_| inbox.take().map(|(id, _)| id)).collect();
    assert_eq!(taken, [None, Some(7), None, None, Some(8)]);
}

/// Guards against ids that stay held although their statements never run.
#[test]
fn abandoned_statements_release_their_ids() {
    let mut inbox = Inbox::default();
    inbox.receive(&[query("7"), query("8")].concat(), 0.0);
    inbox.pipeline.abandon();
    assert_eq!((inbox.ids.held(), inbox.pipeline.allocated_bytes()), (0, 0));
}

/// Guards against the deadline of a pipelined statement that is counted from when it was looked at.
#[test]
fn the_deadline_counts_from_the_arrival_of_the_statement() {
    let mut inbox = Inbox::default();
    let (first, second) = (query("7"), query("8"));
    inbox.receive(&[&first[..], &second[..10]].concat(), 100.0);
    inbox.receive(&second[10..], 101.0);
    inbox.take();
    assert!((inbox.pipeline.earliest_deadline() - 100.5).abs() < 1e-9);
}

/// Guards against work that grows with the square of the pipeline's length: sixteen times as many statements, in parts of a few
/// statements, take less than a hundred times as long.
#[test]
fn the_work_of_a_pipeline_grows_with_its_length() {
    let seconds = |count: u64| {
        let started = Instant::now();
        let mut inbox = Inbox::default();
        for number in 0..count {
            inbox.receive(&query(&format!("{number:x}")), 0.0);
        }
        let seconds = started.elapsed().as_secs_f64();
        assert_eq!(inbox.ids.held() as u64, count);
        seconds
    };
    let short = seconds(1_000).max(seconds(1_000));
    let long = seconds(16_000).min(seconds(16_000));
    assert!(long < 100.0 * short, "{long} s for sixteen times the work of {short} s");
}

/// Guards against memory that is not counted: what is recorded of a statement is as much as `allocated_bytes` tells.
#[test]
fn the_memory_of_the_record_is_counted_and_released() {
    let mut inbox = Inbox::default();
    let texts: Vec<Vec<u8>> = (0..1_000).map(|number| query(&format!("{number:x}"))).collect();
    inbox.receive(&texts.concat(), 0.0);
    let counted = inbox.pipeline.allocated_bytes();
    assert!((1_000 * 48..1_000 * 160).contains(&counted), "{counted}");
    for _ in 0..1_000 {
        inbox.take();
    }
    assert_eq!(inbox.pipeline.allocated_bytes(), 0);
}
