//! A bad client sends the id of another client's open statement, which waits behind a longer one: it is served, and the statement
//! runs twice.
#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use rig::*;

const USUAL_CLIENTS: u64 = 6;
const FOR_MS: f64 = 15_000.0;

/// A weigh-in of a usual client that waits behind a season-report, and what became of it.
#[derive(Clone)]
struct WeighIn {
    id: String,
    key: String,
    sent: f64,
    answered: f64,
    answer: String,
}

fn main() {
    let folder = std::path::PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder);
    let temporary = temporary_folder("6");
    let fleet = new_fleet(&record);
    fleet.lock().stamped = false;
    for member in 0..5 {
        add_host(&fleet, &format!("s-{member}"), 11, member == 0, 10.0, 0);
    }
    let discovery = start_discovery(&fleet);
    let known = list_json(&fleet.lock(), None);
    let settings = settings(&HARVEST_LOGS);
    let router = start_router(&record, &temporary, "n1", free_port(), discovery, &known, LIMITS, &settings);
    let listen = router.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let weigh_ins: Arc<Mutex<Vec<WeighIn>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (stop, weigh_ins, record) = (Arc::clone(&stop), Arc::clone(&weigh_ins), record.clone());
        threads.push(thread::spawn(move || {
            let mut connection: Option<Client> = None;
            while !stop.load(Ordering::Relaxed) {
                let Some(mut client) = connection.take().or_else(|| Client::connect(listen).ok()) else { continue };
                let (report, id, key) = (new_id(), new_id(), format!("{number:016x}"));
                let first = read_text(&report, "season-report", &key, 5000, 11);
                let second = write_text(&id, "weigh-in", &key, 2000, 11);
                if client.send(&first).and_then(|()| client.send(&second)).is_err() {
                    continue;
                }
                record.line(&format!("client {number} sends {report} season-report and {id} weigh-in at once"));
                let sent = now_ms();
                let place = {
                    let mut weigh_ins = weigh_ins.lock().unwrap();
                    weigh_ins.push(WeighIn { id: id.clone(), key, sent, answered: f64::INFINITY, answer: String::new() });
                    weigh_ins.len() - 1
                };
                let answers = client.receive().and_then(|_| client.receive());
                let answer = answers.map_or_else(|error| error.to_string(), |answer| answer.word());
                record.line(&format!("client {number}: {id} has {answer}"));
                let mut weigh_ins = weigh_ins.lock().unwrap();
                weigh_ins[place].answered = now_ms();
                weigh_ins[place].answer = answer;
                drop(weigh_ins);
                connection = Some(client);
                sleep_ms(300);
            }
        }));
    }
    // The bad client: it takes the id of a statement that another client has open, and sends a statement of its own with it.
    let served = {
        let (stop, weigh_ins, record) = (Arc::clone(&stop), Arc::clone(&weigh_ins), record.clone());
        thread::spawn(move || {
            let (mut next, mut sent, mut served) = (0, 0, Vec::new());
            while trouble() && !stop.load(Ordering::Relaxed) {
                sleep_ms(5);
                let open = weigh_ins.lock().unwrap().get(next).cloned();
                let Some(open) = open.filter(|open| now_ms() - open.sent > 60.0) else { continue };
                next += 1;
                if open.answered.is_finite() {
                    continue;
                }
                let text = write_text(&open.id, "weigh-in", &open.key, 2000, 11);
                sent += 1;
                let answer = Client::connect(listen).and_then(|mut client| client.ask(&text));
                let at = now_ms();
                let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.word());
                record.line(&format!("the bad client, with the id {} of another client's open statement, has {answer}", open.id));
                if answer.starts_with("row") {
                    served.push((open.id, at));
                }
            }
            (sent, served)
        })
    };
    sleep_ms(FOR_MS as u64);
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let (sent, served) = served.join().unwrap();

    let weigh_ins = weigh_ins.lock().unwrap();
    let world = fleet.lock();
    let got: Vec<&Got> = world.hosts.iter().flat_map(|host| &host.got).filter(|got| got.what == "ran").collect();
    let mut broken = 0;
    let mut twice = 0;
    for one in weigh_ins.iter() {
        let runs = got.iter().filter(|got| got.id == one.id).count();
        let served_at = served.iter().find(|(id, _)| *id == one.id).map(|(_, at)| *at);
        let while_open = served_at.is_some_and(|at| at < one.answered);
        if while_open || runs > 1 {
            broken += usize::from(while_open);
            twice += usize::from(runs > 1);
            record.line(&format!(
                "broken: {} ran {runs} times; the bad client had a row for it {:.0} ms before its owner had {}",
                one.id,
                one.answered - served_at.unwrap_or(f64::NAN),
                one.answer
            ));
        }
    }
    let rows = weigh_ins.iter().filter(|one| one.answer.starts_with("row")).count();
    record.line(&format!(
        "weigh-ins {}, rows {rows}; bad client: {sent} statements with the id of an open one, {broken} of them served while it was open; weigh-ins that ran twice {twice}",
        weigh_ins.len()
    ));
    let all = weigh_ins.len();
    drop(world);
    if broken + twice > 0 {
        finish(&record, 1, &format!("broken: {broken} statements with the id of another client's open one served, {twice} of {all} weigh-ins ran twice"));
    }
    if all < 30 || (trouble() && sent < 10) {
        finish(&record, 2, "too few statements to judge");
    }
    finish(&record, 0, "held: every weigh-in ran once at most, and the bad client had no row");
}
