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

#[derive(Clone, Default)]
pub struct Log {
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
        let mut line = format!("{unix:.3} {} {}", record.level().as_short_str(), record.msg());
        // A value that can't be written is left out.
        let _ = slog::KV::serialize(&record.kv(), record, &mut Pairs(&mut line));
        let _ = slog::KV::serialize(fixed, record, &mut Pairs(&mut line));
        line.push('\n');
        waiting.lines.push_back(line);
        Ok(())
    }
}

impl Log {
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
