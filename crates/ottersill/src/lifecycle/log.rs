//! The log, which writes one line per entry to standard output. It never blocks the event loop: lines are queued in memory until
//! standard output accepts them, and are dropped and counted while the queue is full.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Stdout;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::{Errno, retry_on_intr};
use slog::{Drain, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Maximum number of queued lines. At one to two hundred bytes each, their memory is negligible.
const MAX_QUEUED_LINES: usize = 2000;
/// Maximum number of bytes per write. A pipe that polls as writable accepts one page without blocking.
const MAX_WRITE_BYTES: usize = 4096;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Time, level and message, followed by `key=value` pairs.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// The log of this process.
#[derive(Clone, Default)]
pub struct Log {
    format: LogFormat,
    queue: Arc<Mutex<LineQueue>>,
}

/// Lines that are not written yet. [`Log::flush`] writes them.
#[derive(Default)]
struct LineQueue {
    lines: VecDeque<String>,
    /// The number of bytes of the first line that are written already.
    written_bytes: usize,
    dropped: u64,
}

impl LineQueue {
    fn finish_first_line(&mut self) {
        self.lines.pop_front();
        self.written_bytes = 0;
    }

    fn drop_all(&mut self) {
        self.dropped += self.lines.len() as u64;
        self.lines.clear();
        self.written_bytes = 0;
    }
}

/// Whether a write to `out` would not block now.
fn is_writable(out: &Stdout) -> bool {
    let mut ready = [PollFd::new(out, PollFlags::OUT)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = retry_on_intr(|| poll(&mut ready, Some(&now)));
    matches!(polled, Ok(1)) && ready[0].revents().contains(PollFlags::OUT)
}

/// Appends values as `key=value` pairs.
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
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.lines.len() >= MAX_QUEUED_LINES {
            queue.dropped += 1;
            return Ok(());
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        queue.lines.push_back(match self.format {
            LogFormat::Plain => format_plain(unix, record, fixed),
            LogFormat::Json => format_json(unix, record, fixed),
        });
        Ok(())
    }
}

fn format_plain(unix: f64, record: &Record, fixed: &OwnedKVList) -> String {
    let mut line = format!("{unix:.3} {} {}", record.level().as_short_str(), record.msg());
    // A value that can't be formatted is left out.
    let _ = slog::KV::serialize(&record.kv(), record, &mut Pairs(&mut line));
    let _ = slog::KV::serialize(fixed, record, &mut Pairs(&mut line));
    line.push('\n');
    line
}

fn format_json(unix: f64, record: &Record, fixed: &OwnedKVList) -> String {
    let mut line = Vec::new();
    let json = slog_json::Json::new(&mut line);
    let at = (unix * 1000.0).round() / 1000.0;
    let keys = o!("message" => slog::PushFnValue(|record: &Record, serial| serial.emit(record.msg())),
        "level" => slog::FnValue(|record: &Record| record.level().as_str()), "at" => at);
    let json = json.set_newlines(true).add_key_value(keys).build();
    // A line that can't be serialized is left out. No value that this program logs fails to serialize.
    let _ = json.log(record, fixed);
    drop(json);
    String::from_utf8_lossy(&line).into_owned()
}

impl Log {
    /// An empty log with that format.
    pub fn new(format: LogFormat) -> Log {
        Log { format, ..Log::default() }
    }

    /// A logger whose lines have the router's name.
    pub fn logger(&self, name: &str) -> Logger {
        Logger::root(self.clone().fuse(), o!("router" => name.to_string()))
    }

    /// Writes as many queued lines as standard output accepts without blocking. After an error, for instance a full disk, the
    /// lines stay queued for the next call; if the reader has closed the pipe, they are dropped.
    pub fn flush(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let out = std::io::stdout();
        while let Some(line) = queue.lines.front() {
            if !is_writable(&out) {
                return;
            }
            let remaining = &line.as_bytes()[queue.written_bytes..];
            match rustix::io::write(&out, &remaining[..remaining.len().min(MAX_WRITE_BYTES)]) {
                Ok(0) => return,
                Ok(count) if count < remaining.len() => queue.written_bytes += count,
                Ok(_) => queue.finish_first_line(),
                Err(Errno::INTR) => {}
                Err(Errno::PIPE) => return queue.drop_all(),
                Err(_) => return,
            }
        }
    }

    /// The number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
