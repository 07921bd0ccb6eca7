//! Clients send a hundred commands at once, each with a value of half the size that is allowed.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{new_id, startup};
use crate::discovery::{Discovery, Entry};
use crate::host::{Host, Serve};
use crate::load::{Kind, Load};
use crate::pg;
use crate::record::Record;
use crate::router::Router;
use crate::settings::{RULES, Settings, Workload};

const MEMORY_MB: u64 = 48;
/// Below a third of the descriptors.
const CLIENTS: usize = 160;
const COMMANDS: usize = 100;
const VALUE_BYTES: usize = 30_000;
const SECONDS: f64 = 20.0;

struct Plain;

impl Serve for Plain {}

pub fn run(trouble: bool, record: &Arc<Record>) -> bool {
    let hosts: Vec<Arc<Host>> = (0..6)
        .map(|n| Host::start(&format!("db-{n}"), Duration::from_millis(30), n == 0, Arc::new(Plain), record))
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
        workloads: vec![Workload("get", 300, 2000, "pure", "bounded", 3000), Workload("put", 500, 2000, "side_effect", "write", 0)],
        registry_mode: "automatic",
        rules: RULES,
        window_ms: 5000,
    };
    let limits = format!(r#"{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":512}}"#);
    let router = Router::start(discovery.address, &settings.json(), r#"{"seq":0,"whole":true,"hosts":[]}"#, &limits);
    let get = |_| Kind { class: "get", is_write: false, deadline_ms: 2000 };
    let usual = Load::start(router.address, 8, 1, Duration::from_millis(50), get, record);
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let commands = Arc::new(AtomicU64::new(0));
    for _ in 0..CLIENTS {
        let (stop, commands, to) = (Arc::clone(&stop), Arc::clone(&commands), router.address);
        thread::spawn(move || while !stop.load(Ordering::SeqCst) {
            let _ = if trouble { all_at_once(to, &commands) } else { one_by_one(to, &commands, &stop) };
            thread::sleep(Duration::from_millis(5));
        });
    }
    let (mut most_kb, mut killed_at) = (0, None);
    let end = record.now() + SECONDS;
    while record.now() < end {
        let Some(used_kb) = anonymous_memory_kb(router.pid) else { break };
        if used_kb > most_kb {
            most_kb = used_kb;
            record.line(&format!("memory   {used_kb} kB anonymous"));
        }
        if used_kb > MEMORY_MB * 1024 {
            // What the platform does.
            router.signal("KILL");
            killed_at = Some(record.now());
            record.line("killed   by the platform: over the limit");
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    usual.stop();
    thread::sleep(Duration::from_millis(500));
    let shown = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let rows = shown(&usual.rows);
    record.say(&format!(
        "limit={} kB most={most_kb} kB anonymous memory, killed_at={killed_at:.2?} commands_written={} usual: rows={rows} router_runs={}",
        MEMORY_MB * 1024,
        shown(&commands),
        router.runs()
    ));
    if rows < 50 || (!trouble && shown(&commands) < 1000) {
        crate::cannot_run("too little was served to judge");
    }
    killed_at.is_none() && router.runs()
}

/// The process's memory without its program and libraries: less than what the platform counts.
fn anonymous_memory_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("RssAnon:")?.trim().strip_suffix(" kB")?.trim().parse().ok())
}

fn command() -> Vec<u8> {
    let (id, digits) = (new_id(), "0".repeat(2 * VALUE_BYTES));
    let text = format!("INSERT INTO kv (name, content) VALUES ('{id}', '\\x{digits}') RETURNING content /* id={id},c=put,d=2000,cluster=1 */\0");
    pg::message(b'Q', text.as_bytes())
}

/// Writes all commands at full speed, and reads what it is sent meanwhile.
fn all_at_once(to: SocketAddr, commands: &Arc<AtomicU64>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(&startup())?;
    let (mut writer, written) = (stream.try_clone()?, Arc::clone(commands));
    thread::spawn(move || {
        for _ in 0..COMMANDS {
            if writer.write_all(&command()).is_err() {
                return;
            }
            written.fetch_add(1, Ordering::SeqCst);
        }
    });
    let mut buffer = [0; 1 << 14];
    while stream.read(&mut buffer)? > 0 {}
    stream.shutdown(Shutdown::Both)
}

/// Writes the same commands, each after the answer to the one before.
fn one_by_one(to: SocketAddr, commands: &AtomicU64, stop: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(&startup())?;
    while pg::read_message(&mut stream)?.0 != b'Z' {}
    for _ in 0..COMMANDS {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        stream.write_all(&command())?;
        commands.fetch_add(1, Ordering::SeqCst);
        while pg::read_message(&mut stream)?.0 != b'Z' {}
    }
    Ok(())
}
