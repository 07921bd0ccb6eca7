//! Writing of the reply to a batch.

use std::fmt::Arguments;
use std::io::Write;

use super::{InstanceNumber, RequestId};

const OPENING: &[u8] = b"{\"parts\":[";
const WRITE_TO_VEC_FAILED: &str = "writing to a Vec failed";

/// The reply to one batch, written while the batch is read. Each action is followed by a comma; [`Reply::end_part`]
/// removes the last one.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    /// The offset of the current part, including the comma before it.
    part_start: usize,
    /// The offset of the first action of the current part.
    actions_start: usize,
}

impl Reply {
    /// Starts a new reply.
    pub fn begin(&mut self) {
        self.bytes.clear();
        self.bytes.extend_from_slice(OPENING);
    }

    /// Starts the part with the actions of this instance.
    pub fn begin_part(&mut self, instance: InstanceNumber) {
        self.part_start = self.bytes.len();
        if self.part_start > OPENING.len() {
            self.bytes.push(b',');
        }
        self.write(format_args!("{{\"who\":{instance},\"steps\":["));
        self.actions_start = self.bytes.len();
    }

    /// Ends the part. A part without actions is omitted.
    pub fn end_part(&mut self) {
        if self.bytes.len() == self.actions_start {
            self.bytes.truncate(self.part_start);
        } else {
            self.bytes.pop();
            self.bytes.extend_from_slice(b"]}");
        }
    }

    /// Ends the reply and returns the complete line, including the line end.
    pub fn finish(&mut self) -> &[u8] {
        self.bytes.extend_from_slice(b"]}\n");
        &self.bytes
    }

    /// Sends an attempt that times out after `timeout_seconds`, or when the client gives up if that is 0.
    pub fn start_attempt(&mut self, request: RequestId, endpoint: &str, timeout_seconds: f64) {
        let timeout_ms = to_milliseconds(timeout_seconds);
        self.write(format_args!(
            "{{\"forward\":{{\"tid\":{request},\"give_up_after_ms\":{timeout_ms},\"host\":"
        ));
        self.write_string(endpoint);
        self.end_action();
    }

    /// Ends the request with a rejection. It has not run, and the client may retry after `retry_after_seconds`.
    pub fn reject(&mut self, request: RequestId, retry_after_seconds: f64) {
        let retry_after_ms = to_milliseconds(retry_after_seconds);
        self.write(format_args!("{{\"say_no\":{{\"tid\":{request},\"retry_in_ms\":{retry_after_ms}"));
        self.end_action();
    }

    /// Ends the request with an error. It may or may not have taken effect.
    pub fn abort(&mut self, request: RequestId) {
        self.write(format_args!("{{\"finish_error\":{{\"tid\":{request}"));
        self.end_action();
    }

    /// Cancels the attempt with the given number, counted from 0.
    pub fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        self.write(format_args!("{{\"call_off\":{{\"tid\":{request},\"trial\":{attempt}"));
        self.end_action();
    }

    /// Sends a health check.
    pub fn start_health_check(&mut self, endpoint: &str) {
        self.write(format_args!("{{\"sound_out\":{{\"host\":"));
        self.write_string(endpoint);
        self.end_action();
    }

    /// Sets the instance's timer to expire after `delay_seconds`.
    pub fn schedule_tick(&mut self, delay_seconds: f64) {
        let delay_ms = to_milliseconds(delay_seconds);
        self.write(format_args!("{{\"notify_me\":{{\"sleep_for_ms\":{delay_ms},\"name\":\"beat\""));
        self.end_action();
    }

    /// Subscribes to changes of the endpoint list.
    pub fn request_endpoint_list(&mut self) {
        self.write(format_args!("{{\"follow\":{{\"want\":true"));
        self.end_action();
    }

    /// Adds `text` as a line to the simulator's report.
    pub fn log(&mut self, text: &str) {
        self.write(format_args!("{{\"record\":{{\"what\":"));
        self.write_string(text);
        self.end_action();
    }

    fn write(&mut self, json: Arguments<'_>) {
        self.bytes.write_fmt(json).expect(WRITE_TO_VEC_FAILED);
    }

    fn write_string(&mut self, text: &str) {
        serde_json::to_writer(&mut self.bytes, text).expect(WRITE_TO_VEC_FAILED);
    }

    fn end_action(&mut self) {
        self.bytes.extend_from_slice(b"}},");
    }
}

/// Converts seconds to milliseconds, rounded to whole microseconds, the resolution of the wire.
fn to_milliseconds(seconds: f64) -> f64 {
    (seconds * 1e6).round() / 1e3
}
