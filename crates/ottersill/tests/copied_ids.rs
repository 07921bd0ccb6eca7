//! A client that sends the id of another client's open statement: the statement that was read first keeps its id, in whatever
//! place it waits for its turn, and the copy gets an error.

mod support;

use std::io::Write;
use std::time::Duration;

use ottersill_testkit::stand_in::{Client, message};
use rstest::rstest;
use support::in_process::InProcessRouter;
use support::*;

/// How long the endpoints are watched for statements that should not come.
const WATCHED: Duration = Duration::from_millis(300);

/// The settings of these tests: answers may take as long as a test delays them.
const SETTINGS: [(&str, &str); 2] = [LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME];

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// Sends queries at once, one behind the other.
fn send_pipelined(client: &mut Client, texts: &[String]) {
    let bytes: Vec<u8> = texts.iter().flat_map(|text| query(text)).collect();
    client.socket.write_all(&bytes).expect("queries could not be sent");
}

/// A client whose read runs at the replica, with other statements behind it that the router has read.
fn pipelining_client(fixture: &Fixture, read_number: u32, behind: &[u8]) -> Client {
    let mut client = fixture.router.client();
    let mut bytes = query(&read(read_number, 8000));
    bytes.extend_from_slice(behind);
    client.socket.write_all(&bytes).expect("queries could not be sent");
    let address = client.socket.local_addr().expect("no address");
    wait_until("the router reads the pipeline", || may_have_read_all(fixture.router.address, address));
    client
}

fn assert_refused_as_copy(answer: &str) {
    assert!(answer.contains("C08P01"), "{answer}");
}

fn assert_served(client: &mut Client, row: &str) {
    let answer = client.read_answer().expect("no answer");
    assert!(answer.starts_with(&format!("row:{row} ")), "{answer}");
}

/// Guards against a write that runs twice: its id was not known while it waited behind another statement of its client, so copies
/// of it were served. Each copy is refused, whatever became of the ones before.
#[rstest]
#[case::one_copy(&[write(7, 8000)])]
#[case::three_copies(&[write(7, 8000), write(7, 8000), write(7, 8000)])]
#[case::id_in_capitals(&[write(7, 8000).replace("id=b7", "id=B7")])]
#[case::on_a_read(&[read(7, 8000).replace("id=a7", "id=b7")])]
fn copies_of_a_pipelined_write_are_refused(#[case] copies: &[String]) {
    let fixture = Fixture::start(&SETTINGS);
    let mut owner = pipelining_client(&fixture, 2, &query(&write(7, 8000)));
    let running = fixture.replica.next_statement();
    for copy in copies {
        assert_refused_as_copy(&fixture.router.client().query(copy).expect("no answer"));
    }
    running.answer("first");
    fixture.primary.next_statement().answer("own");
    assert_served(&mut owner, "first");
    assert_served(&mut owner, "own");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a write that runs twice: its copy waits in a pipeline itself, and its turn comes only once the write is answered
/// and its id looks new.
#[rstest]
#[case::of_a_write_in_flight(false)]
#[case::of_a_pipelined_write(true)]
fn a_copy_that_waits_in_a_pipeline_is_refused_after_the_write_is_answered(#[case] owner_waits: bool) {
    let fixture = Fixture::start(&SETTINGS);
    let (mut owner, owner_read) = if owner_waits {
        let owner = pipelining_client(&fixture, 2, &query(&write(7, 8000)));
        (owner, Some(fixture.replica.next_statement()))
    } else {
        let mut owner = fixture.router.client();
        owner.send(&write(7, 8000)).expect("query could not be sent");
        (owner, None)
    };
    let own_write = if owner_waits { None } else { Some(fixture.primary.next_statement()) };
    let mut copier = pipelining_client(&fixture, 3, &query(&write(7, 8000)));
    let copier_read = fixture.replica.next_statement();
    if let Some(owner_read) = owner_read {
        owner_read.answer("first");
        assert_served(&mut owner, "first");
    }
    own_write.unwrap_or_else(|| fixture.primary.next_statement()).answer("own");
    assert_served(&mut owner, "own");
    copier_read.answer("copier's");
    assert_served(&mut copier, "copier's");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a write that runs twice as its client sends it twice at once.
#[test]
fn the_second_of_two_statements_with_one_id_in_a_pipeline_is_refused() {
    let fixture = Fixture::start(&SETTINGS);
    let behind = [query(&write(7, 8000)), query(&write(7, 8000)), query(&write(8, 8000))].concat();
    let mut owner = pipelining_client(&fixture, 2, &behind);
    fixture.replica.next_statement().answer("first");
    fixture.primary.next_statement().answer("own");
    fixture.primary.next_statement().answer("next");
    assert_served(&mut owner, "first");
    assert_served(&mut owner, "own");
    assert_refused_as_copy(&owner.read_answer().expect("no answer"));
    assert_served(&mut owner, "next");
}

/// How a pipelined write ends without having run.
#[derive(Clone, Copy, Debug)]
enum EndWithoutRunning {
    ClientCloses,
    RefusedAtItsTurn,
    BehindAnUnsupportedMessage,
    BehindTerminate,
    NotWhole,
}

impl EndWithoutRunning {
    /// The bytes that a client sends behind its read.
    fn pipeline(self) -> Vec<u8> {
        let whole = query(&write(7, 8000));
        match self {
            EndWithoutRunning::ClientCloses => whole,
            EndWithoutRunning::RefusedAtItsTurn => query(&write(7, 8000).replace("c=put", "c=unknown")),
            EndWithoutRunning::BehindAnUnsupportedMessage => [message(b'S', b""), whole].concat(),
            EndWithoutRunning::BehindTerminate => [message(b'X', b""), whole].concat(),
            EndWithoutRunning::NotWhole => whole[..whole.len() - 1].to_vec(),
        }
    }
}

/// Guards against an id that is never released, so that a sound client that sends the statement again is refused for ever.
#[rstest]
fn the_id_of_a_pipelined_write_that_does_not_run_can_be_used_again(
    #[values(
        EndWithoutRunning::ClientCloses,
        EndWithoutRunning::RefusedAtItsTurn,
        EndWithoutRunning::BehindAnUnsupportedMessage,
        EndWithoutRunning::BehindTerminate,
        EndWithoutRunning::NotWhole
    )]
    end: EndWithoutRunning,
) {
    let fixture = Fixture::start(&SETTINGS);
    let mut first = pipelining_client(&fixture, 2, &end.pipeline());
    let address = first.socket.local_addr().expect("no address");
    let running = fixture.replica.next_statement();
    if matches!(end, EndWithoutRunning::ClientCloses) {
        drop(first);
        wait_until_closed(fixture.router.address, address);
        running.answer("unread");
    } else {
        running.answer("first");
        assert_served(&mut first, "first");
        if !matches!(end, EndWithoutRunning::NotWhole | EndWithoutRunning::BehindTerminate) {
            assert!(matches!(first.receive_message(), Ok((b'E', _))), "no error");
        }
    }
    let mut second = fixture.router.client();
    second.send(&write(7, 8000)).expect("query could not be sent");
    fixture.primary.next_statement().answer("again");
    assert_served(&mut second, "again");
}

/// Guards against a write that runs twice: it waits behind more messages than its client's share of an iteration.
#[test]
fn a_copy_of_a_write_behind_its_clients_share_is_refused() {
    const EMPTY_QUERIES: usize = 400;
    let mut router = InProcessRouter::start();
    let (mut copier, mut owner) = (router.client(), router.client());
    copier.read_answer().expect("no greeting");
    owner.read_answer().expect("no greeting");
    let mut texts = vec![String::new(); EMPTY_QUERIES];
    texts.push(write(7, 8000));
    send_pipelined(&mut owner, &texts);
    router.poll_once();
    copier.send(&write(7, 8000)).expect("query could not be sent");
    router.poll_for(Duration::from_millis(100));
    router.next_statement(|router| &router.primary).answer("own");
    router.poll_for(Duration::from_millis(100));
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
    (0..EMPTY_QUERIES).for_each(|_| assert_eq!(owner.read_answer().expect("no answer"), "empty"));
    assert_served(&mut owner, "own");
}

/// Guards against a write that runs twice: its copy was sent while it was open, and is complete only after its answer.
#[test]
fn a_copy_that_is_complete_after_the_answer_is_refused() {
    let fixture = Fixture::start(&SETTINGS);
    let (mut owner, mut copier) = (fixture.router.client(), fixture.router.client());
    let copy = query(&write(7, 8000));
    let (all_but_the_last_byte, last_byte) = copy.split_at(copy.len() - 1);
    owner.send(&write(7, 8000)).expect("query could not be sent");
    let own_write = fixture.primary.next_statement();
    copier.socket.write_all(all_but_the_last_byte).expect("query could not be sent");
    own_write.answer("own");
    assert_served(&mut owner, "own");
    copier.socket.write_all(last_byte).expect("query could not be sent");
    let answer = copier.read_answer().expect("no answer");
    assert!(answer.contains("C40003"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a write that runs twice: its copy was sent while it was open, and is found in one iteration with its answer.
#[test]
fn a_copy_that_is_found_with_the_answer_is_refused() {
    let fixture = Fixture::start(&SETTINGS);
    let (mut owner, mut copier) = (fixture.router.client(), fixture.router.client());
    let copier_address = copier.socket.local_addr().expect("no address");
    owner.send(&write(7, 8000)).expect("query could not be sent");
    let own_write = fixture.primary.next_statement();
    fixture.router.signal("-STOP");
    copier.send(&write(7, 8000)).expect("query could not be sent");
    wait_until_unread_at_router(fixture.router.address, copier_address);
    own_write.answer("own");
    wait_until_unread_from(fixture.primary.address);
    fixture.router.signal("-CONT");
    assert_served(&mut owner, "own");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a write that runs twice: it may have run, its client was told so, and its copy is read after that.
#[test]
fn a_copy_that_is_read_after_an_abort_is_refused() {
    let fixture = Fixture::start(&SETTINGS);
    let mut owner = fixture.router.client();
    owner.send(&write(7, 8000)).expect("query could not be sent");
    fixture.primary.next_statement().fail("XX000");
    assert!(owner.read_answer().expect("no answer").contains("C40003"));
    let answer = fixture.router.client().query(&write(7, 8000)).expect("no answer");
    assert!(answer.contains("C40003"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a write that runs twice: the router reads the last byte of the write only after its copy has run, so the copy is
/// the first of them to it.
#[test]
fn a_write_that_becomes_complete_after_its_copy_ran_is_not_sent() {
    let fixture = Fixture::start(&SETTINGS);
    let whole = query(&write(7, 8000));
    let (all_but_the_last_byte, last_byte) = whole.split_at(whole.len() - 1);
    let mut owner = pipelining_client(&fixture, 2, all_but_the_last_byte);
    let running = fixture.replica.next_statement();
    let mut copier = fixture.router.client();
    copier.send(&write(7, 8000)).expect("query could not be sent");
    fixture.primary.next_statement().answer("copier's");
    assert_served(&mut copier, "copier's");
    owner.socket.write_all(last_byte).expect("query could not be sent");
    running.answer("first");
    assert_served(&mut owner, "first");
    let answer = owner.read_answer().expect("no answer");
    assert!(answer.contains("C40003"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a sound client that is refused: its write was rejected and certainly did not run, or it sends a read again.
#[rstest]
#[case::rejected_write(write(7, 400), true)]
#[case::answered_read(read(7, 8000), false)]
fn an_id_without_an_effect_can_be_used_again_after_the_answer(
    #[case] text: String,
    #[case] is_rejected: bool,
) {
    let fixture = Fixture::start(&SETTINGS);
    let endpoint = if is_rejected { &fixture.primary } else { &fixture.replica };
    let mut owner = fixture.router.client();
    owner.send(&text).expect("query could not be sent");
    if is_rejected {
        while let Some(attempt) = endpoint.next_within(Duration::from_millis(600)) {
            attempt.fail("53300");
        }
        assert!(owner.read_answer().expect("no answer").contains("C53300"));
    } else {
        endpoint.next_statement().answer("first");
        assert_served(&mut owner, "first");
    }
    let mut second = fixture.router.client();
    second.send(&text.replace("d=400", "d=8000")).expect("query could not be sent");
    endpoint.next_statement().answer("again");
    assert_served(&mut second, "again");
}

/// Guards against a write that runs twice: it was left at the socket, behind more than is read of a client at a time, although there
/// was memory for it.
#[test]
fn a_copy_of_a_write_far_back_in_a_pipeline_is_refused() {
    const READS: u32 = 400;
    let fixture = Fixture::start(&SETTINGS);
    let (mut owner, mut copier) = (fixture.router.client(), fixture.router.client());
    let address = owner.socket.local_addr().expect("no address");
    let mut texts: Vec<String> = (0..READS).map(|number| read(100 + number, 8000)).collect();
    texts.push(write(7, 8000));
    // All of it arrives at once, so the socket becomes ready once.
    fixture.router.signal("-STOP");
    send_pipelined(&mut owner, &texts);
    wait_until_unread_at_router(fixture.router.address, address);
    fixture.router.signal("-CONT");
    let running = fixture.replica.next_statement();
    // Long enough to read the rest, and shorter than the timer of the connection, with which it was read before.
    std::thread::sleep(WATCHED);
    assert_refused_as_copy(&copier.query(&write(7, 8000)).expect("no answer"));
    running.answer("read");
    (1..READS).for_each(|_| fixture.replica.next_statement().answer("read"));
    fixture.primary.next_statement().answer("own");
    (0..READS).for_each(|_| assert_served(&mut owner, "read"));
    assert_served(&mut owner, "own");
}

/// Guards against a copy that is taken for the first statement as its connection has the lower number: both are found in one
/// iteration, and the one that arrived first keeps the id.
#[test]
fn of_two_statements_found_in_one_iteration_the_earlier_one_keeps_the_id() {
    let mut router = InProcessRouter::start();
    let (mut copier, mut owner) = (router.client(), router.client());
    copier.read_answer().expect("no greeting");
    owner.read_answer().expect("no greeting");
    owner.send(&write(7, 8000)).expect("query could not be sent");
    copier.send(&write(7, 8000)).expect("query could not be sent");
    router.next_statement(|router| &router.primary).answer("own");
    router.poll_for(Duration::from_millis(100));
    assert_served(&mut owner, "own");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
}

/// Guards against a copy that is taken for the first statement as it lies in the listen backlog of a router that drains: what open
/// connections have sent is read first.
#[test]
fn a_copy_in_the_listen_backlog_of_a_draining_router_is_refused() {
    let mut router = InProcessRouter::start();
    let mut owner = router.client();
    owner.read_answer().expect("no greeting");
    owner.send(&write(7, 8000)).expect("query could not be sent");
    let mut copier = router.connect();
    copier.send(&write(7, 8000)).expect("query could not be sent");
    router.event_loop.drain();
    router.next_statement(|router| &router.primary).answer("own");
    router.poll_for(Duration::from_millis(100));
    assert_served(&mut owner, "own");
    copier.read_answer().expect("no greeting");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
}

/// Guards against a write that runs twice: memory for reading ahead is used up, so the router does not know the write as its copy
/// comes. The copy is served, and the write is not sent at its turn.
#[test]
fn a_write_left_unread_as_memory_is_short_does_not_run_after_its_copy() {
    const LONG_NAME_BYTES: usize = 100_000;
    let small_memory = ("\"memory_mb\": 192", "\"memory_mb\": 32");
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME, small_memory]);
    let long_read =
        |number| read(number, 8000).replace("'1f'", &format!("'{}'", "1".repeat(LONG_NAME_BYTES)));
    let mut fillers = Vec::new();
    for first in [1000, 2000, 3000] {
        let mut client = fixture.router.client();
        client.send(&read(first, 8000)).expect("query could not be sent");
        fillers.push((fixture.replica.next_statement(), client));
    }
    for ((_, client), first) in fillers.iter_mut().zip([1001, 2001, 3001]) {
        let texts: Vec<String> = (first..first + 18).map(long_read).collect();
        send_pipelined(client, &texts);
    }
    let mut owner = fixture.router.client();
    let address = owner.socket.local_addr().expect("no address");
    owner.send(&read(2, 8000)).expect("query could not be sent");
    let running = fixture.replica.next_statement();
    let mut behind: Vec<String> = (100..112).map(long_read).collect();
    behind.push(write(7, 8000));
    send_pipelined(&mut owner, &behind);
    std::thread::sleep(WATCHED);
    assert!(!may_have_read_all(fixture.router.address, address), "there was memory to read all");
    let mut copier = fixture.router.client();
    copier.send(&write(7, 8000)).expect("query could not be sent");
    fixture.primary.next_statement().answer("copier's");
    assert_served(&mut copier, "copier's");
    running.answer("read");
    (0..12).for_each(|_| fixture.replica.next_statement().answer("read"));
    (0..13).for_each(|_| assert_served(&mut owner, "read"));
    let answer = owner.read_answer().expect("no answer");
    assert!(answer.contains("C40003"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a copy that is taken for the first statement as its connection was accepted first: the system reports new
/// connections in the order in which they were accepted, whichever sent first since then.
#[test]
fn of_two_statements_on_connections_just_accepted_the_earlier_one_keeps_the_id() {
    let mut router = InProcessRouter::start();
    let (mut copier, mut owner) = (router.connect(), router.connect());
    router.poll_once();
    copier.read_answer().expect("no greeting");
    owner.read_answer().expect("no greeting");
    owner.send(&write(7, 8000)).expect("query could not be sent");
    copier.send(&write(7, 8000)).expect("query could not be sent");
    router.next_statement(|router| &router.primary).answer("own");
    router.poll_for(Duration::from_millis(100));
    assert_served(&mut owner, "own");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
}

/// Where two statements with one id lie unread. The copy's connection is the one that the system reports first.
#[derive(Clone, Copy, Debug)]
enum Unread {
    /// On two open connections, and the copy was begun before the write was sent.
    CopyBegunFirst,
    /// The write in the listen backlog, the copy on an open connection.
    WriteInBacklog,
    /// Both in the listen backlog.
    BothInBacklog,
}

impl Unread {
    /// Connects the copier and the owner.
    fn connect(self, router: &mut InProcessRouter) -> (Client, Client) {
        match self {
            Unread::CopyBegunFirst => (router.client(), router.client()),
            Unread::WriteInBacklog => (router.client(), router.connect()),
            Unread::BothInBacklog => (router.connect(), router.connect()),
        }
    }
}

/// Guards against a copy that is taken for the first statement as its connection is read first: the statement that was complete
/// first keeps the id.
#[rstest]
fn of_two_unread_statements_the_one_complete_first_keeps_the_id(
    #[values(Unread::CopyBegunFirst, Unread::WriteInBacklog, Unread::BothInBacklog)] unread: Unread,
    #[values(false, true)] drains: bool,
) {
    let mut router = InProcessRouter::start();
    let (mut copier, mut owner) = unread.connect(&mut router);
    let copy = query(&write(7, 8000));
    let begun = if matches!(unread, Unread::CopyBegunFirst) { copy.len() / 2 } else { 0 };
    copier.socket.write_all(&copy[..begun]).expect("query could not be sent");
    owner.send(&write(7, 8000)).expect("query could not be sent");
    copier.socket.write_all(&copy[begun..]).expect("query could not be sent");
    if drains {
        router.event_loop.drain();
    }
    router.next_statement(|router| &router.primary).answer("own");
    router.poll_for(Duration::from_millis(100));
    owner.read_answer().expect("no greeting");
    copier.read_answer().expect("no greeting");
    assert_served(&mut owner, "own");
    assert_refused_as_copy(&copier.read_answer().expect("no answer"));
}
