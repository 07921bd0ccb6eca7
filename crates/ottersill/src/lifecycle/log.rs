//! The log, a line an entry on standard output. It never holds up the loop: a line waits in memory until
//! standard output takes it, and is dropped, and counted, where too many wait.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Stdout;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::{Errno, retry_on_intr};
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Lines that may wait; at a hundred bytes or two each they take no room to speak of.
const WAITING: usize = 2000;
/// Written at once: a pipe that is ready takes a page without blocking.
const PIPE_PAGE: usize = 4096;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// Time, level, message, then `key=value`.
    #[default]
    Plain,
    /// An object a line.
    Json,
}

/// The log of this process.
#[derive(Clone, Default)]
pub struct Log {
    form: Form,
    waiting: Arc<Mutex<Waiting>>,
}

/// Emptied by `flush`.
#[derive(Default)]
struct Waiting {
    lines: VecDeque<String>,
    /// Bytes of the first line that are written.
    written: usize,
    dropped: u64,
}

impl Waiting {
    fn next_line(&mut self) {
        self.lines.pop_front();
        self.written = 0;
    }

    fn drop_all(&mut self) {
        self.dropped += self.lines.len() as u64;
        self.lines.clear();
        self.written = 0;
    }
}

/// Whether a write to it would not block now.
fn is_writable(out: &Stdout) -> bool {
    let mut ready = [PollFd::new(out, PollFlags::OUT)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let asked = retry_on_intr(|| poll(&mut ready, Some(&now)));
    matches!(asked, Ok(1)) && ready[0].revents().contains(PollFlags::OUT)
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
    /// A log in that form.
    pub fn new(form: Form) -> Log {
        Log { form, ..Log::default() }
    }

    /// A logger whose lines name the router.
    pub fn logger(&self, name: &str) -> Logger {
        Logger::root(self.clone().fuse(), o!("router" => name.to_string()))
    }

    /// Writes what standard output takes without blocking. Where that fails, for want of room on a disk as an example, the
    /// lines wait for the next call; where nobody reads any more they are dropped.
    pub fn flush(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let out = std::io::stdout();
        while let Some(line) = waiting.lines.front() {
            if !is_writable(&out) {
                return;
            }
            let rest = &line.as_bytes()[waiting.written..];
            match rustix::io::write(&out, &rest[..rest.len().min(PIPE_PAGE)]) {
                Ok(0) => return,
                Ok(count) if count < rest.len() => waiting.written += count,
                Ok(_) => waiting.next_line(),
                Err(Errno::INTR) => {}
                Err(Errno::PIPE) => return waiting.drop_all(),
                Err(_) => return,
            }
        }
    }

    /// How many lines were dropped.
    pub fn dropped(&self) -> u64 {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
