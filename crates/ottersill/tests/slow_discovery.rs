//! A discovery that takes up to its own limit of 2 s for an answer, on scripted peers: each order of events is forced. What it
//! reports is acted on, whichever kind of call it answers, and is not undone by the answer to an older call.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{DiscoveryCall, ScriptedDiscovery};
use rstest::rstest;
use support::*;

/// Almost as long as discovery may take for an answer (the bench page: `timeout_ms = 2000`).
const SLOW_ANSWER: Duration = Duration::from_millis(1950);
/// How long the router lets discovery hold a long poll.
const LONG_POLL: Duration = Duration::from_secs(2);
/// Time limit from when an answer is written until the router asks for newer lists.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The pages allow this time from SIGHUP until what the new discovery has counts as known.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// Open calls that a router may have, as docs/design.md states.
const MAX_OPEN_CALLS: usize = 20;

/// The call of the router that discovery answers slowly.
#[derive(Clone, Copy, Debug)]
enum SlowCall {
    /// A long poll, which ends without a change.
    LongPoll,
    /// The call that follows a long poll whose connection was reset.
    AfterReset,
    /// The first call to the discovery that a new configuration names.
    AfterReload,
}

/// Takes the calls that arrive until `until`, and leaves them unanswered.
fn collect_calls(discovery: &ScriptedDiscovery, until: Instant) -> Vec<DiscoveryCall> {
    let mut calls = Vec::new();
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        calls.extend(discovery.next_within(left));
    }
    calls
}

/// Switches the router to another discovery by SIGHUP.
fn reload_with(fixture: &Fixture, other: &ScriptedDiscovery) {
    let text = std::fs::read_to_string(&fixture.router.config).expect("configuration could not be read");
    let text = text.replace(&fixture.discovery.address.to_string(), &other.address.to_string());
    std::fs::write(&fixture.router.config, text).expect("configuration could not be written");
    fixture.router.signal("-HUP");
}

/// Waits until a call asks for what is newer than this version.
fn wait_for_watch(discovery: &ScriptedDiscovery, version: u64) {
    let until = Instant::now() + READ_TIMEOUT;
    let newer_than = format!("since={version}&");
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        let Some(call) = discovery.next_within(left) else { break };
        if call.request_line.contains(&newer_than) {
            return;
        }
    }
    panic!("the list of version {version} was not acted on within {READ_TIMEOUT:?}");
}

/// Guards against a call that is closed before a slow discovery answers it (review/10): each call was closed at the latest 1.25 s
/// after its due time, so no answer was ever read and a draining endpoint was sent statements without end.
#[rstest]
fn an_answer_that_takes_almost_two_seconds_is_acted_on(
    #[values(SlowCall::LongPoll, SlowCall::AfterReset, SlowCall::AfterReload)] slow_call: SlowCall,
) {
    let fixture = Fixture::start(&[]);
    let other = ScriptedDiscovery::start().expect("discovery did not start");
    let mut call = fixture.discovery.next_call();
    let mut discovery = &fixture.discovery;
    let mut due_at = call.received_at;
    match slow_call {
        SlowCall::LongPoll => due_at += LONG_POLL,
        SlowCall::AfterReset => {
            call.reset();
            call = discovery.next_call();
            due_at = call.received_at + LONG_POLL;
        }
        SlowCall::AfterReload => {
            reload_with(&fixture, &other);
            discovery = &other;
            call = discovery.next_call();
            due_at = call.received_at;
        }
    }
    let others = collect_calls(discovery, due_at + SLOW_ANSWER);
    assert!(others.len() < MAX_OPEN_CALLS, "{} calls", others.len());
    call.answer(&fixture.endpoint_list(2, "active", "leaving"));
    wait_for_watch(discovery, 2);
    fixture.assert_read_avoids_draining_replica();
    drop(others);
}

/// Guards against an answer to an older call that undoes a newer one: the calls are answered in the reverse order, the oldest
/// last, with the list of the time at which it was sent.
#[test]
fn an_older_answer_that_arrives_last_does_not_undo_a_drain() {
    let fixture = Fixture::start(&[]);
    let oldest = fixture.discovery.next_call();
    let second = fixture.discovery.next_call();
    let newest = fixture.discovery.next_call();
    newest.answer(&fixture.endpoint_list(4, "active", "leaving"));
    wait_for_watch(&fixture.discovery, 4);
    second.answer(&fixture.endpoint_list(3, "active", "active"));
    oldest.answer(&fixture.endpoint_list(2, "active", "active"));
    thread::sleep(Duration::from_millis(200));
    fixture.assert_read_avoids_draining_replica();
}

/// Guards against a newer answer that is thrown away because one to a later call came before it: both calls are kept.
#[test]
fn a_newer_answer_to_an_older_call_is_acted_on() {
    let fixture = Fixture::start(&[]);
    let oldest = fixture.discovery.next_call();
    let newest = fixture.discovery.next_call();
    newest.answer(&fixture.endpoint_list(2, "active", "active"));
    wait_for_watch(&fixture.discovery, 2);
    oldest.answer(&fixture.endpoint_list(3, "active", "leaving"));
    thread::sleep(Duration::from_millis(200));
    fixture.assert_read_avoids_draining_replica();
}

/// Guards against a list that is never acted on because its transfer takes longer than a call is kept: bytes arrive all the
/// time, over six seconds.
#[test]
fn a_list_that_arrives_slowly_is_acted_on() {
    let fixture = Fixture::start(&[]);
    let mut call = fixture.discovery.next_call();
    let list = fixture.endpoint_list(2, "active", "leaving");
    call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len()));
    let pieces: Vec<&str> = list.split_inclusive(',').collect();
    let pause = Duration::from_secs(6) / u32::try_from(pieces.len()).expect("too many pieces");
    let mut others = Vec::new();
    for piece in &pieces {
        others.extend(collect_calls(&fixture.discovery, Instant::now() + pause));
        call.write(piece);
    }
    assert!(others.len() <= 3, "{} calls beside the transfer", others.len());
    // The next request follows on the connection of the list.
    drop(others);
    call.serve_next();
    wait_for_watch(&fixture.discovery, 2);
    fixture.assert_read_avoids_draining_replica();
}

/// Guards against a discovery that restarts and counts its versions anew: its lists were taken as changes after a version that it
/// does not know, so what had changed up to its present version was never known.
#[test]
fn the_complete_list_is_requested_when_versions_begin_anew() {
    let fixture = Fixture::start(&[]);
    fixture.discovery.serve_list(40, &fixture.endpoint_list(40, "active", "active"));
    let watch = fixture.discovery.next_call();
    watch.answer(r#"{"seq":3,"whole":false,"hosts":[]}"#);
    let next = fixture.discovery.next_call();
    assert!(!next.request_line.contains("since="), "{}", next.request_line);
    next.answer(&fixture.endpoint_list(3, "active", "leaving"));
    wait_for_watch(&fixture.discovery, 3);
    fixture.assert_read_avoids_draining_replica();
}

/// A discovery that was named by SIGHUP, is silent at first and slow after that, has to be heard within four seconds of the signal.
/// It answers only calls that arrive after its return.
#[test]
fn a_new_discovery_that_is_silent_and_then_slow_is_heard_in_time() {
    let fixture = Fixture::start(&[]);
    let other = ScriptedDiscovery::start().expect("discovery did not start");
    let signalled = Instant::now();
    reload_with(&fixture, &other);
    let forgotten = collect_calls(&other, signalled + Duration::from_millis(1500));
    let call = other.next_call();
    let others = collect_calls(&other, call.received_at + SLOW_ANSWER);
    call.answer(&fixture.endpoint_list(1, "active", "leaving"));
    wait_for_watch(&other, 1);
    assert!(signalled.elapsed() < RELOAD_LIMIT, "{:?}", signalled.elapsed());
    fixture.assert_read_avoids_draining_replica();
    drop((forgotten, others));
}
