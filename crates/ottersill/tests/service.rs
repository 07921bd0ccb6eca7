//! Whole statements over loopback: the program itself between a client and a stand-in store.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Behaviour, Client, StandInStore, message};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(10);

struct Service {
    store: StandInStore,
    router: Child,
    at: SocketAddr,
    log: BufReader<ChildStdout>,
    config: PathBuf,
}

impl Drop for Service {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.router.kill();
        let _ = self.router.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn poll(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn store() -> (StandInStore, SocketAddr) {
    let store = StandInStore::default();
    for _ in 0..3 {
        store.add_endpoint("127.0.0.1:0").expect("a host");
    }
    let discovery = store.add_discovery("127.0.0.1:0").expect("discovery");
    (store, discovery)
}

fn config_text(discovery: SocketAddr) -> String {
    let text = include_str!("../../../example/router.json");
    text.replace("127.0.0.1:7400", "127.0.0.1:0").replace("127.0.0.1:7500", &discovery.to_string())
}

/// A primary and two replicas behind a router that knows their roles.
fn service(sockets: usize) -> Service {
    service_within(sockets, 192)
}

fn service_within(sockets: usize, memory_mb: u64) -> Service {
    let (store, discovery) = store();
    let text = config_text(discovery);
    let text = text.replace("\"sockets\": 1024", &format!("\"sockets\": {sockets}"));
    let text = text.replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"));
    let path =
        std::env::temp_dir().join(format!("ottersill-{}-{}.json", std::process::id(), discovery.port()));
    std::fs::write(&path, text).expect("a configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let mut router = command.env("NODE_CONFIG", &path).stdout(Stdio::piped()).spawn().expect("a router");
    let mut log = BufReader::new(router.stdout.take().expect("a log"));
    let mut line = String::new();
    while !line.contains(" ready ") {
        line.clear();
        assert!(log.read_line(&mut line).expect("a line") > 0, "it ended before it was ready");
    }
    let at = line
        .split_once("listen=")
        .and_then(|(_, at)| at.split(' ').next()?.parse().ok())
        .expect("its address");
    let mut service = Service { store, router, at, log, config: path };
    let mut client = service.client();
    for _ in 0..30 {
        assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
    }
    assert_eq!(client.ask(&write("1f", 2000)).expect("an answer"), "row:value INSERT 0 1");
    assert!(service.router.try_wait().expect("a state").is_none());
    service
}

impl Service {
    fn client(&self) -> Client {
        let mut client = Client::connect(self.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.answer().expect("a greeting");
        client
    }

    fn all(&self, behaviour: Behaviour) {
        (0..self.store.endpoint_count()).for_each(|host| self.store.set_behaviour(host, behaviour));
    }

    fn taken(&self) -> usize {
        (0..self.store.endpoint_count()).map(|host| self.store.received(host).len()).sum()
    }

    fn signal(&self, name: &str) {
        let id = self.router.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().expect("kill");
        assert!(sent.success());
    }

    fn exit(&mut self) -> (Option<i32>, String) {
        poll("an exit", || self.router.try_wait().expect("a state").is_some());
        let status = self.router.wait().expect("a status");
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        (status.code(), log)
    }
}

fn read(left_ms: u32) -> String {
    format!("SELECT content FROM kv WHERE name = '1f' /* id=5c,c=get,d={left_ms},cluster=1 */")
}

/// The same under another id, as each client gives its own.
fn read_as(number: u32, left_ms: u32) -> String {
    read(left_ms).replace("id=5c", &format!("id=e{number:x}"))
}

fn write(key: &str, left_ms: u32) -> String {
    let hex = "76616c7565";
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x{hex}') RETURNING content \
         /* id=5d,c=put,d={left_ms},cluster=1 */"
    )
}

#[test]
fn a_write_is_read_back_unchanged_but_for_its_time() {
    let service = service(1024);
    assert_eq!(service.client().ask(&read(2000)).expect("an answer"), "row:value SELECT 1");
    let digits = |text: &str| {
        let from = text.find(",d=").expect("a time left") + 3;
        text[from..].chars().take_while(char::is_ascii_digit).collect::<String>()
    };
    for text in (0..3).flat_map(|host| service.store.received(host)) {
        let left = digits(&text);
        assert!((1..=2000).contains(&left.parse().expect("a number")), "{text}");
        let expected = if text.starts_with("SELECT") { read(2000) } else { write("1f", 2000) };
        assert_eq!(text.replace(&format!(",d={left}"), ",d=2000"), expected);
    }
}

/// What one execution's end makes of a write, which must not run twice, and of a read, which may.
#[rstest]
#[case::turned_away(Behaviour::Full, "C53300 D", "C53300 D")]
#[case::error(Behaviour::Faulty, "C40003", "C53300 D")]
#[case::reset(Behaviour::Resets, "C40003", "C53300 D")]
#[case::nonsense(Behaviour::Babbles, "C40003", "C53300 D")]
#[case::miss(Behaviour::Replica, "C53300 D", "row:value SELECT 1")]
fn what_fails_everywhere(#[case] behaviour: Behaviour, #[case] of_write: &str, #[case] of_read: &str) {
    let service = service(1024);
    service.all(behaviour);
    let mut client = service.client();
    let before = service.taken();
    let answer = client.ask(&write("2f", 400)).expect("an answer");
    assert!(answer.starts_with(of_write), "{answer}");
    if of_write == "C40003" {
        assert_eq!(service.taken(), before + 1, "a write that may have run is not sent again");
    }
    let answer = client.ask(&read(400)).expect("an answer");
    assert!(answer.starts_with(of_read), "{answer}");
}

/// Until a host has greeted nothing was handed over: even a write that must not run twice may be tried again.
#[test]
fn a_host_that_never_greets_has_run_nothing() {
    let service = service(1024);
    service.all(Behaviour::Closes);
    let mut client = service.client();
    for query in [write("8f", 2000), read(2000), read(2000), read(2000)] {
        assert!(client.ask(&query).expect("an answer").starts_with("row:"));
    }
    let before = service.taken();
    service.all(Behaviour::Mute);
    let answer = client.ask(&write("8f", 500)).expect("an answer");
    assert!(answer.starts_with("C53300 D"), "{answer}");
    assert_eq!(service.taken(), before);
}

#[rstest]
#[case::write(write("3f", 300), "C40003")]
#[case::read(read(300), "C53300 D")]
fn silence_is_answered_when_the_client_gives_up(#[case] query: String, #[case] expected: &str) {
    let service = service(1024);
    service.all(Behaviour::Silent);
    let started = Instant::now();
    let answer = service.client().ask(&query).expect("an answer");
    assert!(answer.starts_with(expected), "{answer}");
    assert!(started.elapsed() < Duration::from_millis(2000), "{:?}", started.elapsed());
}

#[test]
fn queries_sent_ahead_byte_by_byte_are_answered_in_order() {
    let service = service(1024);
    let mut client = Client::connect(service.at).expect("a connection");
    client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    for query in [&write("4f", 2000), "", &read(2000), "SELECT 1"] {
        for byte in message(b'Q', format!("{query}\0").as_bytes()) {
            client.socket.write_all(&[byte]).expect("a byte");
        }
    }
    let answers: Vec<String> = (0..5).map(|_| client.answer().expect("an answer")).collect();
    assert_eq!(answers, ["", "row:value INSERT 0 1", "empty", "row:value SELECT 1", "C08P01"]);
}

#[rstest]
#[case::longer_than_any(b"Q\x7f\xff\xff\xff", "08P01")]
#[case::extended_protocol(b"P\0\0\0\x08\0\0\0\0", "0A000")]
fn a_client_that_sends_nonsense_is_told_and_closed(#[case] bytes: &[u8], #[case] code: &str) {
    let service = service(1024);
    let (mut strange, mut other) = (service.client(), service.client());
    strange.socket.write_all(bytes).expect("bytes");
    let (tag, body) = strange.hear().expect("an error");
    assert!(tag == b'E' && String::from_utf8_lossy(&body).contains(code));
    assert!(strange.hear().is_err(), "the connection ends");
    assert!(other.ask(&read(2000)).expect("an answer").starts_with("row:"));
}

/// A client that sends on after it was dismissed must still be able to read why.
#[test]
fn a_dismissal_is_read_whatever_the_client_sends_after_it() {
    let service = service(1024);
    let mut client = service.client();
    client.socket.write_all(b"Q\x7f\xff\xff\xff").expect("bytes");
    for _ in 0..50 {
        client.socket.write_all(&[b'x'; 4096]).expect("bytes");
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.last_words(), "C08P01");
}

#[rstest]
#[case::no_comment("SELECT 1", "C08P01")]
#[case::unknown_workload("SELECT 1 /* id=1,c=none,d=9,cluster=1 */", "C42704")]
#[case::unknown_cluster("SELECT 1 /* id=1,c=get,d=9,cluster=77 */", "C42704")]
fn a_strange_query_is_told_and_the_session_goes_on(#[case] query: &str, #[case] expected: &str) {
    let service = service(1024);
    let mut client = service.client();
    assert_eq!(client.ask(query).expect("an answer"), expected);
    assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
}

#[test]
fn a_host_that_leaves_gets_nothing_new() {
    let service = service(1024);
    service.store.set_health(1, "leaving");
    let mut client = service.client();
    poll("told", || {
        let before = service.store.received(1).len();
        (0..20).for_each(|_| assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:")));
        service.store.received(1).len() == before
    });
}

/// An idle connection that its host has ended must not be taken for one: a write on it would be a reset.
#[test]
fn connections_that_hosts_end_are_not_used() {
    let service = service(1024);
    service.all(Behaviour::Closes);
    let mut client = service.client();
    for _ in 0..8 {
        assert_eq!(client.ask(&write("5f", 2000)).expect("an answer"), "row:value INSERT 0 1");
        // The host ends the connection some time after its answer.
        thread::sleep(Duration::from_millis(100));
    }
}

/// Found on sockets with 64 descriptors: turned-away clients were reset before they had read their rejection.
#[test]
fn running_out_of_descriptors_ends_in_answers() {
    let service = service(26);
    service.all(Behaviour::Silent);
    let ask = |number| {
        let mut client = Client::connect(service.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.send(&read_as(number, 500)).expect("a query");
        client
    };
    let mut clients: Vec<Client> = (0..30).map(ask).collect();
    let answers: Vec<String> = clients.iter_mut().map(|client| client.last_words()).collect();
    assert!(answers.iter().all(|answer| answer == "C53300"), "{answers:?}");
    drop(clients);
    service.all(Behaviour::Replica);
    poll("served again", || service.client().ask(&read(2000)).is_ok_and(|answer| answer.starts_with("row:")));
}

/// Long statements that no host answers, and more of them sent ahead: what is stored has a bound.
#[test]
fn memory_is_bounded_under_long_statements() {
    let service = service_within(1024, 32);
    service.all(Behaviour::Silent);
    let long = write("9f", 9000).replace("76616c7565", &"61".repeat(65536));
    let ask = |number| {
        let mut client = service.client();
        let long = long.replace("id=5d", &format!("id=e{number:x}"));
        // One that was turned away meanwhile takes no more.
        let _ = (0..3).try_for_each(|_| client.send(&long));
        client
    };
    let clients: Vec<Client> = (0..400).map(ask).collect();
    thread::sleep(Duration::from_millis(300));
    drop(clients);
    service.all(Behaviour::Replica);
    poll("served again", || service.client().ask(&read(2000)).is_ok_and(|answer| answer.starts_with("row:")));
    let status = std::fs::read_to_string(format!("/proc/{}/status", service.router.id())).expect("a status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 32 << 10, "{peak} kB");
}

/// Connections that send nothing must not keep others out for good.
#[test]
fn silent_clients_make_room() {
    let service = service(26);
    let silent: Vec<Client> = (0..30).map(|_| Client::connect(service.at).expect("a connection")).collect();
    poll("served", || {
        let mut client = Client::connect(service.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.send(&read(2000)).expect("a query");
        client.last_words().starts_with("row:")
    });
    drop(silent);
}

/// A statement sent ahead counts as taken too: closing after the one in hand would lose it.
#[test]
fn sigterm_answers_what_was_sent_ahead() {
    let mut service = service(1024);
    let mut client = service.client();
    service.store.set_behaviour(0, Behaviour::Silent);
    client.send(&write("6f", 900)).expect("a query");
    client.send(&read(2000)).expect("a query");
    service.signal("-TERM");
    assert_eq!(client.answer().expect("an answer"), "C40003");
    assert_eq!(client.answer().expect("an answer"), "row:value SELECT 1");
    assert!(client.hear().is_err(), "the connection ends");
    assert_eq!(service.exit().0, Some(0));
}

/// Those who wait at the door for want of descriptors have sent their statements, which count as taken.
#[test]
fn sigterm_answers_a_crowd_at_the_door() {
    let mut service = service(26);
    service.all(Behaviour::Silent);
    let ask = |number| {
        let mut client = Client::connect(service.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.send(&read_as(number, 1500)).expect("a query");
        client
    };
    let mut clients: Vec<Client> = (0..36).map(ask).collect();
    service.signal("-TERM");
    let answers: Vec<String> = clients.iter_mut().map(|client| client.last_words()).collect();
    assert!(answers.iter().all(|answer| answer == "C53300"), "{answers:?}");
    assert_eq!(service.exit().0, Some(0));
}

#[test]
fn the_longest_value_passes_both_ways() {
    let service = service(1024);
    let mut client = service.client();
    let query = write("7f", 2000).replace("76616c7565", &"61".repeat(65536));
    let expected = format!("row:{} ", "a".repeat(65536));
    assert!(client.ask(&query).expect("an answer").starts_with(&expected));
    assert!(client.ask(&read(2000).replace("1f", "7f")).expect("an answer").starts_with(&expected));
}

/// Clients still come for a while after SIGTERM, and what was taken in is answered.
#[test]
fn sigterm_answers_what_was_taken_and_exits() {
    let mut service = service(1024);
    let (mut waiting, mut idle) = (service.client(), service.client());
    service.all(Behaviour::Silent);
    waiting.send(&read(1200)).expect("a query");
    service.signal("-TERM");
    let mut late = service.client();
    let answer = late.ask(&read_as(1, 100)).expect("an answer");
    assert!(answer.starts_with("C53300"), "{answer}");
    assert!(idle.hear().is_err(), "what idles is closed");
    assert!(waiting.answer().expect("an answer").starts_with("C53300"));
    let (code, log) = service.exit();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("stopping") && log.contains(" statements=33 ") && log.contains("breaches_in_all=0"),
        "{log}"
    );
}

#[test]
fn counters_are_printed_on_request() {
    let mut service = service(1024);
    service.signal("-USR1");
    thread::sleep(Duration::from_millis(100));
    service.signal("-TERM");
    let (_, log) = service.exit();
    assert_eq!(log.matches("counters: ").count(), 2, "{log}");
}

/// What came while the router stood still is read before anything is held against its time.
#[test]
fn a_router_that_stood_still_goes_on() {
    let service = service(1024);
    let mut client = service.client();
    service.signal("-STOP");
    client.send(&read(2000)).expect("a query");
    thread::sleep(Duration::from_millis(300));
    service.signal("-CONT");
    assert_eq!(client.answer().expect("an answer"), "row:value SELECT 1");
}

/// Some agents end the connection with each answer: news must come all the same.
#[test]
fn a_discovery_that_closes_is_watched_on() {
    let service = service(1024);
    service.store.close_discovery();
    for health in ["leaving", "active", "leaving"] {
        service.store.set_health(1, health);
        let mut client = service.client();
        poll("told", || {
            let before = service.store.received(1).len();
            (0..20).for_each(|_| assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:")));
            (service.store.received(1).len() == before) == (health == "leaving")
        });
    }
}

#[test]
fn silent_discovery_stops_nothing() {
    let service = service(1024);
    service.store.silence_discovery(true);
    let mut client = service.client();
    (0..20).for_each(|_| assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:")));
}

#[rstest]
#[case::missing(None, "NODE_CONFIG: environment variable not found")]
#[case::no_file(Some("/nonexistent/charter.json"), "No such file")]
fn a_charter_that_is_not_there_ends_it_with_one_line(#[case] path: Option<&str>, #[case] says: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    command.env_remove("NODE_CONFIG");
    if let Some(path) = path {
        command.env("NODE_CONFIG", path);
    }
    let done = command.output().expect("it runs");
    let told = String::from_utf8_lossy(&done.stderr);
    assert!(done.status.code() == Some(1) && told.lines().count() == 1 && told.contains(says), "{told}");
}

/// The operators' file names another discovery: what that one lists counts from then on, and no statement notices.
#[rstest]
#[case::whole(&[])]
#[case::half_written_at_first(&["{\"name\":\"toy-router\",\"lis"])]
#[case::wrong_at_first(&["{}", ""])]
fn sighup_moves_to_the_discovery_that_the_file_names(#[case] before: &[&str]) {
    let mut service = service(1024);
    let mut waiting = service.client();
    service.store.set_behaviour(0, Behaviour::Silent);
    waiting.send(&write("6f", 1500)).expect("a query");
    let (other, discovery) = store();
    for text in before {
        std::fs::write(&service.config, text).expect("a configuration");
        service.signal("-HUP");
        thread::sleep(Duration::from_millis(50));
    }
    std::fs::write(&service.config, config_text(discovery)).expect("a configuration");
    if before.is_empty() {
        // Several in a row ask for the same.
        (0..3).for_each(|_| service.signal("-HUP"));
    }
    let mut client = service.client();
    poll("moved", || {
        assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
        (0..3).any(|host| !other.received(host).is_empty())
    });
    // What the old one says counts no more.
    service.store.set_health(1, "leaving");
    other.set_health(2, "left");
    poll("told", || {
        let before = other.received(2).len();
        (0..20).for_each(|_| assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:")));
        other.received(2).len() == before
    });
    assert_eq!(waiting.answer().expect("an answer"), "C40003");
    service.signal("-TERM");
    let (code, log) = service.exit();
    assert!(code == Some(0) && log.contains("breaches_in_all=0"), "{log}");
    assert_eq!(log.contains("charter not taken"), !before.is_empty(), "{log}");
}

/// The row says another length than it has: it may have run, and the primary is the primary all the same.
#[test]
fn spoilt_answers_reach_no_client() {
    let service = service(1024);
    let mut client = service.client();
    service.store.set_behaviour(0, Behaviour::Spoils);
    let before = service.store.received(0).len();
    assert_eq!(client.ask(&write("2f", 1000)).expect("an answer"), "C40003");
    assert_eq!(service.store.received(0).len(), before + 1, "a write that may have run is not sent again");
    service.store.set_behaviour(0, Behaviour::Primary);
    // Without a primary it would have to wait for the next poll, which is longer.
    assert_eq!(client.ask(&write("2f", 60)).expect("an answer"), "row:value INSERT 0 1");
    (1..3).for_each(|host| service.store.set_behaviour(host, Behaviour::Spoils));
    for _ in 0..10 {
        let answer = client.ask(&read(2000)).expect("an answer");
        assert!(answer == "row:value SELECT 1" || answer.starts_with("C53300"), "{answer}");
    }
}

/// A second copy right behind an answer must not be taken for the answer to what comes next.
#[test]
fn what_comes_behind_an_answer_is_no_answer() {
    let service = service(1024);
    let mut client = service.client();
    service.all(Behaviour::Echoes);
    for number in 0..20 {
        let key = format!("d{number:x}");
        let query = write(&key, 2000).replace("76616c7565", &format!("{:x}", 0x61 + number));
        let value = char::from(b'a' + number);
        assert_eq!(client.ask(&query).expect("an answer"), format!("row:{value} INSERT 0 1"));
        assert_eq!(client.ask("").expect("an answer"), "empty");
    }
}

/// Clients that connect and say nothing, or stop halfway, are owed an error or a close within three seconds.
#[rstest]
#[case::nothing(b"", "")]
#[case::half_a_startup(b"\0\0\0\x25\0\x03", "C08P01")]
#[case::no_query(b"\0\0\0\x08\0\x03\0\0", "")]
#[case::half_a_query(b"\0\0\0\x08\0\x03\0\0Q\0\0\0\x20SELECT", "C08P01")]
fn who_says_nothing_whole_is_closed(#[case] bytes: &[u8], #[case] expected: &str) {
    let service = service(1024);
    let started = Instant::now();
    let mut client = Client { socket: TcpStream::connect(service.at).expect("a connection") };
    client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    client.socket.write_all(bytes).expect("bytes");
    let words = client.last_words();
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    assert!(if expected.is_empty() { !words.starts_with('C') } else { words == expected }, "{words}");
}

/// One that has asked and idles makes room; one whose statement comes in pieces, or is in hand, does not.
#[test]
fn who_has_asked_and_idles_is_closed() {
    let service = service(1024);
    let (mut idle, mut slow, mut busy) = (service.client(), service.client(), service.client());
    for client in [&mut idle, &mut slow, &mut busy] {
        assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
    }
    service.store.set_behaviour(0, Behaviour::Silent);
    busy.send(&write("af", 2000)).expect("a query");
    let whole = message(b'Q', format!("{}\0", read(2000)).as_bytes());
    thread::sleep(Duration::from_millis(1500));
    slow.socket.write_all(&whole[..9]).expect("a part");
    assert!(idle.hear().is_err(), "it ends");
    slow.socket.write_all(&whole[9..]).expect("the rest");
    assert_eq!(slow.answer().expect("an answer"), "row:value SELECT 1");
    assert_eq!(busy.answer().expect("an answer"), "C40003");
}

/// Sent on, it would be a second copy of what is out.
#[test]
fn the_id_of_an_open_statement_is_refused() {
    let service = service(1024);
    let (mut first, mut second) = (service.client(), service.client());
    service.store.set_behaviour(0, Behaviour::Silent);
    first.send(&write("bf", 700)).expect("a query");
    poll("taken", || {
        !service.store.received(0).is_empty() && service.store.received(0).concat().contains("'bf'")
    });
    let before = service.taken();
    assert_eq!(second.ask(&write("cf", 700)).expect("an answer"), "C08P01");
    assert_eq!(service.taken(), before);
    assert_eq!(first.answer().expect("an answer"), "C40003");
    service.store.set_behaviour(0, Behaviour::Primary);
    assert_eq!(second.ask(&write("cf", 2000)).expect("an answer"), "row:value INSERT 0 1");
}

/// Other routers may be restarting as well: half the time that a stop has goes to whom is there, and to whom comes.
#[test]
fn sigterm_lets_clients_come_and_go_on_for_a_while() {
    let mut service = service(1024);
    let mut client = service.client();
    let started = Instant::now();
    service.signal("-TERM");
    while started.elapsed() < Duration::from_millis(900) {
        assert_eq!(client.ask(&read(2000)).expect("an answer"), "row:value SELECT 1");
        assert_eq!(service.client().ask(&read(2000)).expect("an answer"), "row:value SELECT 1");
        thread::sleep(Duration::from_millis(20));
    }
    while client.ask(&read(2000)).is_ok() {}
    assert_eq!(service.exit().0, Some(0));
}

/// Found on a recorded day: clients that ask once and stay held all the connections that clients may hold.
#[test]
fn clients_that_ask_once_and_stay_leave_room_to_others() {
    let service = service(80);
    let mut stays = Vec::new();
    for _ in 0..30 {
        let mut client = service.client();
        assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
        stays.push(client);
    }
    let patience = Some(Duration::from_millis(500));
    stays.iter().for_each(|client| client.socket.set_read_timeout(patience).expect("a time-out"));
    let is_closed = |client: &mut Client| client.hear().is_err_and(|e| e.kind() == ErrorKind::UnexpectedEof);
    let closed: Vec<bool> = stays.iter_mut().take(14).map(is_closed).collect();
    assert!(closed.iter().take(8).all(|closed| *closed), "the longest idle go first: {closed:?}");
    let last = stays.last_mut().expect("a client");
    assert!(last.ask(&read(2000)).expect("an answer").starts_with("row:"));
}

/// Found on the same day: a crowd that says nothing cost the others, who idle for longer, their connections.
#[test]
fn silent_clients_go_before_those_that_have_asked() {
    let service = service(80);
    let mut asked = service.client();
    assert!(asked.ask(&read(2000)).expect("an answer").starts_with("row:"));
    let connect = |_| {
        thread::sleep(Duration::from_millis(10));
        TcpStream::connect(service.at).expect("a connection")
    };
    let crowd: Vec<TcpStream> = (0..80).map(connect).collect();
    assert!(asked.ask(&read(2000)).expect("its connection is kept").starts_with("row:"));
    drop(crowd);
}

fn read_of(text: &str, number: u32) -> String {
    format!("{text} /* id=f{number:x},c=get,d=400,cluster=1 */")
}

fn taken_each(service: &Service) -> [usize; 3] {
    [0, 1, 2].map(|host| service.store.received(host).len())
}

/// What a text does counts, not the name that its client gives it: the primary alone, and once.
#[rstest]
#[case::writes("WITH a AS (DELETE FROM kv WHERE name = '1f' RETURNING 1) SELECT * FROM a")]
#[case::may_write("SELECT unheard_of(name) FROM kv WHERE name = '1f'")]
#[case::locks("SELECT content FROM kv WHERE name = '1f' FOR UPDATE")]
#[case::hidden_comment("SELECT nextval('1f /* id=1,c=get,d=400,cluster=1 */')")]
fn a_read_that_may_write_goes_to_the_primary_and_never_again(#[case] text: &str) {
    let service = service(1024);
    let mut client = service.client();
    let before = taken_each(&service);
    for number in 0..5 {
        client.ask(&read_of(text, number)).expect("an answer");
    }
    let after = taken_each(&service);
    assert_eq!([0, 1, 2].map(|host| after[host] - before[host]), [5, 0, 0]);
    service.all(Behaviour::Resets);
    assert_eq!(client.ask(&read_of(text, 9)).expect("an answer"), "C40003");
    assert_eq!(taken_each(&service)[0], after[0] + 1, "what may have run is not sent again");
}

#[rstest]
#[case::session("SET search_path = 'evil'")]
#[case::transaction("BEGIN")]
#[case::call("SELECT pg_advisory_lock(1)")]
#[case::several("SELECT 1; DELETE FROM kv WHERE name = '1f'")]
fn what_belongs_to_a_session_is_refused_with_a_reason(#[case] text: &str) {
    let service = service(1024);
    let mut client = service.client();
    let before = service.taken();
    assert_eq!(client.ask(&read_of(text, 1)).expect("an answer"), "C0A000");
    assert_eq!(service.taken(), before);
    assert!(client.ask(&read(2000)).expect("an answer").starts_with("row:"));
}

/// A view may hide a write from any reading: the replica says so, and stays good for everybody's reads.
#[test]
fn a_replica_that_refuses_a_hidden_write_keeps_its_reads() {
    let service = service(1024);
    service.store.hide_write("sly_view");
    let mut client = service.client();
    for number in 0..8 {
        let query = read_of("SELECT * FROM sly_view WHERE name = '1f'", number);
        assert!(client.ask(&query).expect("an answer").starts_with("row:"), "the primary takes it");
    }
    let before = taken_each(&service);
    (0..40).for_each(|n| assert!(client.ask(&read_as(n, 2000)).expect("an answer").starts_with("row:")));
    let after = taken_each(&service);
    assert!((1..3).all(|host| after[host] - before[host] > 5), "{before:?} {after:?}");
    // By now the shape is known for what it does, and no replica is asked.
    client.ask(&read_of("SELECT * FROM sly_view WHERE name = '2f'", 99)).expect("an answer");
    assert_eq!(taken_each(&service)[1..], after[1..]);
}

/// One client sends ever-new shapes as fast as it can: another's reads go on, and the book keeps to its budget.
#[test]
fn a_flood_of_new_shapes_holds_up_nobody() {
    let mut service = service_within(1024, 32);
    let mut usual = service.client();
    let mut client = service.client();
    let flood = thread::spawn(move || {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < Duration::from_secs(2) {
            let text = format!("SELECT a{sent}, lower(b) FROM c_{sent} WHERE d = '1f'");
            client.ask(&read_of(&text, 1000 + sent)).expect("an answer");
            sent += 1;
        }
        sent
    });
    let mut slowest = Duration::ZERO;
    while !flood.is_finished() {
        let started = Instant::now();
        assert!(usual.ask(&read(2000)).expect("an answer").starts_with("row:"));
        slowest = slowest.max(started.elapsed());
    }
    let sent = flood.join().expect("the flood");
    // Some thousand on a machine left alone; beside sixty other tests on a busy one it was 225.
    assert!(sent > 100, "{sent} shapes are no flood");
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    service.signal("-TERM");
    let (_, log) = service.exit();
    let line = log.lines().find(|line| line.contains(" shapes ")).expect("a line on shapes");
    let bytes = line.split("bytes=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    assert!(bytes.is_some_and(|bytes| bytes <= 32 * 1024 * 1024 / 64), "{line}");
}

fn explain(arguments: &[&str], input: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let command = command.arg("explain").args(arguments).env_remove("NODE_CONFIG").stdin(Stdio::piped());
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("explain");
    // It may have ended for its arguments already.
    let _ = child.stdin.take().expect("its input").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("an end");
    (out.status.code(), String::from_utf8(out.stdout).expect("text"))
}

/// The command that says what the router takes a statement for.
#[rstest]
#[case::read("SELECT content FROM kv WHERE name = 'a'", "read", true)]
#[case::write("WITH a AS (DELETE FROM kv RETURNING 1) SELECT * FROM a", "write", false)]
#[case::unknown("SELECT f(1)", "unknown", false)]
#[case::session("SET a.b = 'c'", "session", false)]
fn statements_are_explained(#[case] text: &str, #[case] nature: &str, #[case] free: bool) {
    let (status, out) = explain(&["--json"], &format!("{text}\n{text}\n"));
    let lines: Vec<serde_json::Value> =
        out.lines().map(|line| serde_json::from_str(line).expect("an object")).collect();
    assert_eq!((status, lines.len()), (Some(0), 2));
    for line in &lines {
        assert_eq!(line["nature"], nature);
        assert_eq!((line["replica"].as_bool(), line["resend"].as_bool()), (Some(free), Some(free)));
        let shape = line["shape"].as_str().expect("a shape");
        assert!(shape.len() == 32 && shape.chars().all(|c| c.is_ascii_hexdigit()));
    }
    assert_eq!(lines[0]["shape"], lines[1]["shape"]);
    // With line ends within, and no end behind the last.
    let (status, out) =
        explain(&["--json", "--nul", "-"], &format!("{}\0SELECT\n1", text.replace(' ', "\n")));
    assert_eq!((status, out.lines().count()), (Some(0), 2));
    assert!(out.starts_with(&format!("{{\"nature\":\"{nature}\"")), "{out}");
    let (status, out) = explain(&[], text);
    assert!(status == Some(0) && out.starts_with(nature), "{out}");
    assert_eq!(explain(&["/nowhere/at/all"], "").0, Some(1));
}
