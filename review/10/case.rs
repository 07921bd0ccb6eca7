//! Discovery is slow, a database host begins to drain, and the router goes on sending it statements.
#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use rig::*;

/// How long discovery takes for each answer: less than its time-out of the site files (2,000 ms).
const SLOW_MS: u64 = 1800;
/// The grace of the settings, the slack of a time limit on sockets, and the stall that the pages allow a router.
const GRACE_MS: f64 = 250.0;
const SLACK_MS: f64 = 50.0 + 150.0;
/// A change counts as told this long after discovery had it and could be reached, at the latest.
const TOLD_MS: f64 = 6000.0;

fn main() {
    let folder = std::path::PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let temporary = temporary_folder("10");
    let fleet = new_fleet(&record);
    fleet.lock().stamped = false;
    add_host(&fleet, "s-primary", 11, true, 0.0, 15);
    add_host(&fleet, "s-one", 11, false, 10.0, 15);
    let drained = add_host(&fleet, "s-two", 11, false, 10.0, 15);
    add_host(&fleet, "s-three", 11, false, 10.0, 15);
    let discovery = start_discovery(&fleet);
    let known = list_json(&fleet.lock(), None);
    let settings = settings(&HARVEST_LOGS);
    let router = start_router(&record, &temporary, "n1", free_port(), discovery, &known, LIMITS, &settings);
    let listen = router.listen;

    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for client in 0..12u64 {
        let (stop, sent, served) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&served));
        clients.push(thread::spawn(move || {
            let mut connection = None;
            while !stop.load(Ordering::Relaxed) {
                let text = read_text(&new_id(), "lookup", &format!("{client:016x}"), 750, 11);
                sent.fetch_add(1, Ordering::Relaxed);
                let asked = match connection.take() {
                    Some(open) => Ok(open),
                    None => Client::connect(listen),
                };
                if let Ok(mut open) = asked {
                    if let Ok(answer) = open.ask(&text) {
                        served.fetch_add(u64::from(matches!(answer, Answer::Row(_))), Ordering::Relaxed);
                        connection = Some(open);
                    }
                }
                sleep_ms(60);
            }
        }));
    }
    sleep_ms(4000);
    if trouble() {
        fleet.lock().discovery_slow_ms = SLOW_MS;
        record.line(&format!("discovery is slow from now on: {SLOW_MS} ms for each answer"));
    }
    sleep_ms(8000);
    let before = fleet.lock().hosts[drained].got.len();
    fleet.list(|hosts| {
        hosts[drained].health = "leaving".to_string();
        vec![drained]
    });
    let drained_at = now_ms();
    sleep_ms(20_000);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let world = fleet.lock();
    let seq = world.seq;
    let written = world.told.iter().find(|(_, told)| *told >= seq).map(|(at, _)| at - drained_at);
    let late = drained_at + TOLD_MS + GRACE_MS + SLACK_MS;
    let all = &world.hosts[drained].got;
    let broken: Vec<&Got> = all.iter().filter(|got| got.at > late).collect();
    let last = all.last().map_or(0.0, |got| got.at - drained_at);
    record.line(&format!(
        "statements sent {}, served {}; discovery: {} calls, {} answers, the first with the drain written {:?} ms after it",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        world.calls,
        world.answers,
        written.map(f64::round)
    ));
    record.line(&format!(
        "{}: {before} statements before the drain, {} after it, {} of them later than {:.0} ms after it, the last {last:.0} ms after it",
        world.hosts[drained].name,
        all.len() - before,
        broken.len(),
        late - drained_at
    ));
    let enough = before > 50 && served.load(Ordering::Relaxed) > 1000;
    let broken = broken.len();
    drop(world);
    if broken > 0 {
        finish(&record, 1, &format!("broken: {broken} statements to a draining host after its grace, the last {last:.0} ms after it drained"));
    }
    if !enough {
        finish(&record, 2, "too few statements to judge");
    }
    finish(&record, 0, "held: nothing new to the draining host after its grace");
}
