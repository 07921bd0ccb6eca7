//! Clients that connect by hundreds and say nothing, beside the usual clients.

use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, get, new_id};
use crate::discovery::{Discovery, Entry};
use crate::host::{Host, Serve, Statement, served};
use crate::load::{Kind, Load};
use crate::pg;
use crate::record::Record;
use crate::router::Router;
use crate::settings::{RULES, Settings, Workload};

/// Connections that say nothing: hundreds, and less than the router's listen queue and connections hold together.
const SILENT: usize = 290;
/// Clients with a request open all the time. With the others they hold less than a third of the descriptors.
const REPORTS: u64 = 66;
/// Clients that ask once on each connection.
const LOOKUPS: u64 = 16;
const LOOKUP_MS: u64 = 300;
/// A final answer that comes later than this after its time, or never, is lost.
const LATEST_MS: u64 = 500;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":256}"#;
const SECONDS: f64 = 20.0;

/// More time left than there is, by more than the pages allow. It is recorded, and does not decide the verdict.
const SLACK_MS: u128 = 150;

struct Work {
    /// When each look-up was sent.
    sent: Mutex<HashMap<String, Instant>>,
    told_too_much: AtomicU64,
}

impl Serve for Work {
    fn arrived(&self, host: &Host, statement: &Statement) {
        let Some(sent) = self.sent.lock().unwrap().get(&statement.id).copied() else { return };
        let told = pg::field(&statement.text, "d").and_then(|d| d.parse::<u128>().ok()).unwrap_or(0);
        let since = sent.elapsed().as_millis();
        host.record.line(&format!("told     host={} id={} d={told} {since} ms after it was sent", host.name, statement.id));
        if since + told > u128::from(LOOKUP_MS) + SLACK_MS {
            self.told_too_much.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn answer(&self, host: &Host, statement: &Statement) -> Vec<u8> {
        thread::sleep(if statement.class == "report" { Duration::from_millis(450) } else { host.work });
        served(statement)
    }
}

#[derive(Default)]
struct Counts {
    in_time: AtomicU64,
    /// After its time, by half a second at most: earns nothing.
    late: AtomicU64,
    lost: AtomicU64,
    /// The connection was ended without an answer, or could not be made: the client asks again elsewhere.
    not_taken: AtomicU64,
    silent_connections: AtomicU64,
}

pub fn run(trouble: bool, record: &Arc<Record>) -> bool {
    let work = Arc::new(Work { sent: Mutex::default(), told_too_much: AtomicU64::new(0) });
    let hosts: Vec<Arc<Host>> = (0..6)
        .map(|n| Host::start(&format!("db-{n}"), Duration::from_millis(30), n == 0, Arc::clone(&work) as Arc<dyn Serve>, record))
        .collect();
    let entries = hosts.iter().map(|host| Entry {
        name: host.name.clone(),
        dial: host.address,
        site: "a".to_string(),
        block: 1,
        health: "active",
        born_ms: 0,
    });
    let discovery = Discovery::start(entries.collect(), record);
    let settings = Settings {
        workloads: vec![Workload("lookup", 300, 750, "pure", "bounded", 3000), Workload("report", 2500, 5000, "pure", "any", 0)],
        registry_mode: "automatic",
        rules: RULES,
        window_ms: 5000,
    };
    let router = Router::start(discovery.address, &settings.json(), r#"{"seq":0,"whole":true,"hosts":[]}"#, LIMITS);
    let report = |_| Kind { class: "report", is_write: false, deadline_ms: 5000 };
    let reports = Load::start(router.address, REPORTS, 1, Duration::from_millis(1), report, record);
    thread::sleep(Duration::from_secs(2));
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    if trouble {
        for _ in 0..SILENT {
            let (counts, stop, to) = (Arc::clone(&counts), Arc::clone(&stop), router.address);
            thread::spawn(move || while !stop.load(Ordering::SeqCst) {
                say_nothing(to, &counts);
            });
        }
        thread::sleep(Duration::from_secs(2));
    }
    for client in 0..LOOKUPS {
        let (counts, stop, record, to) = (Arc::clone(&counts), Arc::clone(&stop), Arc::clone(record), router.address);
        let work = Arc::clone(&work);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(13 * client));
            while !stop.load(Ordering::SeqCst) {
                look_up(to, &counts, &work, &record);
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    thread::sleep(Duration::from_secs_f64(SECONDS));
    stop.store(true, Ordering::SeqCst);
    reports.stop();
    thread::sleep(Duration::from_secs(1));
    let shown = |count: &AtomicU64| count.load(Ordering::SeqCst);
    record.say(&format!(
        "lookups: in_time={} late={} lost={} not_taken={}; told_too_much={} reports={} silent_connections={} router_runs={}",
        shown(&counts.in_time), shown(&counts.late), shown(&counts.lost), shown(&counts.not_taken), shown(&work.told_too_much),
        shown(&reports.rows), shown(&counts.silent_connections), router.runs()
    ));
    if shown(&reports.rows) < 100 || (!trouble && shown(&counts.in_time) < 200) {
        crate::cannot_run("too little was served to judge");
    }
    shown(&counts.lost) == 0
}

/// Connects, says nothing until the router closes, and begins again.
fn say_nothing(to: SocketAddr, counts: &Counts) {
    if let Ok(mut stream) = TcpStream::connect(to) {
        counts.silent_connections.fetch_add(1, Ordering::SeqCst);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let _ = stream.read(&mut [0; 64]);
    }
    thread::sleep(Duration::from_millis(2));
}

/// Connects, asks once, and waits until the answer would be lost. The startup message and the query go out together.
fn look_up(to: SocketAddr, counts: &Counts, work: &Work, record: &Record) {
    let (id, deadline) = (new_id(), Duration::from_millis(LOOKUP_MS));
    let began = Instant::now();
    let Ok(mut client) = Client::connect_later(to) else {
        record.line(&format!("no connection for id={id}"));
        counts.not_taken.fetch_add(1, Ordering::SeqCst);
        return;
    };
    let connected = began.elapsed();
    let asked = Instant::now();
    work.sent.lock().unwrap().insert(id.clone(), asked);
    record.line(&format!("sent     id={id} d={LOOKUP_MS} connected_after={:.3}", connected.as_secs_f64()));
    let answer = client.ask_first(&get(&id, &id, "lookup", LOOKUP_MS, 1), deadline + Duration::from_millis(LATEST_MS));
    let took = asked.elapsed();
    let counter = match answer {
        Answer::Nothing => &counts.lost,
        Answer::Ended => &counts.not_taken,
        _ if took <= deadline => &counts.in_time,
        _ => &counts.late,
    };
    counter.fetch_add(1, Ordering::SeqCst);
    let shown = if matches!(answer, Answer::Row(_)) { "row".to_string() } else { format!("{answer:?}") };
    let verdict = if matches!(answer, Answer::Nothing) { " LOST" } else { "" };
    record.line(&format!("answered id={id} after={:.3} {shown}{verdict}", took.as_secs_f64()));
}
