//! The program between clients and a stand-in store.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Behaviour, Client, StandInStore};

pub const PATIENCE: Duration = Duration::from_secs(10);

pub struct Service {
    pub store: StandInStore,
    pub router: Child,
    pub at: SocketAddr,
    pub log: BufReader<ChildStdout>,
    pub config: PathBuf,
}

impl Drop for Service {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.router.kill();
        let _ = self.router.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn poll(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn store() -> (StandInStore, SocketAddr) {
    let store = StandInStore::default();
    for _ in 0..3 {
        store.add_endpoint("127.0.0.1:0").expect("a host");
    }
    let discovery = store.add_discovery("127.0.0.1:0").expect("discovery");
    (store, discovery)
}

pub fn config_text(discovery: SocketAddr) -> String {
    let text = include_str!("../../../../example/router.json");
    text.replace("127.0.0.1:7400", "127.0.0.1:0").replace("127.0.0.1:7500", &discovery.to_string())
}

/// A primary and two replicas behind a router that knows their roles.
pub fn service(sockets: usize) -> Service {
    service_within(sockets, 192)
}

pub fn service_within(sockets: usize, memory_mb: u64) -> Service {
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
    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        client.answer().expect("a greeting");
        client
    }

    pub fn all(&self, behaviour: Behaviour) {
        (0..self.store.endpoint_count()).for_each(|host| self.store.set_behaviour(host, behaviour));
    }

    pub fn taken(&self) -> usize {
        (0..self.store.endpoint_count()).map(|host| self.store.received(host).len()).sum()
    }

    pub fn signal(&self, name: &str) {
        let id = self.router.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().expect("kill");
        assert!(sent.success());
    }

    pub fn exit(&mut self) -> (Option<i32>, String) {
        poll("an exit", || self.router.try_wait().expect("a state").is_some());
        let status = self.router.wait().expect("a status");
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        (status.code(), log)
    }
}

pub fn read(left_ms: u32) -> String {
    format!("SELECT content FROM kv WHERE name = '1f' /* id=5c,c=get,d={left_ms},cluster=1 */")
}

/// The same under another id, as each client gives its own.
pub fn read_as(number: u32, left_ms: u32) -> String {
    read(left_ms).replace("id=5c", &format!("id=e{number:x}"))
}

pub fn write(key: &str, left_ms: u32) -> String {
    let hex = "76616c7565";
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x{hex}') RETURNING content \
         /* id=5d,c=put,d={left_ms},cluster=1 */"
    )
}
