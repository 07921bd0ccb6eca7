//! The transcript of a run. Its vocabulary does not depend on the names of the crate's types, so that renaming these does
//! not change the recorded digests.

use std::fmt::Write;

use ottersill_routing::interface::*;

/// An action that the router requested from its transport.
pub enum Action {
    /// `timeout` is in seconds; 0 means that the attempt may take the time that the client has left.
    Send {
        request: usize,
        endpoint: usize,
        timeout: f64,
    },
    FinalAnswer {
        request: usize,
    },
    CancelAttempt {
        request: usize,
    },
    StartHealthCheck {
        endpoint: usize,
    },
    /// `after` is in seconds.
    ScheduleTick {
        after: f64,
    },
    RequestEndpointList,
}

/// Writes the router's actions to the transcript, and queues them for the simulation to carry out.
#[derive(Default)]
pub struct Recorder {
    pub transcript: String,
    pub actions: Vec<Action>,
}

/// Formats a number exactly: the hexadecimal digits of its bits.
pub fn hex_bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

pub fn optional_hex_bits(value: Option<f64>) -> String {
    value.map_or("-".to_string(), hex_bits)
}

impl Recorder {
    /// Appends one line to the transcript.
    pub fn line(&mut self, line: std::fmt::Arguments) {
        self.transcript.write_fmt(line).expect("writing to a string failed");
        self.transcript.push('\n');
    }

    /// Returns the 64-bit FNV-1a hash of the transcript.
    pub fn digest(&self) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
        self.transcript.bytes().fold(0xCBF2_9CE4_8422_2325, step)
    }
}

impl Transport for Recorder {
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64) {
        self.line(format_args!("> send {request} {endpoint} {}", hex_bits(timeout)));
        self.actions.push(Action::Send { request, endpoint, timeout });
    }
    fn reject(&mut self, request: usize, retry_after: f64) {
        self.line(format_args!("> reject {request} {}", hex_bits(retry_after)));
        self.actions.push(Action::FinalAnswer { request });
    }
    fn abort(&mut self, request: usize) {
        self.line(format_args!("> abort {request}"));
        self.actions.push(Action::FinalAnswer { request });
    }
    fn cancel_attempt(&mut self, request: usize, attempt: u32) {
        self.line(format_args!("> cancel {request} {attempt}"));
        self.actions.push(Action::CancelAttempt { request });
    }
    fn start_health_check(&mut self, endpoint: usize) {
        self.line(format_args!("> check {endpoint}"));
        self.actions.push(Action::StartHealthCheck { endpoint });
    }
    fn schedule_tick(&mut self, after: f64) {
        self.line(format_args!("> wake {}", hex_bits(after)));
        self.actions.push(Action::ScheduleTick { after });
    }
    fn request_endpoint_list(&mut self) {
        self.line(format_args!("> follow"));
        self.actions.push(Action::RequestEndpointList);
    }
    fn log(&mut self, text: &str) {
        self.line(format_args!("> log {text}"));
    }
}

pub fn outcome_word(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed => "completed",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Refused => "full",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "connect-failed",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NeverSent => "never-sent",
        AttemptOutcome::WrongEndpoint => "miss",
        AttemptOutcome::ReadOnly => "read-only",
    }
}

pub fn load_report_words(report: &LoadReport) -> String {
    let role = match report.role {
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
        None => "-",
    };
    format!("{role} {} {}", optional_hex_bits(report.lsn), optional_hex_bits(report.utilization))
}

pub fn endpoint_update_words(update: &EndpointUpdate) -> String {
    let state = match update.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    let site = update.site.map_or("-".to_string(), |site| site.to_string());
    let EndpointUpdate { endpoint, order, group, size, started_at, .. } = *update;
    format!("{endpoint} {order} {group} {site} {} {state} {}", hex_bits(size), optional_hex_bits(started_at))
}
