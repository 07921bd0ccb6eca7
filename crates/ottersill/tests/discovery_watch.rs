//! The watch on discovery under failures: a new endpoint list is applied in time, whichever calls were refused,
//! truncated or abandoned before.

mod support;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{ScriptedDiscovery, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::Client;
use rstest::rstest;
use support::machine::{time_without_stalls, time_without_stalls_since};
use support::*;

/// The time that the service page allows from when discovery has an update to when the update counts as delivered.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);

/// How discovery fails a call of the router.
#[derive(Clone, Copy, Debug)]
enum CallFailure {
    /// Keeps the connection open and sends nothing.
    Silent,
    Resets,
    Closes,
    /// Sends a list in which the endpoint drains and that ends in the middle; holds a header, and whether the
    /// connection is reset.
    Truncates(&'static str, bool),
    Refuses,
}

/// No part of a truncated list is applied, whether it has no length or comes in chunks and whether the connection is
/// closed or reset. Whichever calls fail before, an update counts as delivered within six seconds; also where discovery
/// answers later than calls follow each other, or this test is stalled as it answers, so that the router has abandoned
/// the call by then.
#[rstest]
#[case::silent(&[CallFailure::Silent])]
#[case::silent_twice(&[CallFailure::Silent, CallFailure::Silent])]
#[case::silent_three_times(&[CallFailure::Silent, CallFailure::Silent, CallFailure::Silent])]
#[case::reset(&[CallFailure::Resets, CallFailure::Resets, CallFailure::Resets])]
#[case::ended(&[CallFailure::Closes, CallFailure::Closes])]
#[case::silent_then_reset(&[CallFailure::Silent, CallFailure::Resets, CallFailure::Silent])]
#[case::refused(&[CallFailure::Silent, CallFailure::Refuses, CallFailure::Refuses])]
#[case::no_length_reset(&[CallFailure::Truncates("", true), CallFailure::Truncates("", true)])]
#[case::no_length_ended(&[CallFailure::Truncates("", false), CallFailure::Silent])]
#[case::length_ended(&[CallFailure::Truncates("Content-Length: 4000\r\n", false)])]
#[case::chunks_reset(&[CallFailure::Truncates("Transfer-Encoding: chunked\r\n", true), CallFailure::Silent])]
fn list_is_applied_in_time_after_failed_calls(
    #[case] failures: &[CallFailure],
    #[values(Duration::ZERO, Duration::from_millis(300))] answered_after: Duration,
) {
    let fixture = Fixture::start(&[]);
    let drains = fixture.endpoint_list(2, "active", "leaving");
    let started = Instant::now();
    let mut silent = Vec::new();
    for failure in failures {
        let mut call = fixture.discovery.next_call();
        match failure {
            CallFailure::Silent => silent.push(call),
            CallFailure::Resets => call.reset(),
            CallFailure::Closes => call.close(),
            CallFailure::Refuses => {
                call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                silent.push(call);
            }
            CallFailure::Truncates(header, reset) => {
                let chunk = if header.contains("chunked") { "fff\r\n" } else { "" };
                let list = drains.replace("active", "leaving");
                // All of one endpoint, and half of the next.
                let part = &list[..list.len() - 40];
                call.write(&format!("HTTP/1.1 200 OK\r\n{header}\r\n{chunk}{part}"));
                // Lets the data arrive before the end of the connection; a reset would discard it.
                thread::sleep(Duration::from_millis(20));
                if *reset { call.reset() } else { call.close() }
            }
        }
    }
    let mut call = fixture.discovery.next_within(MAX_UPDATE_DELAY).expect("no further call to discovery");
    // No truncated list has advanced the version.
    assert!(!call.request_line.contains("since=2"), "{}", call.request_line);
    // A call may be abandoned before it is answered, so the next one is answered too. Once the router has read an
    // answer, it asks for newer lists.
    while !call.request_line.contains("since=2") {
        let drains = drains.clone();
        thread::spawn(move || {
            thread::sleep(answered_after);
            call.answer(&drains);
        });
        call = fixture.discovery.next_within(MAX_UPDATE_DELAY).expect("no further call to discovery");
    }
    let update_delay = time_without_stalls(started, call.received_at);
    assert!(update_delay < MAX_UPDATE_DELAY, "{update_delay:?}");
    fixture.assert_read_avoids_draining_replica();
}

/// A complete list without a length is applied as soon as discovery ends the connection.
#[test]
fn complete_list_without_length_is_applied() {
    let fixture = Fixture::start(&[]);
    let mut call = fixture.discovery.next_call();
    call.write(&format!("HTTP/1.1 200 OK\r\n\r\n{}", fixture.endpoint_list(2, "active", "leaving")));
    call.close();
    let next = fixture.discovery.next_call();
    assert!(next.request_line.contains("since=2"), "{}", next.request_line);
}

/// A second copy of a list crosses the next call on its connection and is taken as the answer to it. It changes nothing, and the
/// next list is applied.
#[test]
fn a_second_copy_of_a_list_hides_no_later_list() {
    let fixture = Fixture::start(&[]);
    let unchanged = fixture.endpoint_list(2, "active", "active");
    let mut call = fixture.discovery.next_call();
    call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{unchanged}", unchanged.len()));
    call.answer(&unchanged);
    fixture.discovery.serve_list(3, &fixture.endpoint_list(3, "active", "leaving"));
    fixture.assert_read_avoids_draining_replica();
}

/// Guards against learning of draining endpoints after their drain grace: discovery is down for some seconds and
/// answers no call that arrived meanwhile. With one call each second, drains were known 0.8 s late, while attempts may
/// be sent for 0.25 s.
#[test]
fn unanswered_calls_follow_each_other_within_the_drain_grace() {
    let fixture = Fixture::start(&[]);
    let mut silent = vec![fixture.discovery.next_call(), fixture.discovery.next_call()];
    for _ in 0..10 {
        let next = fixture.discovery.next_call();
        let gap = time_without_stalls(silent.last().expect("no earlier call").received_at, next.received_at);
        // Half of the grace, as the machine may be busy.
        assert!(gap < Duration::from_millis(250), "{gap:?}");
        silent.push(next);
    }
}

/// Guards against abandoning an earlier call: discovery was down and then answers the call that has been open for
/// longest, and its list has to be applied at once.
#[test]
fn late_answer_to_an_earlier_call_is_applied() {
    let fixture = Fixture::start(&[]);
    let watch = fixture.discovery.next_call();
    let next = fixture.discovery.next_call();
    watch.answer(&fixture.endpoint_list(2, "active", "leaving"));
    let after = fixture.discovery.next_call();
    assert!(after.request_line.contains("since=2"), "{}", after.request_line);
    drop(next);
}

/// The router is switched by SIGHUP to a discovery that accepts connections and sends nothing at first; its list has to
/// be delivered within four seconds of the signal.
#[test]
fn list_of_a_new_discovery_that_is_silent_at_first_is_applied_in_time() {
    let fixture = Fixture::start(&[]);
    let other = ScriptedDiscovery::start().expect("discovery did not start");
    let text =
        std::fs::read_to_string(&fixture.router.config).expect("reading or writing the configuration failed");
    let text = text.replace(&fixture.discovery.address.to_string(), &other.address.to_string());
    std::fs::write(&fixture.router.config, text).expect("reading or writing the configuration failed");
    let started = Instant::now();
    fixture.router.signal("-HUP");
    let silent = [other.next_call(), other.next_call()];
    other.serve_list(1, &fixture.endpoint_list(1, "active", "leaving"));
    let took = time_without_stalls_since(started);
    assert!(took < Duration::from_secs(4), "{took:?}");
    assert!(other.next_call().request_line.contains("since=1"));
    drop(silent);
}

/// Guards against a busy loop where a discovery agent answers each watch at once with an unchanged list.
#[test]
fn watch_that_is_answered_at_once_is_repeated_after_a_pause() {
    let fixture = Fixture::start(&[]);
    let list = fixture.endpoint_list(1, "active", "active");
    let started = Instant::now();
    (0..5).for_each(|_| fixture.discovery.next_call().answer(&list));
    assert!(started.elapsed() > Duration::from_millis(300), "{:?}", started.elapsed());
}

/// Idle clients hold every connection that clients may hold, and the watch breaks. Guards against a router without a
/// descriptor left to connect to discovery, or to an endpoint for a statement.
#[test]
fn idle_clients_do_not_block_discovery() {
    let discovery = ScriptedDiscovery::start().expect("discovery did not start");
    let endpoint = ScriptedEndpoint::start(true).expect("endpoint did not start");
    let text = config_text(discovery.address, &[("\"sockets\": 1024", "\"sockets\": 40")]);
    let router = Router::spawn(&text, Some(40));
    let endpoints = [("one", endpoint.address, "active")];
    discovery.serve_list(1, &endpoint_list(1, &endpoints));
    let router = router.wait_until_ready();
    let idle_clients: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect(router.address).expect("connecting failed")).collect();
    for _ in 0..3 {
        discovery.next_call().reset();
    }
    let silent = [discovery.next_call(), discovery.next_call(), discovery.next_call()];
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", router.process.id()))
        .expect("descriptors of the router cannot be listed")
        .count();
    assert!(descriptors <= 40, "{descriptors}");
    discovery.serve_list(2, &endpoint_list(2, &endpoints));
    assert!(discovery.next_call().request_line.contains("since=2"));
    let mut client = Client::connect(router.address).expect("connecting failed");
    client.socket.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout failed");
    client.send(&write(7, 2000)).expect("sending the query failed");
    endpoint.next_statement().answer("served");
    assert_eq!(client.next_row_or_error(), "row:served");
    drop((idle_clients, silent));
}

/// A router that starts while discovery is down, and without an earlier list, is ready within ten seconds and rejects
/// statements at once, as they were never sent.
#[test]
fn router_without_a_list_is_ready_and_rejects_statements() {
    let discovery = ScriptedDiscovery::start().expect("discovery did not start");
    let started = Instant::now();
    let router = Router::spawn(&config_text(discovery.address, &[]), None).wait_until_ready();
    let took = time_without_stalls_since(started);
    assert!(took < Duration::from_secs(10), "{took:?}");
    let mut client = router.client();
    assert_eq!(client.query(&read(7, 2000)).expect("no answer from the router"), "C53300 D500");
    assert_eq!(client.query("").expect("no answer from the router"), "empty");
}
