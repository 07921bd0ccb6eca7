//! Floods: much input of some sources is there when a usual client's request arrives. The event loop is polled by the test, so
//! that the order is the same every time.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use ottersill::loop_statistics::SourceKind;
use ottersill_testkit::flood::FloodInput;
use ottersill_testkit::stand_in::{Client, message};
use rstest::rstest;
use support::in_process::InProcessRouter;
use support::*;

/// Messages of other sources that may be handled before a usual request is. A request may wait 20 ms, in some four iterations, and
/// a small message takes up to 10 us: 500 messages an iteration.
const MAX_MESSAGES_AHEAD: u64 = 500;
/// Batches of 16 KiB that a flooding client has sent: as much as the router reads at once.
const BATCHES: usize = 4;

/// Connects a client that will send a flood.
fn connect(router: &InProcessRouter) -> TcpStream {
    let socket = TcpStream::connect(router.address).expect("connection failed");
    socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
    socket
}

/// Sends a flood.
fn flood(socket: &mut TcpStream, input: FloodInput) {
    let mut bytes = input.preamble();
    (0..BATCHES).for_each(|_| bytes.extend(input.batch()));
    socket.write_all(&bytes).expect("flood could not be sent");
}

/// Sends a read that the router finds together with the floods.
fn send_read(router: &InProcessRouter, client: &mut Client) {
    client.send(&read(7, 8000)).expect("query could not be sent");
    wait_until_unread_at_router(router.address, client.socket.local_addr().expect("no address"));
}

/// Returns the number of messages that the event loop has handled so far.
fn messages_handled(router: &mut InProcessRouter) -> u64 {
    let statistics = &router.event_loop.context().statistics;
    let kinds = [
        SourceKind::Discovery,
        SourceKind::Fleet,
        SourceKind::Control,
        SourceKind::Backend,
        SourceKind::Client,
        SourceKind::Listener,
        SourceKind::Timer,
    ];
    kinds.into_iter().map(|kind| statistics.totals(kind).messages).sum()
}

/// Polls until the client's read is handled, and asserts that few messages were handled until then.
fn assert_handled_soon(router: &mut InProcessRouter, client: &Client, handled_before: u64) {
    router.poll_until("the read is handled", |router| router.is_busy(client));
    let ahead = messages_handled(router) - handled_before;
    assert!(ahead <= MAX_MESSAGES_AHEAD, "{ahead} messages were handled before the read");
}

/// Guards against an iteration of the event loop that lasts until all input of flooding clients is handled, while the requests
/// of others wait unread.
#[rstest]
fn a_read_is_handled_after_few_messages_of_flooding_clients(
    #[values(
        FloodInput::TlsRequests,
        FloodInput::EmptyQueries,
        FloodInput::SemicolonQueries,
        FloodInput::DiscardAll,
        FloodInput::SetNames,
        FloodInput::Unparsable,
        FloodInput::WithoutComment
    )]
    input: FloodInput,
    #[values(1, 20)] flooders: usize,
) {
    let mut router = InProcessRouter::start();
    // The flooding clients are accepted first, and so handled first.
    let mut floods: Vec<TcpStream> = (0..flooders).map(|_| connect(&router)).collect();
    router.poll_until("the flooding clients are accepted", |router| {
        router.event_loop.clients().len() >= flooders
    });
    let mut usual = router.client();
    let before = messages_handled(&mut router);
    floods.iter_mut().for_each(|socket| flood(socket, input));
    send_read(&router, &mut usual);
    assert_handled_soon(&mut router, &usual, before);
}

/// Guards against an iteration that lasts until all clients in the accept backlog, and their input, are handled.
#[test]
fn a_read_of_a_new_client_is_handled_after_few_messages_of_clients_ahead_of_it_in_the_backlog() {
    let mut router = InProcessRouter::start();
    let before = messages_handled(&mut router);
    let mut floods: Vec<TcpStream> = (0..20).map(|_| connect(&router)).collect();
    floods.iter_mut().for_each(|socket| flood(socket, FloodInput::EmptyQueries));
    let mut usual = router.connect();
    send_read(&router, &mut usual);
    assert_handled_soon(&mut router, &usual, before);
}

/// Guards against an iteration that lasts until all messages of endpoints are handled, while the requests of clients wait unread.
#[test]
fn a_read_is_handled_after_few_messages_of_a_flooding_endpoint() {
    const PARAMETERS: usize = 6_000;
    let mut router = InProcessRouter::start();
    let (mut waiting, mut usual) = (router.client(), router.client());
    waiting.send(&write(8, 8000)).expect("query could not be sent");
    let mut running = router.next_statement(|router| &router.primary);
    let before = messages_handled(&mut router);
    running.send_parameters(PARAMETERS);
    wait_until_unread_from(router.primary.address);
    send_read(&router, &mut usual);
    assert_handled_soon(&mut router, &usual, before);
    running.answer("late");
    router.poll_until("all messages of the endpoint are handled", |router| {
        messages_handled(router) - before > PARAMETERS as u64
    });
}

/// Guards against an iteration that lasts until all pipelined statements of a client are rejected, as their time is over.
#[test]
fn pipelined_reads_whose_time_is_over_are_rejected_in_shares() {
    const READS: usize = 3_000;
    let mut router = InProcessRouter::start();
    let mut flooding = router.client();
    flooding.read_answer().expect("no greeting");
    let mut pipelined = Vec::new();
    (0..READS as u32).for_each(|number| {
        pipelined.extend(message(b'Q', format!("{}\0", read(100 + number, 1)).as_bytes()));
    });
    let mut sending = flooding.socket.try_clone().expect("socket could not be cloned");
    let sender = thread::spawn(move || sending.write_all(&pipelined));
    let (mut most, mut before) = (0, messages_handled(&mut router));
    router.poll_until("the last read is answered", |router| {
        let handled = messages_handled(router);
        most = most.max(handled - before);
        before = handled;
        let counters = &router.event_loop.context().counters;
        counters.rejected + counters.aborted + counters.completed >= READS as u64
    });
    sender.join().expect("sender panicked").expect("reads could not be sent");
    assert!(most <= MAX_MESSAGES_AHEAD, "{most} messages were handled in one iteration");
}

/// Guards against a flooding client that is starved or loses answers, as others are handled first.
#[test]
fn a_flooding_client_gets_all_its_answers_in_order() {
    const QUERIES: usize = 2_000;
    let mut router = InProcessRouter::start();
    let mut flooding = router.client();
    flooding.read_answer().expect("no greeting");
    for _ in 0..QUERIES {
        flooding.send("").expect("query could not be sent");
    }
    flooding.send(&read(9, 8000)).expect("query could not be sent");
    router.next_statement(|router| &router.replica).answer("last");
    router.poll_for(std::time::Duration::from_millis(50));
    for _ in 0..QUERIES {
        assert_eq!(flooding.read_answer().expect("no answer"), "empty");
    }
    assert_eq!(flooding.read_answer().expect("no answer"), "row:last SELECT 1");
}

/// Guards against a client that repeats a request that a connection needs once at most: it gets an error and a close.
#[rstest]
#[case::tls(FloodInput::TlsRequests)]
#[case::gss(FloodInput::GssRequests)]
fn a_repeated_request_for_encryption_is_rejected(#[case] input: FloodInput) {
    let mut router = InProcessRouter::start();
    let mut flooding = connect(&router);
    flood(&mut flooding, input);
    router.poll_for(std::time::Duration::from_millis(200));
    flooding.set_read_timeout(Some(std::time::Duration::from_millis(200))).expect("no read timeout");
    let mut received = Vec::new();
    let ended = flooding.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    assert!(ended.is_ok(), "the connection is not ended: {} bytes received", received.len());
    assert!(text.starts_with("NE") && text.contains("FATAL") && text.contains("C08P01"), "{text}");
}
