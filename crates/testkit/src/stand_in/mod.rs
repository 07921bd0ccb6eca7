//! A stand-in store: hosts that speak as much of PostgreSQL's protocol as ottersill needs, and the discovery that
//! lists them, written from the public specifications. One thread a connection; all hosts share their data.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a host treats what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Primary,
    Replica,
    /// Turns statements away unexamined.
    Full,
    /// Answers statements with an error.
    Faulty,
    /// Takes statements and ends the connection.
    Resets,
    /// Takes statements and never answers them.
    Silent,
    /// Sends what is no message of the protocol.
    Babbles,
    /// Ends connections that idle, right after each answer.
    Closes,
    /// Takes new connections and never greets on them.
    Mute,
    /// Answers statements with a row that is shorter than it says.
    Spoils,
    /// Answers each statement twice.
    Echoes,
}

impl Behaviour {
    pub fn named(name: &str) -> Option<Behaviour> {
        Some(match name {
            "primary" => Behaviour::Primary,
            "replica" => Behaviour::Replica,
            "full" => Behaviour::Full,
            "faulty" => Behaviour::Faulty,
            "resets" => Behaviour::Resets,
            "silent" => Behaviour::Silent,
            "babbles" => Behaviour::Babbles,
            "closes" => Behaviour::Closes,
            "mute" => Behaviour::Mute,
            "spoils" => Behaviour::Spoils,
            "echoes" => Behaviour::Echoes,
            _ => return None,
        })
    }
}

struct Host {
    at: SocketAddr,
    behaviour: Behaviour,
    /// Whether it writes, whatever its behaviour.
    primary: bool,
    health: &'static str,
    /// When it started, as discovery tells it; Unix milliseconds, zero for long ago.
    started_ms: u128,
    /// Statements that came in whole.
    received: Vec<String>,
    /// Executions that are under way, and the most that ever were at once.
    under_way: usize,
    peak_concurrency: usize,
    /// What was executed: the statement's `id`, and when it began and ended, in Unix seconds.
    executions: Vec<Execution>,
}

/// One execution of a statement at a host.
#[derive(Clone, Debug)]
pub struct Execution {
    pub id: String,
    pub wrote: bool,
    pub began: f64,
    pub ended: f64,
}

#[derive(Default)]
struct State {
    hosts: Vec<Host>,
    version: u64,
    silent_discovery: bool,
    closing_discovery: bool,
    /// How long a statement's work takes; nothing at first.
    work: Duration,
    values: HashMap<String, Vec<u8>>,
    /// Views that write when they are read.
    writing_views: Vec<String>,
}

#[derive(Clone, Default)]
pub struct StandInStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl StandInStore {
    /// Listens at that address for as many hosts as are given; the first is the primary.
    pub fn add_endpoint(&self, at: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let mut state = self.lock();
        let number = state.hosts.len();
        let behaviour = if number == 0 { Behaviour::Primary } else { Behaviour::Replica };
        state.hosts.push(Host {
            at,
            behaviour,
            primary: number == 0,
            health: "active",
            started_ms: 0,
            received: Vec::new(),
            under_way: 0,
            peak_concurrency: 0,
            executions: Vec::new(),
        });
        state.version += 1;
        self.serve(listener, move |store, client| store.serve_host(number, client));
        Ok(at)
    }

    pub fn add_discovery(&self, at: &str) -> io::Result<SocketAddr> {
        self.add_discovery_via(at, &[])
    }

    /// A discovery that gives each host another address, where one is given: of a relay on the way to it.
    pub fn add_discovery_via(&self, at: &str, proxied: &'static [SocketAddr]) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        self.serve(listener, move |store, client| store.serve_discovery(client, proxied));
        Ok(at)
    }

    pub fn set_behaviour(&self, host: usize, behaviour: Behaviour) {
        let host = &mut self.lock().hosts[host];
        host.behaviour = behaviour;
        match behaviour {
            Behaviour::Primary => host.primary = true,
            Behaviour::Replica => host.primary = false,
            _ => {}
        }
    }

    /// `active`, `leaving` or `left`, as discovery tells it.
    pub fn set_health(&self, host: usize, health: &'static str) {
        let mut state = self.lock();
        state.hosts[host].health = health;
        state.version += 1;
        self.changed.notify_all();
    }

    /// Discovery says from now on that the host has just started.
    pub fn set_just_started(&self, host: usize) {
        let mut state = self.lock();
        state.hosts[host].started_ms = unix_ms();
        state.version += 1;
        self.changed.notify_all();
    }

    /// Discovery takes calls and answers none.
    pub fn silence_discovery(&self, silent: bool) {
        self.lock().silent_discovery = silent;
        self.changed.notify_all();
    }

    /// Discovery ends the connection after each answer.
    pub fn close_discovery(&self) {
        self.lock().closing_discovery = true;
    }

    /// The statements that a host has taken in.
    pub fn received(&self, host: usize) -> Vec<String> {
        self.lock().hosts[host].received.clone()
    }

    /// From now on a statement that names this view writes, whatever it looks like.
    pub fn hide_write(&self, view: &str) {
        self.lock().writing_views.push(view.to_string());
    }

    /// From now on each statement takes that long.
    pub fn set_statement_duration(&self, work: Duration) {
        self.lock().work = work;
    }

    /// The most executions that were under way at a host at once.
    pub fn peak_concurrency(&self, host: usize) -> usize {
        self.lock().hosts[host].peak_concurrency
    }

    pub fn executions(&self, host: usize) -> Vec<Execution> {
        self.lock().hosts[host].executions.clone()
    }

    pub fn endpoint_address(&self, host: usize) -> SocketAddr {
        self.lock().hosts[host].at
    }

    pub fn endpoint_count(&self) -> usize {
        self.lock().hosts.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(
        &self,
        listener: TcpListener,
        each: impl Fn(&StandInStore, TcpStream) -> io::Result<()> + Send + Copy + 'static,
    ) {
        let store = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let store = store.clone();
                // A connection that breaks is its client's affair.
                thread::spawn(move || each(&store, client));
            }
        });
    }

    fn serve_host(&self, number: usize, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let mut length = [0; 4];
        client.read_exact(&mut length)?;
        let mut startup = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(10_000)];
        client.read_exact(&mut startup)?;
        if self.lock().hosts[number].behaviour == Behaviour::Mute {
            // Until the other side has had enough.
            return client.read_exact(&mut length);
        }
        let mut out = message(b'R', &[0; 4]);
        out.extend(self.ready(number));
        client.write_all(&out)?;
        loop {
            let mut head = [0; 5];
            client.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let mut body = vec![0; length.saturating_sub(4).min(1 << 20)];
            client.read_exact(&mut body)?;
            if head[0] != b'Q' {
                return Ok(());
            }
            body.pop();
            let text = String::from_utf8_lossy(&body).into_owned();
            let behaviour = self.note(number, &text);
            self.work(number, &text);
            let mut out = match behaviour {
                Behaviour::Silent if is_statement(&text) => continue,
                Behaviour::Resets if is_statement(&text) => return Ok(()),
                Behaviour::Babbles if is_statement(&text) => b"?what is this\0".to_vec(),
                Behaviour::Full if is_statement(&text) => error("53300", "too much to do"),
                Behaviour::Faulty if is_statement(&text) => error("XX000", "something broke"),
                Behaviour::Spoils if is_statement(&text) => spoilt(self.answer(number, &text)),
                _ => self.answer(number, &text),
            };
            out.extend(self.ready(number));
            if behaviour == Behaviour::Echoes && is_statement(&text) {
                out.extend(out.clone());
            }
            client.write_all(&out)?;
            if behaviour == Behaviour::Closes {
                return client.shutdown(Shutdown::Both);
            }
        }
    }

    fn note(&self, number: usize, text: &str) -> Behaviour {
        let host = &mut self.lock().hosts[number];
        if is_statement(text) {
            host.received.push(text.to_string());
        }
        host.behaviour
    }

    /// Takes the time that the statement's work takes, and writes down that it ran.
    fn work(&self, number: usize, text: &str) {
        if !is_statement(text) {
            return;
        }
        let began = unix_ms() as f64 / 1000.0;
        let work = {
            let mut state = self.lock();
            let work = state.work;
            let host = &mut state.hosts[number];
            host.under_way += 1;
            host.peak_concurrency = host.peak_concurrency.max(host.under_way);
            work
        };
        thread::sleep(work);
        let id = text.split_once("id=").map_or("", |(_, rest)| rest);
        let id: String = id.chars().take_while(char::is_ascii_hexdigit).collect();
        let host = &mut self.lock().hosts[number];
        host.under_way -= 1;
        let (wrote, ended) = (host.primary && text.starts_with("INSERT"), unix_ms() as f64 / 1000.0);
        host.executions.push(Execution { id, wrote, began, ended });
    }

    fn ready(&self, number: usize) -> Vec<u8> {
        let recovery = if self.lock().hosts[number].primary { "off" } else { "on" };
        let mut out = parameter("recovery", recovery);
        out.extend(parameter("lsn_ms", &unix_ms().to_string()));
        out.extend(message(b'Z', b"I"));
        out
    }

    fn answer(&self, number: usize, text: &str) -> Vec<u8> {
        let mut state = self.lock();
        let primary = state.hosts[number].primary;
        let mut quoted = text.split('\'').skip(1).step_by(2);
        if text.trim().is_empty() {
            return message(b'I', b"");
        }
        if text == "SHOW health" {
            let x1 = u8::from(primary);
            let report = format!("x0={}.{:03},x1={x1},utilization=0.1", unix_ms() / 1000, unix_ms() % 1000);
            return row(report.as_bytes(), "SHOW");
        }
        let Some(key) = quoted.next() else { return error("42601", "no statement of this store") };
        let writing_views = state.writing_views.iter().any(|view| text.contains(view.as_str()));
        if text.starts_with("SELECT") && (primary || !writing_views) {
            return row(state.values.get(key).map_or(b"", |value| value.as_slice()), "SELECT 1");
        }
        if !primary {
            return error("25006", "this is no primary");
        }
        let value = quoted.next().and_then(unhex).unwrap_or_default();
        state.values.insert(key.to_string(), value.clone());
        row(&value, "INSERT 0 1")
    }

    fn serve_discovery(&self, client: TcpStream, proxied: &[SocketAddr]) -> io::Result<()> {
        let mut out = client.try_clone()?;
        let mut lines = BufReader::new(client).lines();
        loop {
            let Some(request) = lines.next() else { return Ok(()) };
            let request = request?;
            while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
            let number = |name: &str| {
                let from = request.find(name)? + name.len();
                let digits: String = request[from..].chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().ok()
            };
            let (since, wait) = (number("since="), number("timeout_ms=").unwrap_or(0));
            let list = self.list(since, Duration::from_millis(wait.min(60_000)), proxied);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}",
                list.len()
            );
            let close = if self.lock().closing_discovery { "\r\nConnection: close" } else { "" };
            out.write_all(format!("{head}{close}\r\n\r\n{list}").as_bytes())?;
            if !close.is_empty() {
                return out.shutdown(Shutdown::Both);
            }
        }
    }

    /// The whole list, once there is a newer one or the wait is over.
    fn list(&self, since: Option<u64>, wait: Duration, proxied: &[SocketAddr]) -> String {
        let waits =
            |state: &mut State| state.silent_discovery || since.is_some_and(|since| state.version <= since);
        let mut state = self
            .changed
            .wait_timeout_while(self.lock(), wait, waits)
            .map_or_else(|e| e.into_inner().0, |w| w.0);
        while state.silent_discovery {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        list_of(&state, proxied)
    }
}

fn list_of(state: &State, proxied: &[SocketAddr]) -> String {
    let entry = |(number, host): (usize, &Host)| {
        let (at, health) = (proxied.get(number).copied().unwrap_or(host.at), host.health);
        let born = host.started_ms;
        format!(
            "{{\"host\":\"toy-{number}\",\"dial\":\"{at}\",\"site\":\"here\",\"class\":\"toy\",\"block\":1,\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born}}}"
        )
    };
    let hosts: Vec<String> = state.hosts.iter().enumerate().map(entry).collect();
    format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", state.version, hosts.join(","))
}

fn is_statement(text: &str) -> bool {
    text.contains("/*")
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub(crate) fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub(crate) fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// One row of one binary column, and the word that completes it.
pub(crate) fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// The length of the row's only column made one longer than it is.
fn spoilt(mut answer: Vec<u8>) -> Vec<u8> {
    let at = 1 + u32::from_be_bytes([answer[1], answer[2], answer[3], answer[4]]) as usize;
    if answer[0] == b'T' {
        answer[at + 10] += 1;
    }
    answer
}

/// A client: one session with a router, a message at a time.
pub struct Client {
    pub socket: TcpStream,
}

impl Client {
    /// Connects and says the startup message; the greeting is left to be read.
    pub fn connect(router: SocketAddr) -> io::Result<Client> {
        let mut socket = TcpStream::connect(router)?;
        socket.set_nodelay(true)?;
        let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
        socket.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
        socket.write_all(body)?;
        Ok(Client { socket })
    }

    pub fn send(&mut self, query: &str) -> io::Result<()> {
        self.socket.write_all(&message(b'Q', format!("{query}\0").as_bytes()))
    }

    /// The next message: its tag and its body.
    pub fn hear(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.socket.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.socket.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// All messages up to ReadyForQuery, put in words: a row's value, an error's code, a completion.
    pub fn answer(&mut self) -> io::Result<String> {
        let mut words = Vec::new();
        loop {
            let (tag, body) = self.hear()?;
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end_matches('\0').to_string();
            match tag {
                b'Z' => return Ok(words.join(" ")),
                b'D' => words.push(format!("row:{}", text(&body[6..]))),
                b'C' => words.push(text(&body)),
                b'I' => words.push("empty".to_string()),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0);
                    let coded = fields.filter(|field| matches!(field.first(), Some(b'C' | b'D')));
                    words.extend(coded.map(text));
                }
                _ => {}
            }
        }
    }

    /// The first word of the answer, past the greeting, whether the session goes on after it or not.
    pub fn last_words(&mut self) -> String {
        loop {
            match self.hear() {
                Ok((b'D', body)) => return format!("row:{}", String::from_utf8_lossy(&body[6..])),
                Ok((b'E', body)) => {
                    let codes = body.split(|byte| *byte == 0).filter(|field| field.first() == Some(&b'C'));
                    return codes.map(String::from_utf8_lossy).collect();
                }
                Ok(_) => {}
                Err(fault) => return fault.to_string(),
            }
        }
    }

    pub fn ask(&mut self, query: &str) -> io::Result<String> {
        self.send(query)?;
        self.answer()
    }
}
