//! Decoding of messages, HTTP responses, statement comments, replies and endpoint lists.

use bytes::{Bytes, BytesMut};
use ottersill::backend::connection::ConnectionState;
use ottersill::backend::reply::Reply;
use ottersill::client::connection::ConnectionPhase;
use ottersill::discovery::endpoint_list::EndpointList;
use ottersill::discovery::http;
use ottersill::discovery::registry::{EndpointRegistry, RegistryChange};
use ottersill::in_flight::RequestPhase;
use ottersill::protocol::frame::{self, Encryption, Message, ProtocolError, Startup};
use ottersill::protocol::socket::Outbox;
use ottersill::protocol::statement_text::StatementText;
use ottersill_routing::interface::{AttemptOutcome, EndpointState, Role};
use ottersill_statement::fingerprint::{Key, scan};
use ottersill_testkit::stand_in::message;
use rstest::rstest;

const READ: &str =
    "SELECT content FROM kv WHERE name = '1f' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

/// Feeds the bytes to the decoder `next` in two parts, split at every position, and asserts that it decodes the same each time.
/// Returns what it decodes.
fn decode_at_every_split<T: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    next: impl Fn(&mut BytesMut) -> Option<T>,
) -> Vec<T> {
    let decode = |split: usize| {
        let (mut inbox, mut found) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..split], &bytes[split..]] {
            inbox.extend_from_slice(part);
            found.extend(std::iter::from_fn(|| next(&mut inbox)));
        }
        found
    };
    let unsplit = decode(0);
    (1..=bytes.len()).for_each(|split| assert_eq!(decode(split), unsplit, "split at {split}"));
    unsplit
}

#[test]
fn messages_are_decoded_however_they_are_split() {
    let mut bytes = message(b'Q', b"\0");
    bytes.extend(message(b'Q', format!("{READ}\0").as_bytes()));
    bytes.extend(message(b'X', b""));
    let found =
        decode_at_every_split(&bytes, |inbox| frame::take_message(inbox).expect("message is rejected"));
    assert_eq!(found.iter().map(Message::tag).collect::<Vec<_>>(), b"QQX");
    assert_eq!(found[1].query().as_deref(), Some(READ.as_bytes()));
}

#[rstest]
#[case::version_3(&[0, 0, 0, 9, 0, 3, 0, 0, 0], Startup::Version3)]
#[case::newer_minor(&[0, 0, 0, 8, 0, 3, 0, 2], Startup::Version3)]
#[case::version_2(&[0, 0, 0, 8, 0, 2, 0, 0], Startup::OtherVersion)]
#[case::ssl(&[0, 0, 0, 8, 4, 210, 22, 47], Startup::Encryption(Encryption::Tls))]
#[case::gssenc(&[0, 0, 0, 8, 4, 210, 22, 48], Startup::Encryption(Encryption::Gssapi))]
#[case::cancel(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2], Startup::Cancel)]
fn startup_packets_are_decoded_however_they_are_split(#[case] bytes: &[u8], #[case] expected: Startup) {
    assert_eq!(
        decode_at_every_split(bytes, |inbox| frame::take_startup(inbox).expect("startup packet is rejected")),
        [expected]
    );
}

#[rstest]
#[case::too_short(&[b'Q', 0, 0, 0, 3])]
#[case::too_long(&[b'Q', 0x7f, 0xff, 0xff, 0xff])]
#[case::other_protocol(b"GET / HTTP/1.1")]
fn a_message_length_out_of_bounds_is_rejected(#[case] bytes: &[u8]) {
    let error = frame::take_message(&mut BytesMut::from(bytes)).expect_err("message is accepted");
    assert_eq!(error.to_string(), "message length out of bounds");
}

#[rstest]
#[case::no_nul(b"SELECT 1", false)]
#[case::bytes_after_nul(b"SELECT 1\0x", false)]
#[case::complete(b"SELECT 1\0", true)]
fn a_query_must_end_with_its_nul(#[case] body: &[u8], #[case] is_valid: bool) {
    assert_eq!(Message(message(b'Q', body).into()).query().is_some(), is_valid);
}

#[rstest]
#[case::too_short(&[0, 0, 0, 7])]
#[case::other_protocol(b"GET / HTTP/1.1")]
fn a_startup_length_out_of_bounds_is_rejected(#[case] bytes: &[u8]) {
    let error = frame::take_startup(&mut BytesMut::from(bytes)).expect_err("startup packet is accepted");
    assert_eq!(error.to_string(), "startup length out of bounds");
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n")]
fn http_responses_are_decoded_however_they_are_split(#[case] text: &str) {
    let twice = format!("{text}{text}");
    let found = decode_at_every_split(twice.as_bytes(), |inbox| {
        http::response(inbox, false).expect("response is rejected")
    });
    let bodies: Vec<&[u8]> = found.iter().map(|response| response.body.as_ref()).collect();
    assert_eq!(bodies, [b"hello", b"hello"]);
}

#[rstest]
#[case::not_http("SSH-2.0-x\r\n\r\n")]
#[case::length_not_a_number("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")]
#[case::too_long("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")]
#[case::invalid_chunk_size("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
fn invalid_http_responses_are_rejected(#[case] text: &str) {
    assert!(http::response(&mut BytesMut::from(text), false).is_err());
}

const KEY: Key = Key(1, 2);

#[test]
fn the_fields_of_a_comment_are_parsed() {
    let whole = Bytes::from(READ);
    let (_, comment) = StatementText::parse(&whole, &scan(KEY, &whole)).expect("statement is rejected");
    assert_eq!((comment.workload, comment.cluster, comment.time_left), ("basket", 2, 0.48));
    assert_eq!(
        (comment.after, comment.is_flagged_retry, comment.session),
        (Some(1_767_225_600.123), false, Some(0x1f))
    );
}

#[rstest]
#[case::shorter(READ, 9)]
#[case::longer(READ, 12345)]
#[case::d_last("SELECT '/* d=1 */' /* id=1,c=a,cluster=1,k=d=7,r=1, d=750*/", 20)]
fn only_the_time_left_is_rewritten(#[case] text: &str, #[case] left: u64) {
    let whole = Bytes::copy_from_slice(text.as_bytes());
    let (statement, _) = StatementText::parse(&whole, &scan(KEY, &whole)).expect("statement is rejected");
    let mut outbox = Outbox::default();
    statement.write_to(left, &mut outbox);
    let old = if text == READ { "d=480" } else { " d=750" };
    let new = old.replace(old.trim_start_matches([' ', 'd', '=']), &left.to_string());
    assert_eq!(outbox.rest(), message(b'Q', format!("{}\0", text.replace(old, &new)).as_bytes()));
}

#[rstest]
#[case::no_comment("SELECT 1", "the statement has no comment")]
#[case::no_end(
    "SELECT 1 /* id=1,c=a,d=1,cluster=1",
    "the statement ends within a literal, a name or a comment"
)]
#[case::in_a_literal("SELECT ' /* id=1,c=a,d=1,cluster=1 */ '", "the statement has no comment")]
#[case::in_a_quoted_name("SELECT 1 AS \" /* id=1,c=a,d=1,cluster=1 */ \"", "the statement has no comment")]
#[case::in_a_line_comment("SELECT 1 -- /* id=1,c=a,d=1,cluster=1 */", "the statement has no comment")]
#[case::in_a_dollar_quote("SELECT $q$ /* id=1,c=a,d=1,cluster=1 */ $q$", "the statement has no comment")]
#[case::literal_not_ended(
    "SELECT 'a\\' /* id=1,c=a,d=1,cluster=1 */ ' /* id=2 */",
    "the statement ends within a literal, a name or a comment"
)]
#[case::literal_after_comment(
    "SELECT 1 /* id=1,c=a,d=1,cluster=1 */ 'x'",
    "something stands behind the comment"
)]
#[case::no_id("SELECT 1 /* c=a,d=1,cluster=1 */", "the comment has no id")]
#[case::no_workload("SELECT 1 /* id=1,d=1,cluster=1 */", "the comment has no c")]
#[case::no_time("SELECT 1 /* id=1,c=a,d=soon,cluster=1 */", "the comment has no d, or one that is no number")]
#[case::no_cluster(
    "SELECT 1 /* id=1,c=a,d=1,cluster=x */",
    "the comment has no cluster, or one that is no number"
)]
#[case::empty_id("SELECT 1 /* id=,c=a,d=1,cluster=1 */", "the comment has no id")]
#[case::negative_time(
    "SELECT 1 /* id=1,c=a,d=-1,cluster=1 */",
    "the comment has no d, or one that is no number"
)]
#[case::time_twice("SELECT 1 /* id=1,c=a,d=1,d=2,cluster=1 */", "the comment says something twice")]
#[case::statement_after_comment(
    "SELECT 1 /* id=1,c=a,d=1,cluster=1 */; SELECT 2",
    "something stands behind the comment"
)]
fn statements_without_a_valid_comment_are_rejected(#[case] text: &str, #[case] expected: &str) {
    let whole = Bytes::copy_from_slice(text.as_bytes());
    let error = StatementText::parse(&whole, &scan(KEY, &whole)).expect_err("statement is accepted");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn a_statement_that_is_not_utf8_is_rejected() {
    let whole = Bytes::from_static(b"SELECT '\xff' /* id=1,c=a,d=1,cluster=1 */");
    let error = StatementText::parse(&whole, &scan(KEY, &whole)).expect_err("statement is accepted");
    assert_eq!(error.to_string(), "the statement is not UTF-8");
}

/// Tag and body of a message.
type Part = (u8, &'static str);

/// Returns the reply that consists of these messages.
fn reply(parts: &[Part]) -> Reply {
    let mut reply = Reply::default();
    for (tag, body) in parts {
        reply.add(Message(message(*tag, body.as_bytes()).into())).expect("message is rejected");
    }
    reply
}

const COLUMN: &str = "\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01";
const ROW: [Part; 3] = [(b'T', COLUMN), (b'D', "\0\x01\0\0\0\x01v"), (b'C', "SELECT 1\0")];

#[rstest]
#[case::served(&ROW, AttemptOutcome::Completed)]
#[case::row_then_error(&[ROW[0], ROW[1], (b'E', "CXX000\0\0")], AttemptOutcome::Error)]
#[case::read_only(&[(b'E', "SERROR\0C25006\0Mno\0\0")], AttemptOutcome::ReadOnly)]
#[case::replica_too_far_behind(&[(b'E', "C72000\0\0")], AttemptOutcome::WrongEndpoint)]
#[case::refused(&[(b'E', "C53300\0\0")], AttemptOutcome::Refused)]
#[case::not_now_may_have_run(&[(b'E', "C57P03\0\0")], AttemptOutcome::Error)]
fn the_outcome_of_an_attempt_follows_from_its_reply(
    #[case] parts: &[Part],
    #[case] expected: AttemptOutcome,
) {
    assert_eq!(reply(parts).outcome(), expected);
}

/// None of these may be forwarded to a client, or be treated as proof that the statement did not run.
#[rstest]
#[case::no_row(&[ROW[0], ROW[2]])]
#[case::two_rows(&[ROW[0], ROW[1], ROW[1]])]
#[case::row_without_description(&[ROW[1]])]
#[case::described_twice(&[ROW[0], ROW[0]])]
#[case::truncated_description(&[(b'T', "\0\x01v\0")])]
#[case::two_columns(&[(b'T', "\0\x02v\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01")])]
#[case::row_too_short(&[ROW[0], (b'D', "\0\x01\0\0\0\x02v")])]
#[case::row_too_long(&[ROW[0], (b'D', "\0\x01\0\0\0\x01vv")])]
#[case::row_without_columns(&[ROW[0], (b'D', "\0\0")])]
#[case::tag_without_nul(&[ROW[0], ROW[1], (b'C', "SELECT 1")])]
#[case::empty_tag(&[ROW[0], ROW[1], (b'C', "\0")])]
#[case::control_character_in_tag(&[ROW[0], ROW[1], (b'C', "SEL\x01CT\0")])]
#[case::error_after_completion(&[ROW[0], ROW[1], ROW[2], (b'E', "C53300\0\0")])]
#[case::error_without_terminator(&[(b'E', "C53300\0")])]
#[case::code_too_long(&[(b'E', "C533000\0\0")])]
#[case::no_code(&[(b'E', "Mno\0\0")])]
#[case::parameter_without_value(&[(b'S', "recovery\0")])]
#[case::parameter_with_two_values(&[(b'S', "recovery\0on\0off\0")])]
#[case::ready_with_two_states(&[(b'Z', "II")])]
#[case::empty_answer_to_a_row(&[ROW[0], (b'I', "")])]
fn malformed_replies_are_rejected(#[case] parts: &[Part]) {
    let (last, first) = parts.split_last().expect("no parts");
    let mut reply = reply(first);
    assert!(reply.add(Message(message(last.0, last.1.as_bytes()).into())).is_err());
}

/// The log text for an answer that arrives without a statement. The state of the connection detects this, not the reply.
#[test]
fn log_text_of_an_unsolicited_answer() {
    assert_eq!(ProtocolError::UnsolicitedAnswer.to_string(), "an answer to nothing");
}

/// The log texts for endpoints that send malformed replies.
#[rstest]
#[case::error_without_terminator((b'E', "C53300\0"), "an error without its code")]
#[case::parameter((b'S', "recovery\0"), "a parameter without its value")]
#[case::row_without_description(ROW[1], "a message that answers no simple query")]
fn log_texts_of_malformed_replies(#[case] part: Part, #[case] expected: &str) {
    let error = Reply::default()
        .add(Message(message(part.0, part.1.as_bytes()).into()))
        .expect_err("message is accepted");
    assert_eq!(error.to_string(), expected);
}

/// An endpoint that has just started does not know its replication position yet and reports 0, which would be a lag of fifty years.
#[rstest]
#[case::just_started("x0=0.000,x1=0,utilization=0.25", None)]
#[case::known_position("x0=2.500,x1=0,utilization=0.25", Some(2.5))]
fn a_load_report_of_position_0_has_no_position(#[case] text: &str, #[case] lsn: Option<f64>) {
    let mut reply = reply(&ROW);
    let parameter = format!("health\0{text}\0");
    assert_eq!(reply.add(Message(message(b'S', parameter.as_bytes()).into())), Ok(false));
    let report = reply.load_report.expect("no load report");
    assert_eq!((report.lsn, report.role, report.utilization), (lsn, Some(Role::Replica), Some(0.25)));
}

/// A load report that can't be parsed is ignored, and the reply that carries it stays valid.
#[rstest]
#[case::not_utf8(b"health\0\xff\xfe\0")]
#[case::no_pairs(b"health\0what\0")]
#[case::no_numbers(b"health\0x0=inf,x1=nan\0")]
#[case::no_position(b"lsn_ms\0inf\0")]
fn unreadable_load_reports_are_ignored(#[case] parameter: &[u8]) {
    let mut reply = reply(&ROW);
    assert_eq!(reply.add(Message(message(b'S', parameter).into())), Ok(false));
    assert_eq!(reply.outcome(), AttemptOutcome::Completed);
    assert!(
        reply.piggybacked.lsn.is_none()
            && reply.load_report.is_none_or(|report| report.lsn.is_none() && report.role.is_none())
    );
}

#[test]
fn role_and_position_are_read_from_parameters_and_rows() {
    let answer =
        reply(&[(b'S', "recovery\0on\0"), (b'S', "lsn_ms\x001500\0"), (b'S', "health\0x0=2.5,x1=1\0")]);
    assert_eq!((answer.piggybacked.role, answer.piggybacked.lsn), (Some(Role::Replica), Some(1.5)));
    assert_eq!(
        answer.load_report.map(|report| (report.role, report.lsn)),
        Some((Some(Role::Primary), Some(2.5)))
    );
    let (outcome, report) =
        reply(&[ROW[0], (b'D', "\0\x01\0\0\0\x0bx0=2.5,x1=0"), ROW[2]]).health_check_result();
    assert_eq!(
        (outcome, report.role, report.lsn),
        (AttemptOutcome::Completed, Some(Role::Replica), Some(2.5))
    );
    assert_eq!(reply(&[(b'E', "C57P03\0\0")]).health_check_result().0, AttemptOutcome::Refused);
}

/// Until the last byte of a statement is handed to the kernel it can't have run; from then on it may have.
#[rstest]
#[case::dialing(ConnectionState::Dialing, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::greeting(ConnectionState::Greeting, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::sending(ConnectionState::Sending, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::sent(ConnectionState::Sent, AttemptOutcome::Reset, AttemptOutcome::TimedOut)]
fn a_statement_may_have_run_once_it_is_sent(
    #[case] state: ConnectionState,
    #[case] if_broken: AttemptOutcome,
    #[case] if_abandoned: AttemptOutcome,
) {
    assert_eq!(
        (state.outcome_if_broken(), state.outcome_if_abandoned(AttemptOutcome::TimedOut)),
        (if_broken, if_abandoned)
    );
    assert_eq!(if_broken.had_no_effect(), if_abandoned.had_no_effect());
}

#[test]
fn invalid_state_transitions_are_rejected() {
    assert!(
        !RequestPhase::Vacant.may_become(RequestPhase::AttemptInFlight(1)),
        "an attempt without a statement"
    );
    assert!(
        !RequestPhase::AttemptInFlight(1).may_become(RequestPhase::AttemptInFlight(2)),
        "two attempts at once"
    );
    assert!(
        !RequestPhase::Abandoned(1).may_become(RequestPhase::Waiting),
        "a retry for a client that is gone"
    );
    assert!(
        !ConnectionState::Sent.may_become(ConnectionState::Sending),
        "two statements at once on a connection"
    );
    assert!(!ConnectionState::Closed.may_become(ConnectionState::Idle));
    assert!(!ConnectionPhase::Terminated.may_become(ConnectionPhase::Idle));
    assert!(!ConnectionPhase::Rejected.may_become(ConnectionPhase::Idle));
    assert!(
        !ConnectionPhase::Busy(1).may_become(ConnectionPhase::Busy(2)),
        "two statements at once for a client"
    );
}

fn list(is_complete: bool, endpoints: &[(&str, &str, &str)]) -> EndpointList {
    let entry = |(host, dial, health): &(&str, &str, &str)| {
        format!(r#"{{"host":"{host}","dial":"{dial}","block":7,"health":"{health}","born_ms":1500}}"#)
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    let json = format!(r#"{{"seq":1,"whole":{is_complete},"hosts":[{}]}}"#, entries.join(","));
    serde_json::from_str(&json).expect("list is rejected")
}

#[rstest]
#[case::delta(list(false, &[("b", "127.0.0.1:2", "leaving")]), &[(1, EndpointState::Draining)], &[])]
#[case::complete(list(true, &[("b", "127.0.0.1:2", "active")]), &[(0, EndpointState::Removed)], &[])]
#[case::unchanged(list(true, &[("b", "127.0.0.1:2", "active"), ("a", "127.0.0.1:1", "active")]), &[], &[])]
#[case::left_without_address(list(false, &[("a", "", "left")]), &[(0, EndpointState::Removed)], &[])]
#[case::readdressed(list(false, &[("a", "127.0.0.1:9", "active")]), &[], &[0])]
#[case::readdressed_and_draining(list(false, &[("a", "127.0.0.1:9", "leaving")]), &[(0, EndpointState::Draining)], &[0])]
#[case::new(list(false, &[("c", "127.0.0.1:3", "active")]), &[(2, EndpointState::Ready)], &[])]
#[case::empty_and_complete(list(true, &[]), &[(0, EndpointState::Removed), (1, EndpointState::Removed)], &[])]
fn endpoint_lists_are_applied(
    #[case] list: EndpointList,
    #[case] updates: &[(usize, EndpointState)],
    #[case] readdressed: &[usize],
) {
    let mut registry = EndpointRegistry::new(Vec::new());
    registry.apply(&self::list(true, &[("a", "127.0.0.1:1", "active"), ("b", "127.0.0.1:2", "active")]));
    let RegistryChange { updates: applied, readdressed: moved } = registry.apply(&list);
    assert_eq!(applied.iter().map(|update| (update.endpoint, update.state)).collect::<Vec<_>>(), updates);
    assert_eq!((moved.as_slice(), registry.group(7), registry.group(8)), (readdressed, Some(0), None));
    assert!(applied.iter().all(|update| update.started_at == Some(1.5)));
}
