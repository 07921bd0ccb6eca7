//! Starting, reloading and stopping the router.

use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Behaviour, Client};
use rstest::rstest;

use crate::fixture::{
    TIMEOUT, config_text, read, read_with_id, start_service, start_store, wait_until, write,
};

/// Guards against closing a connection after the statement in flight, which loses the statements pipelined behind it.
#[test]
fn sigterm_answers_pipelined_statements() {
    let mut service = start_service(1024);
    let mut client = service.client();
    service.store.set_behaviour(0, Behaviour::NeverAnswers);
    client.send(&write("6f", 900)).expect("query could not be sent");
    client.send(&read(2000)).expect("query could not be sent");
    service.signal("-TERM");
    assert_eq!(client.read_answer().expect("no answer"), "C40003");
    assert_eq!(client.read_answer().expect("no answer"), "row:value SELECT 1");
    assert!(client.receive_message().is_err(), "the connection is still open");
    assert_eq!(service.wait_for_exit().0, Some(0));
}

/// Clients that wait in the listen backlog for lack of descriptors have sent their statements, which have to be answered.
#[test]
fn sigterm_answers_clients_in_the_listen_backlog() {
    let mut service = start_service(26);
    service.set_all_behaviours(Behaviour::NeverAnswers);
    let send_read = |number| {
        let mut client = Client::connect(service.router.address).expect("connection failed");
        client.socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
        client.send(&read_with_id(number, 1500)).expect("query could not be sent");
        client
    };
    let mut clients: Vec<Client> = (0..36).map(send_read).collect();
    service.signal("-TERM");
    let answers: Vec<String> = clients.iter_mut().map(Client::next_row_or_error).collect();
    assert!(answers.iter().all(|answer| answer == "C53300"), "{answers:?}");
    assert_eq!(service.wait_for_exit().0, Some(0));
}

/// The router accepts clients for a while after SIGTERM, and answers all statements that it has received.
#[test]
fn sigterm_answers_received_statements_and_exits() {
    let mut service = start_service(1024);
    let (mut waiting, mut idle) = (service.client(), service.client());
    service.set_all_behaviours(Behaviour::NeverAnswers);
    waiting.send(&read(1200)).expect("query could not be sent");
    service.signal("-TERM");
    let mut late = service.client();
    let answer = late.query(&read_with_id(1, 100)).expect("no answer");
    assert!(answer.starts_with("C53300"), "{answer}");
    assert!(idle.receive_message().is_err(), "the idle connection is still open");
    assert!(waiting.read_answer().expect("no answer").starts_with("C53300"));
    let (code, log) = service.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("shutdown requested")
            && log.contains(&format!(" statements={} ", service.requests_sent + 2))
            && log.contains("invariant_violations_total=0"),
        "{log}"
    );
}

#[test]
fn counters_are_printed_on_request() {
    let mut service = start_service(1024);
    service.signal("-USR1");
    thread::sleep(Duration::from_millis(100));
    service.signal("-TERM");
    let (_, log) = service.wait_for_exit();
    assert_eq!(log.matches("counters: ").count(), 2, "{log}");
}

/// After a stall the router reads what arrived meanwhile before it checks any timeouts.
#[test]
fn a_request_sent_to_a_stopped_router_is_served() {
    let service = start_service(1024);
    let mut client = service.client();
    service.signal("-STOP");
    client.send(&read(2000)).expect("query could not be sent");
    thread::sleep(Duration::from_millis(300));
    service.signal("-CONT");
    assert_eq!(client.read_answer().expect("no answer"), "row:value SELECT 1");
}

#[rstest]
#[case::missing(None, "NODE_CONFIG: environment variable not found")]
#[case::no_file(Some("/nonexistent/charter.json"), "No such file")]
fn a_missing_configuration_is_reported_in_one_line(#[case] path: Option<&str>, #[case] reason: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    command.env_remove("NODE_CONFIG");
    if let Some(path) = path {
        command.env("NODE_CONFIG", path);
    }
    let done = command.output().expect("router did not run");
    let stderr = String::from_utf8_lossy(&done.stderr);
    assert!(
        done.status.code() == Some(1) && stderr.lines().count() == 1 && stderr.contains(reason),
        "{stderr}"
    );
}

/// After a reload with another discovery address the router uses the lists of that discovery service only, and no statement fails.
#[rstest]
#[case::complete(&[])]
#[case::half_written_at_first(&["{\"name\":\"toy-router\",\"lis"])]
#[case::wrong_at_first(&["{}", ""])]
fn sighup_switches_to_the_discovery_in_the_configuration(#[case] written_before: &[&str]) {
    let mut service = start_service(1024);
    let mut waiting = service.client();
    service.store.set_behaviour(0, Behaviour::NeverAnswers);
    waiting.send(&write("6f", 1500)).expect("query could not be sent");
    let (other, discovery) = start_store();
    for text in written_before {
        std::fs::write(&service.router.config, text).expect("configuration could not be written");
        service.signal("-HUP");
        thread::sleep(Duration::from_millis(50));
    }
    std::fs::write(&service.router.config, config_text(discovery))
        .expect("configuration could not be written");
    if written_before.is_empty() {
        // Repeated signals request the same reload.
        (0..3).for_each(|_| service.signal("-HUP"));
    }
    let mut client = service.client();
    wait_until("an endpoint of the other discovery is used", || {
        assert!(client.query(&read(2000)).expect("no answer").starts_with("row:"));
        (0..3).any(|endpoint| !other.received(endpoint).is_empty())
    });
    // The old discovery has no effect any more.
    service.store.set_health(1, "leaving");
    other.set_health(2, "left");
    wait_until("the update of the new discovery takes effect", || {
        let before = other.received(2).len();
        (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("no answer").starts_with("row:")));
        other.received(2).len() == before
    });
    assert_eq!(waiting.read_answer().expect("no answer"), "C40003");
    service.signal("-TERM");
    let (code, log) = service.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant_violations_total=0"), "{log}");
    assert_eq!(log.contains("configuration not reloaded"), !written_before.is_empty(), "{log}");
}

/// Other routers may be restarting at the same time: for half of the time that a shutdown has, the router serves the clients that
/// are connected and accepts new ones.
#[test]
fn clients_are_accepted_and_served_for_a_while_after_sigterm() {
    let mut service = start_service(1024);
    let mut client = service.client();
    let started = Instant::now();
    service.signal("-TERM");
    while started.elapsed() < Duration::from_millis(900) {
        assert_eq!(client.query(&read(2000)).expect("no answer"), "row:value SELECT 1");
        assert_eq!(service.client().query(&read(2000)).expect("no answer"), "row:value SELECT 1");
        thread::sleep(Duration::from_millis(20));
    }
    while client.query(&read(2000)).is_ok() {}
    assert_eq!(service.wait_for_exit().0, Some(0));
}
