//! A router between scripted peers: a primary, a replica and a discovery service that do only what a test tells them to.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

pub mod faults;
pub mod in_process;
pub mod load;
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

/// Time limit of each step that waits for the router or a peer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A running router. Its settings are those of `example/router.json`, except for those that the test replaces.
pub struct Router {
    pub process: Child,
    pub address: SocketAddr,
    pub log: BufReader<ChildStdout>,
    pub config: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Returns the example configuration with an ephemeral port, the given discovery address and each `(from, to)` replaced.
pub fn config_text(discovery: SocketAddr, replaced: &[(&str, &str)]) -> String {
    let text = include_str!("../../../../example/router.json");
    let text =
        text.replace("127.0.0.1:7400", "127.0.0.1:0").replace("127.0.0.1:7500", &discovery.to_string());
    replaced.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "not in the example configuration: {from}");
        text.replace(from, to)
    })
}

impl Router {
    /// Starts a router. `descriptors` is the descriptor limit of the process (`ulimit -n`), where a test sets a lower one than the
    /// configuration states.
    pub fn spawn(text: &str, descriptors: Option<usize>) -> Router {
        Router::spawn_with_environment(text, descriptors, &[])
    }

    /// Starts a router as `spawn` does, with additional environment variables.
    pub fn spawn_with_environment(
        text: &str,
        descriptors: Option<usize>,
        environment: &[(&str, String)],
    ) -> Router {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        machine::watch();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("ottersill-fixture-{}-{number}.json", std::process::id()));
        std::fs::write(&path, text).expect("configuration could not be written");
        let program = env!("CARGO_BIN_EXE_ottersill");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit}; exec {program}")]);
                shell
            }
        };
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let process = command.env("NODE_CONFIG", &path).stdout(Stdio::piped()).spawn();
        let mut process = process.expect("router did not start");
        let log = BufReader::new(process.stdout.take().expect("standard output of the router is not piped"));
        Router { process, address: SocketAddr::from(([127, 0, 0, 1], 0)), log, config: path }
    }

    /// Waits until the router exits, and returns the unread rest of its log and its exit status.
    pub fn wait_for_exit(mut self) -> (String, ExitStatus) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("log could not be read");
        (log, self.process.wait().expect("process status unavailable"))
    }

    /// Waits for the log line `ready` and takes the listening address from it.
    pub fn wait_until_ready(mut self) -> Router {
        let mut line = String::new();
        while !line.contains(" INFO ready ") {
            line.clear();
            assert!(
                self.log.read_line(&mut line).expect("log could not be read") > 0,
                "router exited before it was ready"
            );
        }
        let address = line.split_once("listen=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        self.address = address.expect("no listening address in the log");
        self
    }

    /// Sends a signal, given as an option of `kill`. After `-STOP` it returns once the process is stopped.
    pub fn signal(&self, name: &str) {
        // Stopped in the middle of an iteration of the event loop, the router would continue with the events that it had found
        // ready before. It sleeps only between iterations.
        if name == "-STOP" {
            wait_until("the router waits for events", || self.state() == "S");
        }
        self.send_signal(name);
        // `kill` returns when the signal is sent, which may be before the process is stopped.
        while name == "-STOP" && self.state() != "T" {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends a signal, given as an option of `kill`, whatever the router is doing.
    pub fn send_signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status();
        assert!(sent.expect("kill could not be run").success());
    }

    /// Returns the state letter of the process from `/proc/PID/stat`.
    pub fn state(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))
            .expect("process state unavailable");
        stat.rsplit(") ").next().and_then(|rest| rest.split(' ').next()).unwrap_or_default().to_string()
    }

    /// Connects a client and reads the greeting.
    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.address).expect("connection failed");
        client.socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
        client.read_answer().expect("no greeting");
        client
    }
}

/// A primary, a replica, a discovery service that lists them, and a router that uses them.
pub struct Fixture {
    pub primary: ScriptedEndpoint,
    pub replica: ScriptedEndpoint,
    pub discovery: ScriptedDiscovery,
    pub router: Router,
}

/// Replaces the connect timeout by one that is long enough for a test that delays a connection.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) =
    ("\"connect_timeout_ms\": 250", "\"connect_timeout_ms\": 9000");

impl Fixture {
    /// Starts the peers and a router, and returns once the router knows the role of each endpoint.
    pub fn start(replaced: &[(&str, &str)]) -> Fixture {
        Fixture::start_with(replaced, |text, _, _| Router::spawn(text, None))
    }

    /// Does the same with a router that `spawn` starts; it is given the configuration, the primary and the replica.
    pub fn start_with(
        replaced: &[(&str, &str)],
        spawn: impl FnOnce(&str, &ScriptedEndpoint, &ScriptedEndpoint) -> Router,
    ) -> Fixture {
        let discovery = ScriptedDiscovery::start().expect("discovery service did not start");
        let (primary, replica) = (
            ScriptedEndpoint::start(true).expect("endpoint did not start"),
            ScriptedEndpoint::start(false).expect("endpoint did not start"),
        );
        let router = spawn(&config_text(discovery.address, replaced), &primary, &replica);
        let fixture = Fixture { primary, replica, discovery, router };
        fixture.discovery.serve_list(1, &fixture.endpoint_list(1, "active", "active"));
        let fixture = Fixture { router: fixture.router.wait_until_ready(), ..fixture };
        // From the first answers the router learns the roles of the endpoints.
        let mut client = fixture.router.client();
        client.send(&read(0, 9000)).expect("query could not be sent");
        fixture.replica.next_statement().answer("first");
        assert_eq!(client.read_answer().expect("no answer"), "row:first SELECT 1");
        client.send(&write(1, 9000)).expect("query could not be sent");
        let second = fixture.primary.next_statement();
        // The write takes most of the work, so the primary gets no fraction of the reads: all of them go to the replica.
        thread::sleep(Duration::from_millis(300));
        second.answer("second");
        assert_eq!(client.read_answer().expect("no answer"), "row:second INSERT 0 1");
        fixture
    }

    /// Returns an endpoint list with the given health of the primary and the replica.
    pub fn endpoint_list(&self, seq: u64, primary: &str, replica: &str) -> String {
        endpoint_list(seq, &[("one", self.primary.address, primary), ("two", self.replica.address, replica)])
    }

    /// Asserts that the next statement that the replica receives is the read that a new client sends now.
    pub fn assert_next_statement_is_a_new_read(&self) {
        let mut next = self.router.client();
        next.send(&read(8, 8000)).expect("query could not be sent");
        let arrival = self.replica.next_statement();
        assert!(arrival.text.contains("id=a8"), "{}", arrival.text);
        arrival.answer("next");
        assert_eq!(next.read_answer().expect("no answer"), "row:next SELECT 1");
    }

    /// Asserts that the read of a new client goes to the primary because the replica is draining.
    pub fn assert_read_avoids_draining_replica(&self) {
        let mut client = self.router.client();
        client.send(&read(7, 2000)).expect("query could not be sent");
        let arrival = self.primary.next_statement();
        assert!(arrival.text.contains("id=a7"), "the read did not go to the primary");
        arrival.answer("elsewhere");
        assert_eq!(client.read_answer().expect("no answer"), "row:elsewhere SELECT 1");
    }

    /// Returns a client whose read waits for a connection to the replica that is not established yet.
    pub fn read_waiting_for_connection(&self, number: u32, left_ms: u32) -> Client {
        self.replica.pause_greeting_and_close_idle();
        let mut client = self.router.client();
        client.send(&read(number, left_ms)).expect("query could not be sent");
        self.replica.wait_for_connections(1);
        client
    }
}

/// One line of `/proc/net/tcp`: a socket with its local and remote address and its state as two hexadecimal digits, whether its
/// receive queue holds unread bytes, and whether a process still has it open.
struct TcpSocket {
    local: String,
    remote: String,
    state: String,
    unread: bool,
    open: bool,
}

/// Returns the sockets that have all these addresses, in the form of `/proc/net/tcp`, as local or remote ones. Other lines are not
/// parsed, as there may be thousands.
fn tcp_sockets(addresses: &[&str]) -> Vec<TcpSocket> {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp could not be read");
    let parse = |line: &str| {
        let mut fields = line.split_whitespace().skip(1).map(str::to_string);
        let mut next = || fields.next().expect("field missing in /proc/net/tcp");
        let (local, remote, state, queues) = (next(), next(), next(), next());
        // A socket that no process has open has no inode.
        let inode = fields.nth(4).expect("field missing in /proc/net/tcp");
        TcpSocket { local, remote, state, unread: !queues.ends_with(":00000000"), open: inode != "0" }
    };
    let wanted = |line: &&str| addresses.iter().all(|address| line.contains(address));
    all.lines().skip(1).filter(wanted).map(parse).collect()
}

/// Returns a loopback address in the form of `/proc/net/tcp`.
fn proc_address(at: SocketAddr) -> String {
    format!("0100007F:{:04X}", at.port())
}

/// Returns the state of the router's socket of the connection from `client`, or `None` once that is gone.
pub fn router_socket_state(router: SocketAddr, client: SocketAddr) -> Option<String> {
    let (router, client) = (proc_address(router), proc_address(client));
    let sockets = tcp_sockets(&[&router, &client]);
    sockets
        .into_iter()
        .find(|socket| socket.local == router && socket.remote == client)
        .map(|socket| socket.state)
}

/// Waits until the router's socket of the connection from `client` holds unread bytes.
pub fn wait_until_unread_at_router(router: SocketAddr, client: SocketAddr) {
    let (router, client) = (proc_address(router), proc_address(client));
    let unread = |socket: &TcpSocket| socket.local == router && socket.remote == client && socket.unread;
    wait_until("the router's socket holds unread bytes", || {
        tcp_sockets(&[&router, &client]).iter().any(unread)
    });
}

/// Returns whether the router may have read everything that `client` sent: its socket of the connection has been established and
/// holds no unread bytes. The client has not closed, so a socket in TIME_WAIT belongs to an earlier connection from the same port.
pub fn may_have_read_all(router: SocketAddr, client: SocketAddr) -> bool {
    const SYN_RECV: &str = "03";
    const TIME_WAIT: &str = "06";
    let (router, client) = (proc_address(router), proc_address(client));
    let has_been_established = |socket: &TcpSocket| ![SYN_RECV, TIME_WAIT].contains(&socket.state.as_str());
    let has_nothing_unread =
        |socket: &TcpSocket| socket.local == router && has_been_established(socket) && !socket.unread;
    tcp_sockets(&[&router, &client]).iter().any(has_nothing_unread)
}

/// Waits until the router has closed its socket of the connection from `client`. The kernel may still hold the connection.
pub fn wait_until_closed(router: SocketAddr, client: SocketAddr) {
    let (router, client) = (proc_address(router), proc_address(client));
    let open = |socket: &TcpSocket| socket.local == router && socket.remote == client && socket.open;
    wait_until("the router closes the connection", || !tcp_sockets(&[&router, &client]).iter().any(open));
}

/// Waits until the end of the connection from `client` has arrived at the router's socket, read or not. Dropping a socket does not
/// always close it at once: tests run in threads, and a child process that one of them starts (`kill`, a router) holds all descriptors
/// of this process until it calls exec, including one that another test drops meanwhile.
pub fn wait_until_end_received(router: SocketAddr, client: SocketAddr) {
    const ESTABLISHED: &str = "01";
    wait_until("the end of the connection arrives at the router", || {
        router_socket_state(router, client).as_deref() != Some(ESTABLISHED)
    });
}

/// Waits until bytes that the endpoint wrote lie unread at the router. On a busy machine they may arrive some time after the write.
pub fn wait_until_unread_from(endpoint: SocketAddr) {
    let endpoint = proc_address(endpoint);
    let unread = |socket: &TcpSocket| socket.remote == endpoint && socket.unread;
    wait_until("bytes from the endpoint arrive at the router", || {
        tcp_sockets(&[&endpoint]).iter().any(unread)
    });
}

/// Waits until the condition holds, and panics after `TIMEOUT`.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A read statement with this number in its id and this time left.
pub fn read(number: u32, left_ms: u32) -> String {
    format!("SELECT content FROM kv WHERE name = '1f' /* id=a{number:x},c=get,d={left_ms},cluster=1 */")
}

/// A write statement with this number in its id and this time left.
pub fn write(number: u32, left_ms: u32) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('1f', '\\x61') RETURNING content \
         /* id=b{number:x},c=put,d={left_ms},cluster=1 */"
    )
}

/// Replaces the statement timeout by a longer one than the example's, for tests that delay an answer.
pub const LONG_STATEMENT_TIMEOUT: (&str, &str) = ("\"deadline_ms\": 2000", "\"deadline_ms\": 9000");
/// Replaces the SLO time in the same way.
pub const LONG_SLO_TIME: (&str, &str) = ("\"aim_ms\": 300", "\"aim_ms\": 8000");
