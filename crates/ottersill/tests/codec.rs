//! What is read off the wire, whatever pieces it comes in.

use bytes::{Bytes, BytesMut};
use ottersill::backend::connection::ConnectionState;
use ottersill::backend::reply::Reply;
use ottersill::client::connection::ConnectionPhase;
use ottersill::discovery::endpoint_list::EndpointList;
use ottersill::discovery::http;
use ottersill::discovery::registry::{EndpointRegistry, RegistryChange};
use ottersill::in_flight::RequestPhase;
use ottersill::protocol::frame::{self, Message, ProtocolError, Startup};
use ottersill::protocol::socket::Outbox;
use ottersill::protocol::statement_text::StatementText;
use ottersill_routing::interface::{AttemptOutcome, EndpointState, Role};
use ottersill_statement::fingerprint::{Key, scan};
use ottersill_testkit::stand_in::message;
use rstest::rstest;

const READ: &str =
    "SELECT content FROM kv WHERE name = '1f' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

/// Feeds the bytes cut in two at every place, and gathers what `next` finds.
fn at_every_cut<T: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    next: impl Fn(&mut BytesMut) -> Option<T>,
) -> Vec<T> {
    let all = |cut: usize| {
        let (mut inbox, mut found) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            inbox.extend_from_slice(part);
            found.extend(std::iter::from_fn(|| next(&mut inbox)));
        }
        found
    };
    let whole = all(0);
    (1..=bytes.len()).for_each(|cut| assert_eq!(all(cut), whole, "cut at {cut}"));
    whole
}

#[test]
fn messages_in_any_pieces() {
    let mut bytes = message(b'Q', b"\0");
    bytes.extend(message(b'Q', format!("{READ}\0").as_bytes()));
    bytes.extend(message(b'X', b""));
    let found = at_every_cut(&bytes, |inbox| frame::take_message(inbox).expect("messages"));
    assert_eq!(found.iter().map(Message::tag).collect::<Vec<_>>(), b"QQX");
    assert_eq!(found[1].query().as_deref(), Some(READ.as_bytes()));
}

#[rstest]
#[case::version_3(&[0, 0, 0, 9, 0, 3, 0, 0, 0], Startup::Version3)]
#[case::newer_minor(&[0, 0, 0, 8, 0, 3, 0, 2], Startup::Version3)]
#[case::version_2(&[0, 0, 0, 8, 0, 2, 0, 0], Startup::OtherVersion)]
#[case::ssl(&[0, 0, 0, 8, 4, 210, 22, 47], Startup::Encryption)]
#[case::gssenc(&[0, 0, 0, 8, 4, 210, 22, 48], Startup::Encryption)]
#[case::cancel(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2], Startup::Cancel)]
fn startups_in_any_pieces(#[case] bytes: &[u8], #[case] expected: Startup) {
    assert_eq!(at_every_cut(bytes, |inbox| frame::take_startup(inbox).expect("a startup")), [expected]);
}

#[rstest]
#[case::shorter_than_itself(&[b'Q', 0, 0, 0, 3])]
#[case::longer_than_any(&[b'Q', 0x7f, 0xff, 0xff, 0xff])]
#[case::no_protocol(b"GET / HTTP/1.1")]
fn no_message(#[case] bytes: &[u8]) {
    let error = frame::take_message(&mut BytesMut::from(bytes)).expect_err("no message");
    assert_eq!(error.to_string(), "message length out of bounds");
}

#[rstest]
#[case::no_zero(b"SELECT 1", false)]
#[case::more_behind_it(b"SELECT 1\0x", false)]
#[case::whole(b"SELECT 1\0", true)]
fn a_query_ends_with_its_zero(#[case] body: &[u8], #[case] whole: bool) {
    assert_eq!(Message(message(b'Q', body).into()).query().is_some(), whole);
}

#[rstest]
#[case::shorter_than_itself(&[0, 0, 0, 7])]
#[case::no_protocol(b"GET / HTTP/1.1")]
fn no_startup(#[case] bytes: &[u8]) {
    let error = frame::take_startup(&mut BytesMut::from(bytes)).expect_err("no startup");
    assert_eq!(error.to_string(), "startup length out of bounds");
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n")]
fn responses_in_any_pieces(#[case] text: &str) {
    let twice = format!("{text}{text}");
    let found = at_every_cut(twice.as_bytes(), |inbox| http::response(inbox, false).expect("a response"));
    let bodies: Vec<&[u8]> = found.iter().map(|response| response.body.as_ref()).collect();
    assert_eq!(bodies, [b"hello", b"hello"]);
}

#[rstest]
#[case::no_http("SSH-2.0-x\r\n\r\n")]
#[case::no_length("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")]
#[case::too_long("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")]
#[case::no_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
fn no_response(#[case] text: &str) {
    assert!(http::response(&mut BytesMut::from(text), false).is_err());
}

const KEY: Key = Key(1, 2);

#[test]
fn a_comment_says_what_the_module_needs() {
    let whole = Bytes::from(READ);
    let (_, said) = StatementText::parse(&whole, &scan(KEY, &whole)).expect("a statement");
    assert_eq!((said.workload, said.cluster, said.time_left), ("basket", 2, 0.48));
    assert_eq!(
        (said.after, said.is_flagged_retry, said.session),
        (Some(1_767_225_600.123), false, Some(0x1f))
    );
}

#[rstest]
#[case::shorter(READ, 9)]
#[case::longer(READ, 12345)]
#[case::d_last("SELECT '/* d=1 */' /* id=1,c=a,cluster=1,k=d=7,r=1, d=750*/", 20)]
fn only_the_time_left_differs(#[case] text: &str, #[case] left: u64) {
    let whole = Bytes::copy_from_slice(text.as_bytes());
    let (read, _) = StatementText::parse(&whole, &scan(KEY, &whole)).expect("a statement");
    let mut outbox = Outbox::default();
    read.write_to(left, &mut outbox);
    let was = if text == READ { "d=480" } else { " d=750" };
    let now = was.replace(was.trim_start_matches([' ', 'd', '=']), &left.to_string());
    assert_eq!(outbox.rest(), message(b'Q', format!("{}\0", text.replace(was, &now)).as_bytes()));
}

#[rstest]
#[case::no_comment("SELECT 1", "the statement has no comment")]
#[case::no_end(
    "SELECT 1 /* id=1,c=a,d=1,cluster=1",
    "the statement ends within a literal, a name or a comment"
)]
#[case::in_a_literal("SELECT ' /* id=1,c=a,d=1,cluster=1 */ '", "the statement has no comment")]
#[case::in_a_quoted_name("SELECT 1 AS \" /* id=1,c=a,d=1,cluster=1 */ \"", "the statement has no comment")]
#[case::behind_two_dashes("SELECT 1 -- /* id=1,c=a,d=1,cluster=1 */", "the statement has no comment")]
#[case::in_a_dollar_quote("SELECT $q$ /* id=1,c=a,d=1,cluster=1 */ $q$", "the statement has no comment")]
#[case::literal_goes_on(
    "SELECT 'a\\' /* id=1,c=a,d=1,cluster=1 */ ' /* id=2 */",
    "the statement ends within a literal, a name or a comment"
)]
#[case::literal_behind("SELECT 1 /* id=1,c=a,d=1,cluster=1 */ 'x'", "something stands behind the comment")]
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
#[case::more_behind("SELECT 1 /* id=1,c=a,d=1,cluster=1 */; SELECT 2", "something stands behind the comment")]
fn strange_statements(#[case] text: &str, #[case] lack: &str) {
    let whole = Bytes::copy_from_slice(text.as_bytes());
    let error = StatementText::parse(&whole, &scan(KEY, &whole)).expect_err("no statement");
    assert_eq!(error.to_string(), lack);
}

#[test]
fn a_statement_that_is_no_utf8() {
    let whole = Bytes::from_static(b"SELECT '\xff' /* id=1,c=a,d=1,cluster=1 */");
    let error = StatementText::parse(&whole, &scan(KEY, &whole)).expect_err("no statement");
    assert_eq!(error.to_string(), "the statement is not UTF-8");
}

type Part = (u8, &'static str);

fn reply(parts: &[Part]) -> Reply {
    let mut reply = Reply::default();
    for (tag, body) in parts {
        reply.add(Message(message(*tag, body.as_bytes()).into())).expect("an answer");
    }
    reply
}

const COLUMN: &str = "\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01";
const ROW: [Part; 3] = [(b'T', COLUMN), (b'D', "\0\x01\0\0\0\x01v"), (b'C', "SELECT 1\0")];

#[rstest]
#[case::served(&ROW, AttemptOutcome::Completed)]
#[case::row_then_error(&[ROW[0], ROW[1], (b'E', "CXX000\0\0")], AttemptOutcome::Error)]
#[case::read_only(&[(b'E', "SERROR\0C25006\0Mno\0\0")], AttemptOutcome::ReadOnly)]
#[case::too_far_behind(&[(b'E', "C72000\0\0")], AttemptOutcome::WrongEndpoint)]
#[case::turned_away(&[(b'E', "C53300\0\0")], AttemptOutcome::Refused)]
#[case::not_now_proves_nothing(&[(b'E', "C57P03\0\0")], AttemptOutcome::Error)]
fn what_comes_back(#[case] parts: &[Part], #[case] expected: AttemptOutcome) {
    assert_eq!(reply(parts).outcome(), expected);
}

/// Nothing of these may be passed on, or taken for a proof that nothing ran.
#[rstest]
#[case::no_row(&[ROW[0], ROW[2]])]
#[case::two_rows(&[ROW[0], ROW[1], ROW[1]])]
#[case::row_undescribed(&[ROW[1]])]
#[case::described_twice(&[ROW[0], ROW[0]])]
#[case::described_short(&[(b'T', "\0\x01v\0")])]
#[case::two_columns(&[(b'T', "\0\x02v\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01")])]
#[case::row_too_short(&[ROW[0], (b'D', "\0\x01\0\0\0\x02v")])]
#[case::row_too_long(&[ROW[0], (b'D', "\0\x01\0\0\0\x01vv")])]
#[case::row_of_nothing(&[ROW[0], (b'D', "\0\0")])]
#[case::no_end_of_tag(&[ROW[0], ROW[1], (b'C', "SELECT 1")])]
#[case::no_tag(&[ROW[0], ROW[1], (b'C', "\0")])]
#[case::noise_in_tag(&[ROW[0], ROW[1], (b'C', "SEL\x01CT\0")])]
#[case::error_behind_it(&[ROW[0], ROW[1], ROW[2], (b'E', "C53300\0\0")])]
#[case::error_without_end(&[(b'E', "C53300\0")])]
#[case::code_too_long(&[(b'E', "C533000\0\0")])]
#[case::no_code(&[(b'E', "Mno\0\0")])]
#[case::parameter_without_value(&[(b'S', "recovery\0")])]
#[case::parameter_with_more(&[(b'S', "recovery\0on\0off\0")])]
#[case::ready_for_more(&[(b'Z', "II")])]
#[case::empty_answer_to_a_row(&[ROW[0], (b'I', "")])]
fn spoilt_answers(#[case] parts: &[Part]) {
    let (last, first) = parts.split_last().expect("parts");
    let mut reply = reply(first);
    assert!(reply.add(Message(message(last.0, last.1.as_bytes()).into())).is_err());
}

/// What operators read of an answer that comes though nothing was asked, which the connection's state tells and not the reply.
#[test]
fn an_unsolicited_answer_in_the_log() {
    assert_eq!(ProtocolError::UnsolicitedAnswer.to_string(), "an answer to nothing");
}

/// What operators read in the log of such an endpoint.
#[rstest]
#[case::error_without_end((b'E', "C53300\0"), "an error without its code")]
#[case::parameter((b'S', "recovery\0"), "a parameter without its value")]
#[case::row_undescribed(ROW[1], "a message that answers no simple query")]
fn spoilt_answers_in_the_log(#[case] part: Part, #[case] expected: &str) {
    let error = Reply::default().add(Message(message(part.0, part.1.as_bytes()).into())).expect_err("spoilt");
    assert_eq!(error.to_string(), expected);
}

/// A host that has just started knows no position yet; taken for one, its 0 is a lag of fifty years.
#[rstest]
#[case::just_started("x0=0.000,x1=0,utilization=0.25", None)]
#[case::there("x0=2.500,x1=0,utilization=0.25", Some(2.5))]
fn a_report_of_load(#[case] text: &str, #[case] lsn: Option<f64>) {
    let mut reply = reply(&ROW);
    let parameter = format!("health\0{text}\0");
    assert_eq!(reply.add(Message(message(b'S', parameter.as_bytes()).into())), Ok(false));
    let said = reply.load_report.expect("a report");
    assert_eq!((said.lsn, said.role, said.utilization), (lsn, Some(Role::Replica), Some(0.25)));
}

/// A load report that can't be read is none, and the answer that it came with is as good as any.
#[rstest]
#[case::noise(b"health\0\xff\xfe\0")]
#[case::no_pairs(b"health\0what\0")]
#[case::no_numbers(b"health\0x0=inf,x1=nan\0")]
#[case::no_position(b"lsn_ms\0inf\0")]
fn unreadable_reports_spoil_nothing(#[case] parameter: &[u8]) {
    let mut reply = reply(&ROW);
    assert_eq!(reply.add(Message(message(b'S', parameter).into())), Ok(false));
    assert_eq!(reply.outcome(), AttemptOutcome::Completed);
    assert!(
        reply.piggybacked.lsn.is_none()
            && reply.load_report.is_none_or(|said| said.lsn.is_none() && said.role.is_none())
    );
}

#[test]
fn role_and_position_come_in_parameters_and_rows() {
    let answer =
        reply(&[(b'S', "recovery\0on\0"), (b'S', "lsn_ms\x001500\0"), (b'S', "health\0x0=2.5,x1=1\0")]);
    assert_eq!((answer.piggybacked.role, answer.piggybacked.lsn), (Some(Role::Replica), Some(1.5)));
    assert_eq!(answer.load_report.map(|said| (said.role, said.lsn)), Some((Some(Role::Primary), Some(2.5))));
    let (ending, report) =
        reply(&[ROW[0], (b'D', "\0\x01\0\0\0\x0bx0=2.5,x1=0"), ROW[2]]).health_check_result();
    assert_eq!(
        (ending, report.role, report.lsn),
        (AttemptOutcome::Completed, Some(Role::Replica), Some(2.5))
    );
    assert_eq!(reply(&[(b'E', "C57P03\0\0")]).health_check_result().0, AttemptOutcome::Refused);
}

/// The proof line: until the last byte is handed over nothing can have run, from then on it may have.
#[rstest]
#[case::dialing(ConnectionState::Dialing, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::greeting(ConnectionState::Greeting, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::sending(ConnectionState::Sending, AttemptOutcome::ConnectFailed, AttemptOutcome::NeverSent)]
#[case::sent(ConnectionState::Sent, AttemptOutcome::Reset, AttemptOutcome::TimedOut)]
fn the_proof_line(
    #[case] course: ConnectionState,
    #[case] broken: AttemptOutcome,
    #[case] late: AttemptOutcome,
) {
    assert_eq!(
        (course.outcome_if_broken(), course.outcome_if_abandoned(AttemptOutcome::TimedOut)),
        (broken, late)
    );
    assert_eq!(broken.had_no_effect(), late.had_no_effect());
}

#[test]
fn no_state_is_left_but_by_its_ways() {
    assert!(
        !RequestPhase::Vacant.may_become(RequestPhase::AttemptInFlight(1)),
        "an execution without a statement"
    );
    assert!(
        !RequestPhase::AttemptInFlight(1).may_become(RequestPhase::AttemptInFlight(2)),
        "two executions at once"
    );
    assert!(!RequestPhase::Abandoned(1).may_become(RequestPhase::Waiting), "a further execution for nobody");
    assert!(!ConnectionState::Sent.may_become(ConnectionState::Sending), "two loads at once");
    assert!(!ConnectionState::Closed.may_become(ConnectionState::Idle));
    assert!(!ConnectionPhase::Terminated.may_become(ConnectionPhase::Idle));
    assert!(!ConnectionPhase::Rejected.may_become(ConnectionPhase::Idle));
    assert!(!ConnectionPhase::Busy(1).may_become(ConnectionPhase::Busy(2)), "two statements at once");
}

fn list(whole: bool, hosts: &[(&str, &str, &str)]) -> EndpointList {
    let entry = |(host, dial, health): &(&str, &str, &str)| {
        format!(r#"{{"host":"{host}","dial":"{dial}","block":7,"health":"{health}","born_ms":1500}}"#)
    };
    let hosts: Vec<String> = hosts.iter().map(entry).collect();
    let json = format!(r#"{{"seq":1,"whole":{whole},"hosts":[{}]}}"#, hosts.join(","));
    serde_json::from_str(&json).expect("a list")
}

#[rstest]
#[case::only_changes(list(false, &[("b", "127.0.0.1:2", "leaving")]), &[(1, EndpointState::Draining)], &[])]
#[case::whole(list(true, &[("b", "127.0.0.1:2", "active")]), &[(0, EndpointState::Removed)], &[])]
#[case::nothing_new(list(true, &[("b", "127.0.0.1:2", "active"), ("a", "127.0.0.1:1", "active")]), &[], &[])]
#[case::left_without_address(list(false, &[("a", "", "left")]), &[(0, EndpointState::Removed)], &[])]
#[case::moved(list(false, &[("a", "127.0.0.1:9", "active")]), &[], &[0])]
#[case::moved_and_drains(list(false, &[("a", "127.0.0.1:9", "leaving")]), &[(0, EndpointState::Draining)], &[0])]
#[case::new(list(false, &[("c", "127.0.0.1:3", "active")]), &[(2, EndpointState::Ready)], &[])]
#[case::empty_and_whole(list(true, &[]), &[(0, EndpointState::Removed), (1, EndpointState::Removed)], &[])]
fn lists_are_taken_as_told(
    #[case] list: EndpointList,
    #[case] told: &[(usize, EndpointState)],
    #[case] moved: &[usize],
) {
    let mut hosts = EndpointRegistry::new(Vec::new());
    hosts.apply(&self::list(true, &[("a", "127.0.0.1:1", "active"), ("b", "127.0.0.1:2", "active")]));
    let RegistryChange { updates: listed, readdressed: elsewhere } = hosts.apply(&list);
    assert_eq!(listed.iter().map(|l| (l.endpoint, l.state)).collect::<Vec<_>>(), told);
    assert_eq!((elsewhere.as_slice(), hosts.group(7), hosts.group(8)), (moved, Some(0), None));
    assert!(listed.iter().all(|l| l.started_at == Some(1.5)));
}
