//! Stand-ins for the second review: database hosts, discovery and clients of the protocol page, and the start of a router
//! by the command of the deploy file. Standard library only. Every address is on loopback, every port is a free one.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case is run with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: 1 broken, 0 held, 2 could not run.
pub fn finish(record: &Record, code: i32, verdict: &str) -> ! {
    record.line(&format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    clear_up();
    std::process::exit(code);
}

static TEMPORARY: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the processes that this case has started, and removes its temporary folder.
fn clear_up() {
    kill_children();
    for folder in TEMPORARY.lock().unwrap_or_else(std::sync::PoisonError::into_inner).drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

// ---------------------------------------------------------------------------------------------------------------- record

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    from: f64,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            if thread::current().name() == Some("main") {
                clear_up();
                std::process::exit(2);
            }
        }));
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), from: now_ms() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", now_ms() - self.from);
    }
}

// ------------------------------------------------------------------------------------------------------------------ wire

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend(((body.len() + 4) as u32).to_be_bytes());
    out.extend(body);
    out
}

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn read_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// The value of a name in a statement's comment.
pub fn comment_field(text: &str, name: &str) -> String {
    let comment = text.rsplit("/*").next().unwrap_or("").trim_end_matches("*/").trim();
    let found = comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or("").trim().to_string()
}

pub fn key_of(text: &str) -> String {
    text.split('\'').nth(1).unwrap_or("").to_string()
}

// ----------------------------------------------------------------------------------------------------------------- hosts

/// What a database host does with a statement that has arrived whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Sound,
    /// 53300: its waiting room is full.
    Full,
    /// Takes statements and answers none.
    Hangs,
    /// Runs the statement and resets the connection instead of an answer.
    Resets,
    /// Runs the statement and answers with XX000.
    Errors,
    /// Runs the statement and answers with bytes that cannot be read.
    Spoils,
    /// Runs the statement and sends its answer twice.
    Twice,
    /// Runs the statement, and answers so many milliseconds later.
    Late(u64),
}

/// A statement that a host has got whole.
#[derive(Clone, Debug)]
pub struct Got {
    pub id: String,
    pub key: String,
    pub class: String,
    pub is_write: bool,
    /// When its last byte had arrived, Unix ms.
    pub at: f64,
    /// The host's position then, Unix ms.
    pub position: f64,
    pub was_primary: bool,
    /// "ran", "53300", "25006", "no answer".
    pub what: String,
    /// The time that the router says it will wait, ms.
    pub d: f64,
    /// The host's number.
    pub host: usize,
}

pub struct Host {
    pub name: String,
    pub block: u64,
    pub port: u16,
    pub site: String,
    pub listed: bool,
    pub health: String,
    pub born_ms: f64,
    pub changed: u64,
    pub up: bool,
    pub primary: bool,
    pub manner: Manner,
    /// How far a replica stays behind, ms.
    pub lag_ms: f64,
    /// The most that has been applied, Unix ms.
    pub applied: f64,
    /// A replica that is behind gains this many ms of the log in a ms; 0: it jumps to its lag.
    pub pace: f64,
    pace_at: f64,
    pub work_ms: u64,
    pub got: Vec<Got>,
    pub probes: u64,
    streams: Vec<TcpStream>,
    /// Increases with each start, so that the listener of an earlier start ends.
    start: u64,
}

impl Host {
    /// The position: up to when every commit has been applied. It never goes back.
    pub fn position(&mut self) -> f64 {
        let now = now_ms();
        if !self.up {
            return self.applied;
        }
        let aim = if self.primary { now } else { now - self.lag_ms };
        if self.pace > 0.0 && !self.primary {
            let reached = self.applied + (now - self.pace_at).max(0.0) * self.pace;
            self.applied = self.applied.max(reached.min(aim));
        } else {
            self.applied = self.applied.max(aim);
        }
        self.pace_at = now;
        self.applied
    }
}

pub struct World {
    pub hosts: Vec<Host>,
    pub seq: u64,
    /// Every answer of discovery leaves so much after it was due, ms.
    pub discovery_slow_ms: u64,
    /// Discovery takes calls and answers none.
    pub discovery_silent: bool,
    pub values: BTreeMap<String, String>,
    pub calls: u64,
    pub answers: u64,
    pub stamped: bool,
    pub reports_in_answers: bool,
    pub may_probe: bool,
    /// When discovery wrote which version, Unix ms.
    pub told: Vec<(f64, u64)>,
}

pub struct Shared {
    world: Mutex<World>,
    changed: Condvar,
    pub record: Record,
}

pub type Fleet = Arc<Shared>;

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes entries of discovery's list under a new version.
    pub fn list(&self, change: impl FnOnce(&mut Vec<Host>) -> Vec<usize>) {
        let mut world = self.lock();
        world.seq += 1;
        let seq = world.seq;
        for host in change(&mut world.hosts) {
            world.hosts[host].changed = seq;
            let (name, health) = (world.hosts[host].name.clone(), world.hosts[host].health.clone());
            self.record.line(&format!("discovery has seq {seq}: {name} {health}"));
        }
        self.changed.notify_all();
    }
}

pub fn new_fleet(record: &Record) -> Fleet {
    let world = World {
        hosts: Vec::new(),
        seq: 1,
        discovery_slow_ms: 0,
        discovery_silent: false,
        values: BTreeMap::new(),
        calls: 0,
        answers: 0,
        stamped: true,
        reports_in_answers: false,
        may_probe: true,
        told: Vec::new(),
    };
    Arc::new(Shared { world: Mutex::new(world), changed: Condvar::new(), record: record.clone() })
}

/// Adds a host, which runs and is listed.
pub fn add_host(fleet: &Fleet, name: &str, block: u64, primary: bool, lag_ms: f64, work_ms: u64) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = listener.local_addr().unwrap().port();
    let mut world = fleet.lock();
    let index = world.hosts.len();
    world.seq += 1;
    let seq = world.seq;
    world.hosts.push(Host {
        name: name.to_string(),
        block,
        port,
        site: "nyanza".to_string(),
        listed: true,
        health: "active".to_string(),
        born_ms: 0.0,
        changed: seq,
        up: true,
        primary,
        manner: Manner::Sound,
        lag_ms,
        applied: now_ms() - lag_ms,
        pace: 0.0,
        pace_at: now_ms(),
        work_ms,
        got: Vec::new(),
        probes: 0,
        streams: Vec::new(),
        start: 1,
    });
    drop(world);
    serve_host(fleet, index, listener, 1);
    index
}

/// The process of a host dies: its connections are reset and new ones are refused.
pub fn kill_host(fleet: &Fleet, index: usize) {
    let mut world = fleet.lock();
    world.hosts[index].position();
    let host = &mut world.hosts[index];
    host.up = false;
    host.start += 1;
    for stream in host.streams.drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
    fleet.record.line(&format!("{} dies", host.name));
}

/// The process starts again at its address, as a replica, from where it stood.
pub fn restart_host(fleet: &Fleet, index: usize) {
    let (port, start) = {
        let mut world = fleet.lock();
        let host = &mut world.hosts[index];
        host.primary = false;
        (host.port, host.start)
    };
    let listener = (0..100).find_map(|_| {
        TcpListener::bind(("127.0.0.1", port)).inspect_err(|_| sleep_ms(20)).ok()
    });
    let listener = listener.expect("its port is free");
    let mut world = fleet.lock();
    let host = &mut world.hosts[index];
    host.pace_at = now_ms();
    host.up = true;
    host.born_ms = now_ms();
    fleet.record.line(&format!("{} starts again, {:.0} ms behind", host.name, now_ms() - host.applied));
    drop(world);
    serve_host(fleet, index, listener, start);
}

fn serve_host(fleet: &Fleet, index: usize, listener: TcpListener, start: u64) {
    listener.set_nonblocking(true).unwrap();
    let fleet = Arc::clone(fleet);
    thread::spawn(move || {
        loop {
            if fleet.lock().hosts[index].start != start {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        let mut world = fleet.lock();
                        world.hosts[index].streams.push(copy);
                    }
                    let fleet = Arc::clone(&fleet);
                    thread::spawn(move || {
                        let _ = serve_connection(&fleet, index, stream, start);
                    });
                }
                Err(_) => sleep_ms(1),
            }
        }
    });
}

fn ready(world: &mut World, index: usize, commit: Option<f64>) -> Vec<u8> {
    let (stamped, reports) = (world.stamped, world.reports_in_answers);
    let host = &mut world.hosts[index];
    let position = host.position();
    let mut out = parameter("recovery", if host.primary { "off" } else { "on" });
    if let Some(commit) = commit {
        out.extend(parameter("lsn_ms", &format!("{}", commit.ceil())));
    } else if stamped {
        out.extend(parameter("lsn_ms", &format!("{}", position.floor())));
    }
    if reports {
        out.extend(parameter("health", &report(host, position)));
    }
    out.extend(message(b'Z', b"I"));
    out
}

fn report(host: &Host, position: f64) -> String {
    let role = u8::from(host.primary);
    format!("x0={:.3},x1={role},utilization=0.30", position.floor() / 1000.0)
}

fn serve_connection(fleet: &Fleet, index: usize, mut stream: TcpStream, start: u64) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut startup = vec![0; (u32::from_be_bytes(head) as usize).saturating_sub(4)];
    stream.read_exact(&mut startup)?;
    let mut greeting = message(b'R', &[0, 0, 0, 0]);
    greeting.extend(ready(&mut fleet.lock(), index, None));
    stream.write_all(&greeting)?;
    loop {
        let (tag, body) = read_message(&mut stream)?;
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        if fleet.lock().hosts[index].start != start {
            return Ok(());
        }
        let Some(answer) = answer(fleet, index, &text) else { continue };
        if answer.is_empty() {
            return stream.shutdown(Shutdown::Both);
        }
        stream.write_all(&answer)?;
    }
}

/// The answer to a query; none if the host hangs.
fn answer(fleet: &Fleet, index: usize, text: &str) -> Option<Vec<u8>> {
    let mut world = fleet.lock();
    if text.trim().is_empty() {
        let mut out = message(b'I', b"");
        out.extend(ready(&mut world, index, None));
        return Some(out);
    }
    if text == "SHOW health" || text == "SELECT 1" {
        let may_probe = world.may_probe;
        let host = &mut world.hosts[index];
        host.probes += 1;
        let position = host.position();
        let mut out = match (text, may_probe) {
            ("SELECT 1", _) => row(b"1", "SELECT 1"),
            (_, true) => row(report(host, position).as_bytes(), "SHOW"),
            (_, false) => error("42501", "not here"),
        };
        out.extend(ready(&mut world, index, None));
        return Some(out);
    }
    let is_write = text.starts_with("INSERT");
    let position = world.hosts[index].position();
    let host = &mut world.hosts[index];
    // Without a figure of its own, the work that the briefs give for the class.
    let work_ms = match (host.work_ms, comment_field(text, "c").as_str()) {
        (0, "lookup") => 45,
        (0, "season-report") => 450,
        (0, _) => 75,
        (work_ms, _) => work_ms,
    };
    let what = match host.manner {
        Manner::Full => "53300",
        Manner::Hangs => "no answer",
        _ if is_write && !host.primary => "25006",
        _ => "ran",
    };
    let manner = host.manner;
    let id = comment_field(text, "id");
    let key = key_of(text);
    host.got.push(Got {
        id: id.clone(),
        key: key.clone(),
        class: comment_field(text, "c"),
        is_write,
        at: now_ms(),
        position,
        was_primary: host.primary,
        what: what.to_string(),
        d: comment_field(text, "d").parse().unwrap_or(0.0),
        host: index,
    });
    fleet.record.line(&format!(
        "{} gets {id} {} key {key}: {what}, position {:.0} ms behind",
        host.name,
        comment_field(text, "c"),
        now_ms() - position
    ));
    match what {
        "ran" => {
            drop(world);
            sleep_ms(work_ms);
            match manner {
                Manner::Resets => return Some(Vec::new()),
                Manner::Spoils => return Some(b"?what is this\0\0\0".to_vec()),
                Manner::Late(ms) => sleep_ms(ms),
                _ => {}
            }
            let mut world = fleet.lock();
            if manner == Manner::Errors {
                let mut out = error("XX000", "something broke");
                out.extend(ready(&mut world, index, None));
                return Some(out);
            }
            if is_write {
                let commit = now_ms();
                world.values.insert(key, id.clone());
                let mut out = row(id.as_bytes(), "INSERT 0 1");
                out.extend(ready(&mut world, index, Some(commit)));
                return Some(out);
            }
            let mut out = row(id.as_bytes(), "SELECT 1");
            out.extend(ready(&mut world, index, None));
            if manner == Manner::Twice {
                out.extend(out.clone());
            }
            Some(out)
        }
        "no answer" => None,
        code => {
            let mut out = error(code, "turned away");
            out.extend(ready(&mut world, index, None));
            Some(out)
        }
    }
}

// ------------------------------------------------------------------------------------------------------------- discovery

fn entry(host: &Host) -> String {
    format!(
        "{{\"host\":\"{}\",\"dial\":\"127.0.0.1:{}\",\"site\":\"{}\",\"class\":\"std-5\",\"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{:.0}}}",
        host.name, host.port, host.site, host.block, host.health, host.born_ms
    )
}

/// The whole list, or what has changed since a version.
pub fn list_json(world: &World, since: Option<u64>) -> String {
    let hosts = world.hosts.iter().filter(|host| match since {
        Some(since) => host.changed > since,
        None => host.listed && host.health != "left",
    });
    let hosts: Vec<String> = hosts.map(entry).collect();
    format!("{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}", world.seq, since.is_none(), hosts.join(","))
}

/// Starts discovery's agent and returns its address.
pub fn start_discovery(fleet: &Fleet) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let fleet = Arc::clone(fleet);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let fleet = Arc::clone(&fleet);
            thread::spawn(move || {
                let _ = serve_discovery(&fleet, stream);
            });
        }
    });
    address
}

fn number(text: &str, name: &str) -> Option<u64> {
    let rest = &text[text.find(name)? + name.len()..];
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

fn serve_discovery(fleet: &Fleet, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    loop {
        let Some(request) = lines.next().transpose()? else { return Ok(()) };
        while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
        let since = number(&request, "since=");
        let wait = Duration::from_millis(number(&request, "timeout_ms=").unwrap_or(0).min(60_000));
        let until = Instant::now() + wait;
        let mut world = fleet.lock();
        world.calls += 1;
        loop {
            let is_due = since.is_none_or(|since| world.seq > since) || Instant::now() >= until;
            if is_due && !world.discovery_silent {
                break;
            }
            world = fleet.changed.wait_timeout(world, Duration::from_millis(5)).unwrap().0;
        }
        // The answer holds what discovery has when the call's turn comes, and leaves when it has been worked on.
        let slow = world.discovery_slow_ms;
        let (body, seq) = (list_json(&world, since), world.seq);
        drop(world);
        sleep_ms(slow);
        let length = body.len();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        let written = writer.write_all(format!("{head}{length}\r\n\r\n{body}").as_bytes());
        let mut world = fleet.lock();
        world.answers += 1;
        world.told.push((now_ms(), seq));
        drop(world);
        written?;
    }
}

// --------------------------------------------------------------------------------------------------------------- routers

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_children() {
    for id in CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner).drain(..) {
        signal(id, "KILL");
    }
}

/// Sends a signal to a process that this case has started.
pub fn signal(id: u32, name: &str) {
    let kill = format!("kill -{name} {id}");
    let _ = Command::new("/bin/sh").args(["-c", &kill]).stderr(Stdio::null()).status();
}

pub struct Router {
    pub process: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
}

impl Router {
    pub fn signal(&self, name: &str) {
        signal(self.process.id(), name);
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.process.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run in the deploy file");
    line.split('"').next().unwrap().to_string()
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// Starts a router by the command of the deploy file, and waits until it has answered an empty query.
pub fn start_router(
    record: &Record,
    folder: &Path,
    name: &str,
    listen_port: u16,
    discovery: SocketAddr,
    known: &str,
    limits: &str,
    settings: &str,
) -> Router {
    let listen = SocketAddr::from(([127, 0, 0, 1], listen_port));
    let config = folder.join(format!("{name}.json"));
    let seed = (now_ms() * 1000.0) as u64;
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:x}\",\"limits\":{limits},\"known\":{known},\"settings\":{settings}}}"
    );
    fs::write(&config, text).unwrap();
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log"))).unwrap();
    let process = Command::new("/bin/sh")
        .args(["-c", &run_command()])
        .env("NODE_CONFIG", &config)
        .env("NODE_NAME", name)
        .env("NODE_LISTEN", listen.to_string())
        .env("NODE_DISCOVERY", discovery.to_string())
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the router starts");
    CHILDREN.lock().unwrap().push(process.id());
    let router = Router { process, listen, config };
    let by = Instant::now() + Duration::from_secs(30);
    loop {
        let asked = Client::connect(listen).and_then(|mut client| client.ask_empty());
        if asked.is_ok() {
            record.line(&format!("router {name} is ready"));
            return router;
        }
        if Instant::now() > by {
            finish(record, 2, "a router did not get ready");
        }
        sleep_ms(20);
    }
}

/// A folder of its own below the system's folder for temporary files.
pub fn temporary_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ottersill-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    TEMPORARY.lock().unwrap().push(folder.clone());
    folder
}

// --------------------------------------------------------------------------------------------------------------- clients

static IDS: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    let number = IDS.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", (now_ms() as u64) & 0xffff_ffff, number)
}

pub fn read_text(id: &str, class: &str, key: &str, d: u64, cluster: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{key}' /* id={id},c={class},d={d},cluster={cluster} */")
}

pub fn write_text(id: &str, class: &str, key: &str, d: u64, cluster: u64) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x9f03') RETURNING content /* id={id},c={class},d={d},cluster={cluster} */"
    )
}

/// What a client has got for a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Row(Vec<u8>),
    Error(String),
}

impl Answer {
    pub fn word(&self) -> String {
        match self {
            Answer::Row(value) => format!("row {}", String::from_utf8_lossy(value)),
            Answer::Error(code) => format!("error {code}"),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let mut client = Client::connect_only(to)?;
        client.greeted()?;
        Ok(client)
    }

    /// Connects and writes the startup message, which the first query may follow at once.
    pub fn connect_only(to: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
        let mut startup = ((body.len() + 4) as u32).to_be_bytes().to_vec();
        startup.extend(body);
        stream.write_all(&startup)?;
        Ok(Client { stream })
    }

    /// Reads the answer to the startup message.
    pub fn greeted(&mut self) -> io::Result<()> {
        while read_message(&mut self.stream)?.0 != b'Z' {}
        Ok(())
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let mut body = text.as_bytes().to_vec();
        body.push(0);
        self.stream.write_all(&message(b'Q', &body))
    }

    pub fn receive(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            match tag {
                b'D' => answer = Some(Answer::Row(body.get(6..).unwrap_or_default().to_vec())),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0);
                    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or_default();
                    answer = Some(Answer::Error(String::from_utf8_lossy(code).into_owned()));
                }
                b'I' => answer = Some(Answer::Row(Vec::new())),
                b'Z' => return answer.ok_or_else(|| ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.receive()
    }

    pub fn ask_empty(&mut self) -> io::Result<Answer> {
        self.ask("")
    }
}

// -------------------------------------------------------------------------------------------------------------- settings

/// What differs between the settings of two deployments.
pub struct Site {
    pub zones: &'static str,
    pub profiles: &'static str,
    pub domain: &'static str,
    pub stats: &'static str,
    pub send_cap: u32,
    pub drain_grace_ms: u32,
    pub second_copies: bool,
    pub cold_from: f64,
    pub ramp_time_ms: u32,
    pub fall_multiple: f64,
    pub overload_for_ms: u32,
    pub balancers: u32,
}

/// The settings as the interface's page gives them for `harvest-logs`.
pub const HARVEST_LOGS: Site = Site {
    zones: r#"["nyanza","huye","muhanga"]"#,
    profiles: r#"[
      {"aim_ms":300.0,"credit":2.0,"deadline_ms":750.0,"effect":"pure","group":"all","late_value":0.0,"name":"lookup","stream":false,"window_ms":5000.0},
      {"aim_ms":2500.0,"credit":6.0,"deadline_ms":5000.0,"effect":"pure","group":"all","late_value":0.0,"name":"season-report","stream":false,"window_ms":5000.0},
      {"aim_ms":750.0,"credit":4.0,"deadline_ms":2000.0,"effect":"side_effect","group":"all","late_value":0.3,"name":"weigh-in","stream":false,"window_ms":5000.0}]"#,
    domain: r#"{"answers_stamped":false,"catch_up_wait_ms":100.0,"class_read":["bounded","any","write"],"counted_from_ms":0,
      "notes":"","oldest_data_ms":[3000.0,0.0,0.0],"report_x0":"position in seconds after zero","report_x1":"1 from a primary",
      "role_listed":"none","waits_for_copy":true,"when_behind":"wait","write_marks":"carried"}"#,
    stats: r#"{"fields":["x0","x1","utilization"],"how":"probe"}"#,
    send_cap: 8,
    drain_grace_ms: 250,
    second_copies: false,
    cold_from: 0.2,
    ramp_time_ms: 17000,
    fall_multiple: 2.5,
    overload_for_ms: 1000,
    balancers: 3,
};

pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;

pub fn settings(site: &Site) -> String {
    let Site { zones, profiles, domain, stats, send_cap, drain_grace_ms, second_copies, .. } = site;
    let Site { cold_from, ramp_time_ms, fall_multiple, overload_for_ms, balancers, .. } = site;
    let zone = zones.trim_matches(['[', ']']).split(',').next().unwrap();
    format!(
        r#"{{"accounts":[],"balancers":{balancers},"callers":{{"marks_retry":false}},"domain":{domain},"family":"replicas",
        "goal":{{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2}},"kinds":["std-5"],"localities":{zones},
        "me":0,"over_share_worth":0.1,
        "policy_limits":{{"cancelling":true,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":97616,
          "keepalive_ms":15000.0,"max_open":24404,"max_retry_after_ms":500.0,"max_streams":1,"peers":false,"probes":true,
          "retry_after":true,"second_copies":{second_copies},"send_cap":{send_cap}}},
        "prices":{{}},"profiles":{profiles},"quantum_ms":5.0,"registry_mode":"automatic",
        "rules":{{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":{cold_from},"drain_grace_ms":{drain_grace_ms}.0,
          "fall_multiple":{fall_multiple},"overload_for_ms":{overload_for_ms}.0,"ramp_time_ms":{ramp_time_ms}.0}},
        "stats":{stats},"tier":0,"tiers":["db"],"weights":"rough","worth_by":"request","zone":{zone}}}"#
    )
}

/// Settings with the classes, times and rules of `suva-members`.
pub const SUVA_MEMBERS: Site = Site {
    zones: r#"["suva","nadi"]"#,
    profiles: r#"[
      {"aim_ms":750.0,"credit":1.0,"deadline_ms":2500.0,"effect":"pure","group":"all","late_value":0.0,"name":"browse","stream":false,"window_ms":2000.0},
      {"aim_ms":300.0,"credit":1.0,"deadline_ms":750.0,"effect":"pure","group":"all","late_value":0.0,"name":"own-view","stream":false,"window_ms":2000.0},
      {"aim_ms":1000.0,"credit":6.0,"deadline_ms":2000.0,"effect":"token","group":"cell","late_value":0.5,"name":"update","stream":false,"window_ms":2000.0}]"#,
    domain: r#"{"answers_stamped":false,"catch_up_wait_ms":0.0,"class_read":["bounded","session","write"],"counted_from_ms":0,
      "notes":"","oldest_data_ms":[500.0,0.0,0.0],"report_x0":"position in seconds after zero","report_x1":"1 from a primary",
      "role_listed":"none","waits_for_copy":false,"when_behind":"none","write_marks":"remembered"}"#,
    stats: r#"{"fields":["x0","x1","outstanding"],"how":"answers"}"#,
    send_cap: 6,
    drain_grace_ms: 2000,
    second_copies: true,
    cold_from: 0.17,
    ramp_time_ms: 15000,
    fall_multiple: 2.5,
    overload_for_ms: 1500,
    balancers: 3,
};

impl Client {
    /// The next answer, and whether it is a fatal error, after which no ReadyForQuery is needed; none if the connection has
    /// ended before.
    pub fn receive_any(&mut self) -> Option<(Answer, bool)> {
        let mut answer = None;
        loop {
            let Ok((tag, body)) = read_message(&mut self.stream) else {
                return answer.map(|answer| (answer, true));
            };
            match tag {
                b'D' => answer = Some(Answer::Row(body.get(6..).unwrap_or_default().to_vec())),
                b'E' => {
                    let fields: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
                    let code = fields.iter().find_map(|field| field.strip_prefix(b"C")).unwrap_or_default();
                    let code = Answer::Error(String::from_utf8_lossy(code).into_owned());
                    if fields.iter().any(|field| field == b"SFATAL") {
                        return Some((code, true));
                    }
                    answer = Some(code);
                }
                b'Z' => return answer.map(|answer| (answer, false)),
                _ => {}
            }
        }
    }
}
