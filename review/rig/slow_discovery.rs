//! Discovery answers each call, but late; meanwhile a host begins to drain.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::discovery::{Discovery, Entry};
use crate::host::{Host, Serve, Statement};
use crate::load::{Kind, Load};
use crate::record::Record;
use crate::router::Router;
use crate::settings::{LIMITS, RULES, Settings, Workload};

/// How much later each answer comes. The pages give discovery 2 s for a call.
const SLOWNESS: Duration = Duration::from_millis(1600);
const SLOW_FROM: f64 = 5.0;
const DRAIN_AT: f64 = 10.0;
const END_AT: f64 = 45.0;
/// A change counts as told this long after discovery has it and can be reached.
const TOLD_AFTER: f64 = 6.0;
/// The grace of the settings, 50 ms for sockets, and 200 ms for the way of a statement in this test.
const GRACE: f64 = 0.250 + 0.050 + 0.200;

/// Records when statements arrive.
struct Arrivals {
    times: Mutex<Vec<f64>>,
}

impl Serve for Arrivals {
    fn arrived(&self, host: &Host, statement: &Statement) {
        let now = host.record.now();
        host.record.line(&format!("arrived  host={} id={}", host.name, statement.id));
        self.times.lock().unwrap().push(now);
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> bool {
    let arrivals: Vec<Arc<Arrivals>> = (0..3).map(|_| Arc::new(Arrivals { times: Mutex::default() })).collect();
    let work = Duration::from_millis(10);
    let hosts: Vec<Arc<Host>> = (0..3)
        .map(|n| Host::start(&format!("db-{n}"), work, n == 0, Arc::clone(&arrivals[n]) as Arc<dyn Serve>, record))
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
    let router = Router::start(discovery.address, &settings.json(), r#"{"seq":0,"whole":true,"hosts":[]}"#, LIMITS);
    let kind = |number| {
        let is_write = number % 10 == 0;
        Kind { class: if is_write { "put" } else { "get" }, is_write, deadline_ms: 2000 }
    };
    let load = Load::start(router.address, 6, 1, Duration::from_millis(40), kind, record);
    let until = |at: f64| thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
    until(SLOW_FROM);
    if trouble {
        discovery.set_slowness(SLOWNESS);
    }
    until(DRAIN_AT);
    discovery.change("db-2", |entry| entry.health = "leaving");
    let drained_at = record.now();
    until(END_AT);
    load.stop();
    let bound = drained_at + if trouble { TOLD_AFTER } else { 0.5 } + GRACE;
    let times = arrivals[2].times.lock().unwrap();
    let before = times.iter().filter(|at| **at < drained_at).count();
    let late: Vec<f64> = times.iter().copied().filter(|at| *at > bound).collect();
    let rows = load.rows.load(std::sync::atomic::Ordering::SeqCst);
    record.say(&format!(
        "drain_in_the_list={drained_at:.2} bound={bound:.2} statements_to_the_draining_host: before={before} after_the_bound={} last={:.2} rows={rows}",
        late.len(),
        late.last().copied().unwrap_or(0.0)
    ));
    if before < 50 || rows < 1000 {
        crate::cannot_run("too little was served to judge");
    }
    late.is_empty()
}
