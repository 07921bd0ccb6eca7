//! The stand-ins of the review's cases and what each case does. Standard library alone; built by review/build.sh.

mod client;
mod discovery;
mod extra_answers;
mod host;
mod load;
mod pg;
mod pipelined_commands;
mod proxy;
mod record;
mod router;
mod settings;
mod silent_clients;

use std::process::exit;
use std::sync::Arc;

use record::Record;

/// Ends the case with 2: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    router::end_all();
    exit(2);
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else { cannot_run("usage: rig CASE RECORD") };
    // A panic in any thread means that the case could not run.
    std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Arc::new(Record::create(record));
    let is_kept = match case.as_str() {
        "extra-answers" => extra_answers::run(trouble, &record),
        "pipelined-commands" => pipelined_commands::run(trouble, &record),
        "silent-clients" => silent_clients::run(trouble, &record),
        _ => cannot_run("no such case"),
    };
    router::end_all();
    record.say(if is_kept { "verdict: the rule held" } else { "verdict: the rule was broken" });
    exit(i32::from(!is_kept));
}
