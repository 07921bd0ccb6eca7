//! A host sends a second copy right behind an answer, when nothing else waits on the connection.

use std::collections::HashSet;
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Client, get, new_id, put};
use crate::discovery::{Discovery, Entry};
use crate::host::{Host, Serve, Statement, value_of};
use crate::record::Record;
use crate::router::Router;
use crate::settings::{LIMITS, RULES, Settings, Workload};
use crate::proxy;

/// One answer in so many is followed by its copy.
const COPY_EVERY: u64 = 25;
/// The way between router and hosts, one way: the middle of the 0.7 to 1.3 ms that the pages give.
const ONE_WAY: Duration = Duration::from_micros(1000);
/// From the answer to its copy.
const BEHIND: Duration = Duration::from_micros(300);
const CLIENTS: u64 = 12;
const SECONDS: f64 = 25.0;

struct Copies {
    trouble: bool,
    answers: AtomicU64,
    copies: AtomicU64,
    /// The statements that have arrived at a host.
    arrived: Mutex<HashSet<String>>,
}

impl Serve for Copies {
    fn arrived(&self, _host: &Host, statement: &Statement) {
        self.arrived.lock().unwrap().insert(statement.id.clone());
    }

    fn answered(&self, host: &Host, statement: &Statement, answer: &[u8], to: &mut TcpStream) -> io::Result<()> {
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        if !self.trouble || number % COPY_EVERY != 0 {
            return Ok(());
        }
        thread::sleep(BEHIND);
        // Only when nothing else waits on the connection.
        to.set_nonblocking(true)?;
        let waits = to.peek(&mut [0]);
        to.set_nonblocking(false)?;
        if matches!(waits, Err(e) if e.kind() == ErrorKind::WouldBlock) {
            host.record.line(&format!("copy     host={} of id={} key={}", host.name, statement.id, statement.key));
            self.copies.fetch_add(1, Ordering::SeqCst);
            to.write_all(answer)?;
        }
        Ok(())
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> bool {
    let copies = Arc::new(Copies { trouble, answers: AtomicU64::new(0), copies: AtomicU64::new(0), arrived: Mutex::default() });
    let hosts: Vec<Arc<Host>> = (0..3)
        .map(|n| Host::start(&format!("db-{n}"), Duration::from_millis(10), n == 0, Arc::clone(&copies) as Arc<dyn Serve>, record))
        .collect();
    let entries = hosts.iter().map(|host| Entry {
        name: host.name.clone(),
        dial: proxy::link(host.address, ONE_WAY),
        site: "a".to_string(),
        block: 1,
        health: "active",
        born_ms: 0,
    });
    let discovery = Discovery::start(entries.collect(), record);
    let settings = Settings {
        workloads: vec![Workload("get", 300, 2000, "pure", "bounded", 3000), Workload("put", 500, 2000, "side_effect", "write", 0)],
        registry_mode: "automatic",
        rules: RULES,
        window_ms: 5000,
    };
    let router = Router::start(discovery.address, &settings.json(), r#"{"seq":0,"whole":true,"hosts":[]}"#, LIMITS);
    let counts: [AtomicU64; 5] = Default::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (counts, stop, copies, address) = (&counts, &stop, &copies, router.address);
            scope.spawn(move || {
                let mut connection = None;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let Ok(open) = connection.take().map_or_else(|| Client::connect(address), Ok) else { continue };
                    connection = Some(ask(open, client, number, copies, counts, record)).flatten();
                    thread::sleep(Duration::from_millis(27 + (client * 7 + number * 13) % 11));
                }
            });
        }
        thread::sleep(Duration::from_secs_f64(SECONDS));
        stop.store(true, Ordering::SeqCst);
    });
    let [right, foreign, refused, other, early] = counts.map(|count| count.into_inner());
    let copies = copies.copies.load(Ordering::SeqCst);
    record.say(&format!("copies={copies} served={right} foreign={foreign} of_these_writes_that_no_host_had_received={early} errors={refused} without_answer={other} router_runs={}", router.runs()));
    if right < 1000 || (trouble && copies < 50) {
        crate::cannot_run("too little was served or copied to judge");
    }
    foreign == 0
}

/// Sends one request; returns the connection if it can be used again.
fn ask(mut connection: Client, client: u64, number: u64, copies: &Copies, counts: &[AtomicU64; 5], record: &Record) -> Option<Client> {
    let (id, key) = (new_id(), format!("{client:04x}{number:012x}"));
    let is_write = number % 3 == 0;
    let text = if is_write { put(&id, &key, "put", 2000, 1) } else { get(&id, &key, "get", 2000, 1) };
    record.line(&format!("sent     id={id} key={key} {}", if is_write { "put" } else { "get" }));
    let answer = connection.ask(&text, Duration::from_millis(2500));
    match &answer {
        Answer::Row(value) if *value == value_of(&key) => counts[0].fetch_add(1, Ordering::SeqCst),
        Answer::Row(value) => {
            if is_write && !copies.arrived.lock().unwrap().contains(&id) {
                record.line(&format!("EARLY    id={id}: a write is answered that no host has received"));
                counts[4].fetch_add(1, Ordering::SeqCst);
            }
            record.line(&format!("FOREIGN  id={id} key={key} was answered with \"{}\"", String::from_utf8_lossy(value)));
            counts[1].fetch_add(1, Ordering::SeqCst)
        }
        Answer::Error(..) => counts[2].fetch_add(1, Ordering::SeqCst),
        _ => counts[3].fetch_add(1, Ordering::SeqCst),
    };
    record.line(&format!("answered id={id} {answer:?}"));
    matches!(answer, Answer::Row(_) | Answer::Error(..)).then_some(connection)
}
