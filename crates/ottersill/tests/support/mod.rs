//! A router between scripted peers: a primary, a replica and a discovery that do only what a test tells them.
#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod faults;
pub mod machine;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{ScriptedDiscovery, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::Client;

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A router whose settings are the example's, but for what a test replaces.
pub struct Router {
    pub process: Child,
    pub at: SocketAddr,
    pub log: BufReader<ChildStdout>,
    pub config: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn config_text(discovery: SocketAddr, replaced: &[(&str, &str)]) -> String {
    let text = include_str!("../../../../example/router.json");
    let text =
        text.replace("127.0.0.1:7400", "127.0.0.1:0").replace("127.0.0.1:7500", &discovery.to_string());
    replaced.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}

impl Router {
    /// Starts it; `descriptors` is the limit that the system sets it, where that is less than it believes.
    pub fn spawn(text: &str, descriptors: Option<usize>) -> Router {
        Router::spawn_in(text, descriptors, &[])
    }

    /// The same with further variables in its environment.
    pub fn spawn_in(text: &str, descriptors: Option<usize>, environment: &[(&str, String)]) -> Router {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        machine::watch();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("ottersill-fixture-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).expect("a configuration");
        let program = env!("CARGO_BIN_EXE_ottersill");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most}; exec {program}")]);
                shell
            }
        };
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let process = command.env("NODE_CONFIG", &path).stdout(Stdio::piped()).spawn();
        let mut process = process.expect("a router");
        let log = BufReader::new(process.stdout.take().expect("a log"));
        Router { process, at: SocketAddr::from(([127, 0, 0, 1], 0)), log, config: path }
    }

    /// What is left of its log and how it ended, once it has.
    pub fn end(mut self) -> (String, ExitStatus) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        (log, self.process.wait().expect("a status"))
    }

    pub fn until_ready(mut self) -> Router {
        let mut line = String::new();
        while !line.contains(" INFO ready ") {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "it ended before it was ready");
        }
        let at = line.split_once("listen=").and_then(|(_, at)| at.split(' ').next()?.parse().ok());
        self.at = at.expect("its address");
        self
    }

    pub fn signal(&self, name: &str) {
        // Stopped in the middle of a turn, it would go on with what it found ready before; in a turn it does not sleep.
        if name == "-STOP" {
            until("it waits for what comes", || self.state() == "S");
        }
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status();
        assert!(sent.expect("kill").success());
        // A stop counts once the process is stopped, not once it is told to.
        while name == "-STOP" && self.state() != "T" {
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn state(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("its state");
        stat.rsplit(") ").next().and_then(|rest| rest.split(' ').next()).unwrap_or_default().to_string()
    }

    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.read_answer().expect("a greeting");
        client
    }
}

/// A primary and a replica, a discovery that lists them, and the router between.
pub struct Fixture {
    pub primary: ScriptedEndpoint,
    pub replica: ScriptedEndpoint,
    pub discovery: ScriptedDiscovery,
    pub router: Router,
}

/// Connections may take as long as the test wants to come up.
pub const PATIENT: (&str, &str) = ("\"connect_timeout_ms\": 250", "\"connect_timeout_ms\": 9000");

impl Fixture {
    pub fn start(replaced: &[(&str, &str)]) -> Fixture {
        Fixture::start_with(replaced, |text, _, _| Router::spawn(text, None))
    }

    /// The same with a router that `spawn` starts, given its configuration, the primary and the replica.
    pub fn start_with(
        replaced: &[(&str, &str)],
        spawn: impl FnOnce(&str, &ScriptedEndpoint, &ScriptedEndpoint) -> Router,
    ) -> Fixture {
        let discovery = ScriptedDiscovery::start().expect("discovery");
        let (primary, replica) =
            (ScriptedEndpoint::start(true).expect("a host"), ScriptedEndpoint::start(false).expect("a host"));
        let router = spawn(&config_text(discovery.address, replaced), &primary, &replica);
        let fixture = Fixture { primary, replica, discovery, router };
        fixture.discovery.serve_list(1, &fixture.endpoint_list(1, "active", "active"));
        let fixture = Fixture { router: fixture.router.until_ready(), ..fixture };
        // With the first answers it knows who is who.
        let mut client = fixture.router.client();
        client.send(&read(0, 9000)).expect("a query");
        fixture.replica.next_statement().answer("first");
        assert_eq!(client.read_answer().expect("an answer"), "row:first SELECT 1");
        client.send(&write(1, 9000)).expect("a query");
        let second = fixture.primary.next_statement();
        // Writes that take most of the work leave the primary no part of the reads: these go to the replica, always.
        thread::sleep(Duration::from_millis(300));
        second.answer("second");
        assert_eq!(client.read_answer().expect("an answer"), "row:second INSERT 0 1");
        fixture
    }

    pub fn endpoint_list(&self, seq: u64, primary: &str, replica: &str) -> String {
        endpoint_list(seq, &[("one", self.primary.address, primary), ("two", self.replica.address, replica)])
    }

    /// Another client's read is the first thing that comes to the replica from here on.
    pub fn next_read_is_the_first_to_come(&self) {
        let mut next = self.router.client();
        next.send(&read(8, 8000)).expect("a query");
        let arrival = self.replica.next_statement();
        assert!(arrival.text.contains("id=a8"), "{}", arrival.text);
        arrival.answer("next");
        assert_eq!(next.read_answer().expect("an answer"), "row:next SELECT 1");
    }

    /// A new client's read goes to the primary, as the replica drains and gets nothing.
    pub fn read_avoids_the_draining_replica(&self) {
        let mut client = self.router.client();
        client.send(&read(7, 2000)).expect("a query");
        let arrival = self.primary.next_statement();
        assert!(arrival.text.contains("id=a7"), "the host that drains gets nothing");
        arrival.answer("elsewhere");
        assert_eq!(client.read_answer().expect("an answer"), "row:elsewhere SELECT 1");
    }

    /// A client whose read waits on a connection to the replica that is not up yet.
    pub fn read_on_its_way(&self, number: u32, left_ms: u32) -> Client {
        self.replica.pause_greeting_and_close_idle();
        let mut client = self.router.client();
        client.send(&read(number, left_ms)).expect("a query");
        self.replica.wait_for_connections(1);
        client
    }
}

/// What the system says of a connection at one of its sides: the state, in its own two digits, whether bytes lie unread, and
/// whether a process still has the socket open.
struct Side {
    local: String,
    remote: String,
    state: String,
    unread: bool,
    open: bool,
}

/// The sides of connections that have these addresses, in the system's form, as local or remote ones. Others' may be thousands,
/// on which no time is spent.
fn sides(addresses: &[&str]) -> Vec<Side> {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    let side = |line: &str| {
        let mut fields = line.split_whitespace().skip(1).map(str::to_string);
        let mut next = || fields.next().expect("a field");
        let (local, remote, state, queues) = (next(), next(), next(), next());
        // What no process has open has no inode.
        let inode = fields.nth(4).expect("a field");
        Side { local, remote, state, unread: !queues.ends_with(":00000000"), open: inode != "0" }
    };
    let wanted = |line: &&str| addresses.iter().all(|address| line.contains(address));
    all.lines().skip(1).filter(wanted).map(side).collect()
}

fn hex(at: SocketAddr) -> String {
    format!("0100007F:{:04X}", at.port())
}

/// The state of the router's side of the connection from `client`; none once it is closed.
pub fn router_side(router: SocketAddr, client: SocketAddr) -> Option<String> {
    let (router, client) = (hex(router), hex(client));
    let sides = sides(&[&router, &client]);
    sides.into_iter().find(|side| side.local == router && side.remote == client).map(|side| side.state)
}

/// Waits until bytes of `client` lie unread at the router.
pub fn until_unread_at_router(router: SocketAddr, client: SocketAddr) {
    let (router, client) = (hex(router), hex(client));
    let unread = |side: &Side| side.local == router && side.remote == client && side.unread;
    until("it lies there unread", || sides(&[&router, &client]).iter().any(unread));
}

/// Whether the router may have read all that `client` sent: its side of the connection has come up and is there, and nothing lies
/// unread. The client has not ended, so what waits for late packets is left of an earlier connection from the same port.
pub fn may_have_read_all(router: SocketAddr, client: SocketAddr) -> bool {
    const COMING_UP: &str = "03";
    const WAITS_FOR_LATE_PACKETS: &str = "06";
    let (router, client) = (hex(router), hex(client));
    let is_up = |side: &Side| ![COMING_UP, WAITS_FOR_LATE_PACKETS].contains(&side.state.as_str());
    let may_have = |side: &Side| side.local == router && is_up(side) && !side.unread;
    sides(&[&router, &client]).iter().any(may_have)
}

/// Waits until the router has closed its socket of the connection from `client`, whatever the system still does with it.
pub fn until_closed(router: SocketAddr, client: SocketAddr) {
    let (router, client) = (hex(router), hex(client));
    let open = |side: &Side| side.local == router && side.remote == client && side.open;
    until("the router closes it", || !sides(&[&router, &client]).iter().any(open));
}

/// Waits until the end of the connection from `client` is at the router's side of it, read or not. A socket that is dropped
/// is not always closed by then: tests run in threads, and what one of them starts (`kill`, a router) has all descriptors
/// of the process until it has become that program, among them the one that another test drops meanwhile.
pub fn until_the_end_is_there(router: SocketAddr, client: SocketAddr) {
    const ESTABLISHED: &str = "01";
    until("the end is there", || router_side(router, client).as_deref() != Some(ESTABLISHED));
}

/// Waits until what that host wrote lies unread at the router: written is not yet there where the system is busy.
pub fn until_unread_from(host: SocketAddr) {
    let host = hex(host);
    let unread = |side: &Side| side.remote == host && side.unread;
    until("it is there to be read", || sides(&[&host]).iter().any(unread));
}

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub fn read(number: u32, left_ms: u32) -> String {
    format!("SELECT content FROM kv WHERE name = '1f' /* id=a{number:x},c=get,d={left_ms},cluster=1 */")
}

pub fn write(number: u32, left_ms: u32) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('1f', '\\x61') RETURNING content \
         /* id=b{number:x},c=put,d={left_ms},cluster=1 */"
    )
}

/// Longer statement timeouts than the example's, as some of these take their time.
pub const LONG: (&str, &str) = ("\"deadline_ms\": 2000", "\"deadline_ms\": 9000");
pub const LATE: (&str, &str) = ("\"aim_ms\": 300", "\"aim_ms\": 8000");
