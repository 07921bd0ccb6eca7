//! Discovery of the protocol page, over HTTP: the whole list, and watches of its changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub dial: SocketAddr,
    pub site: String,
    pub block: u64,
    pub health: &'static str,
    pub born_ms: u64,
}

struct State {
    version: u64,
    /// Each entry with the version that changed it last.
    entries: Vec<(u64, Entry)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Arc<Record>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State { version: 1, entries }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = Arc::clone(&accepting);
                thread::spawn(move || drop(discovery.converse(stream)));
            }
        });
        discovery
    }

    fn converse(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request)? == 0 {
                return Ok(());
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let path = request.split(' ').nth(1).unwrap_or("").to_string();
            self.record.line(&format!("asked    {path}"));
            let parameter = |name: &str| -> Option<u64> {
                let query = path.split_once('?')?.1;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let since = parameter("since");
            if let Some(since) = since {
                let until = Instant::now() + Duration::from_millis(parameter("timeout_ms").unwrap_or(0).min(60_000));
                let mut state = self.state.lock().unwrap();
                while state.version <= since && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            let (body, version) = self.body(since);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            let written = stream.write_all((head + &body).as_bytes());
            self.record.line(&format!("told     seq={version} {path} {}", if written.is_ok() { "written" } else { "not written: the caller has gone" }));
            written?;
        }
    }

    fn body(&self, since: Option<u64>) -> (String, u64) {
        let state = self.state.lock().unwrap();
        let listed = state.entries.iter().filter(|(version, entry)| match since {
            Some(since) => *version > since,
            None => entry.health != "left",
        });
        let hosts: Vec<String> = listed.map(|(_, entry)| json(entry)).collect();
        let body = format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, state.version, since.is_none(), hosts.join(","));
        (body, state.version)
    }
}

pub fn json(entry: &Entry) -> String {
    let Entry { name, dial, site, block, health, born_ms } = entry;
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"{site}","class":"m2","block":{block},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
    )
}
