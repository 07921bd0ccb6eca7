//! The log, a line an entry on standard output. It never holds up the loop: a line waits in memory until
//! standard output takes it, and is dropped, and counted, where too many wait.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Lines that may wait; at a hundred bytes or two each they take no room to speak of.
const WAITING: usize = 2000;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// Time, level, message, then `key=value`.
    #[default]
    Plain,
    /// An object a line.
    Json,
}

#[derive(Clone, Default)]
pub struct Log {
    form: Form,
    waiting: Arc<Mutex<Waiting>>,
}

/// Emptied by `flush`.
#[derive(Default)]
struct Waiting {
    lines: VecDeque<String>,
    dropped: u64,
}

struct Pairs<'a>(&'a mut String);

impl Serializer for Pairs<'_> {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments) -> slog::Result {
        write!(self.0, " {key}={value:?}").map_err(|_| slog::Error::Other)
    }
}

impl Drain for Log {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, fixed: &OwnedKVList) -> Result<(), Never> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.lines.len() >= WAITING {
            waiting.dropped += 1;
            return Ok(());
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        waiting.lines.push_back(match self.form {
            Form::Plain => plain(unix, record, fixed),
            Form::Json => object(unix, record, fixed),
        });
        Ok(())
    }
}

fn plain(unix: f64, record: &Record, fixed: &OwnedKVList) -> String {
    let mut line = format!("{unix:.3} {} {}", record.level().as_short_str(), record.msg());
    // A value that can't be written is left out.
    let _ = slog::KV::serialize(&record.kv(), record, &mut Pairs(&mut line));
    let _ = slog::KV::serialize(fixed, record, &mut Pairs(&mut line));
    line.push('\n');
    line
}

fn object(unix: f64, record: &Record, fixed: &OwnedKVList) -> String {
    let mut line = Vec::new();
    let json = slog_json::Json::new(&mut line);
    let at = (unix * 1000.0).round() / 1000.0;
    let keys = o!("message" => slog::PushFnValue(|record: &Record, serial| serial.emit(record.msg())),
        "level" => slog::FnValue(|record: &Record| record.level().as_str()), "at" => at);
    let json = json.set_newlines(true).add_key_value(keys).build();
    // A line that can't be written is left out; nothing that is logged here is of that kind.
    let _ = json.log(record, fixed);
    drop(json);
    String::from_utf8_lossy(&line).into_owned()
}

impl Log {
    pub fn new(form: Form) -> Log {
        Log { form, ..Log::default() }
    }

    pub fn logger(&self, name: &str) -> Logger {
        Logger::root(self.clone().fuse(), o!("router" => name.to_string()))
    }

    /// Writes what standard output takes without blocking, a line at a time: a pipe that is ready takes a page.
    pub fn flush(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let out = std::io::stdout();
        while let Some(line) = waiting.lines.front() {
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            let asked = poll(&mut ready, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
            if !matches!(asked, Ok(1)) || !ready[0].revents().contains(PollFlags::OUT) {
                return;
            }
            let mut out = out.lock();
            let wrote = out.write_all(line.as_bytes()).and_then(|()| out.flush());
            waiting.lines.pop_front();
            if wrote.is_err() {
                return;
            }
        }
    }

    pub fn dropped(&self) -> u64 {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
