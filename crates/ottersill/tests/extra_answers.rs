//! Answers that belong to no query: an endpoint sends more than one answer to a query, and the surplus arrives while the next
//! assignment of the connection is in flight.

mod support;

use std::time::Duration;

use ottersill_testkit::scripted_peer::{ExtraAnswer, ScriptedEndpoint};
use rstest::rstest;
use support::*;

/// Time in which a statement that must not be sent again would arrive at its endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Sends a statement to the endpoint and has its answer followed by an extra one, which crosses the next assignment.
fn answer_with_extra(fixture: &Fixture, statement: &str, endpoint: &ScriptedEndpoint, extra: ExtraAnswer) {
    let mut client = fixture.router.client();
    client.send(statement).expect("query could not be sent");
    endpoint.next_statement().answer_and_send_extra("first", extra);
    let answer = client.read_answer().expect("no answer");
    assert!(answer.starts_with("row:first "), "{answer}");
}

/// Guards against an extra answer of an endpoint being served as the answer to the next client's read.
#[rstest]
#[case::second_copy(ExtraAnswer::Row("first"))]
#[case::health_report(ExtraAnswer::HealthReport)]
#[case::answer_to_an_empty_query(ExtraAnswer::EmptyQuery)]
fn an_extra_answer_is_not_served_to_the_next_read(#[case] extra: ExtraAnswer) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    answer_with_extra(&fixture, &read(7, 8000), &fixture.replica, extra);
    let mut client = fixture.router.client();
    client.send(&read(8, 8000)).expect("query could not be sent");
    let crossed = fixture.replica.next_statement();
    assert!(crossed.text.contains("id=a8"), "{}", crossed.text);
    crossed.answer("second");
    // The answer on the connection with the extra answer is not trusted, so the read is repeated on another connection.
    let repeated = fixture.replica.next_within(SETTLE_TIME).or_else(|| fixture.primary.next_within(TIMEOUT));
    let repeated = repeated.expect("the read was not repeated");
    assert!(repeated.text.contains("id=a8"), "{}", repeated.text);
    repeated.answer("second");
    assert_eq!(client.read_answer().expect("no answer"), "row:second SELECT 1");
}

/// Guards against an extra answer being taken as the result of the next client's write: as its row before the write has run, or as
/// proof that it had no effect, after which it would run twice.
#[rstest]
#[case::second_copy(ExtraAnswer::Row("first"))]
#[case::refusal(ExtraAnswer::Error("53300"))]
#[case::read_only_error(ExtraAnswer::Error("25006"))]
fn an_extra_answer_is_not_the_result_of_the_next_write(#[case] extra: ExtraAnswer) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    answer_with_extra(&fixture, &write(7, 8000), &fixture.primary, extra);
    let mut client = fixture.router.client();
    client.send(&write(8, 8000)).expect("query could not be sent");
    let crossed = fixture.primary.next_statement();
    assert!(crossed.text.contains("id=b8"), "{}", crossed.text);
    crossed.answer("second");
    // It may have run, and nothing on this connection can prove the opposite.
    assert_eq!(client.read_answer().expect("no answer"), "C40003");
    let repeated =
        fixture.primary.next_within(SETTLE_TIME).or_else(|| fixture.replica.next_within(SETTLE_TIME));
    assert!(repeated.is_none(), "the write was sent twice");
}
