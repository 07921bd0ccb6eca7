//! The transcript of a run, in words that do not depend on the names of the crate's types.

use std::fmt::Write;

use ottersill_routing::interface::*;

/// What the router asked for.
pub enum Action {
    Send { request: usize, endpoint: usize, timeout: f64 },
    Final { request: usize },
    Cancel { request: usize },
    Check { endpoint: usize },
    Wake { after: f64 },
    Follow,
}

/// Writes down the actions of the router and keeps them for the scenario to carry out.
#[derive(Default)]
pub struct Recorder {
    pub transcript: String,
    pub actions: Vec<Action>,
}

pub fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

pub fn optional(value: Option<f64>) -> String {
    value.map_or("-".to_string(), bits)
}

impl Recorder {
    /// Writes one line.
    pub fn line(&mut self, line: std::fmt::Arguments) {
        self.transcript.write_fmt(line).expect("strings take all that is written");
        self.transcript.push('\n');
    }

    /// FNV-1a, 64 bits.
    pub fn digest(&self) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
        self.transcript.bytes().fold(0xCBF2_9CE4_8422_2325, step)
    }
}

impl Transport for Recorder {
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64) {
        self.line(format_args!("> send {request} {endpoint} {}", bits(timeout)));
        self.actions.push(Action::Send { request, endpoint, timeout });
    }
    fn reject(&mut self, request: usize, retry_after: f64) {
        self.line(format_args!("> reject {request} {}", bits(retry_after)));
        self.actions.push(Action::Final { request });
    }
    fn abort(&mut self, request: usize) {
        self.line(format_args!("> abort {request}"));
        self.actions.push(Action::Final { request });
    }
    fn cancel_attempt(&mut self, request: usize, attempt: u32) {
        self.line(format_args!("> cancel {request} {attempt}"));
        self.actions.push(Action::Cancel { request });
    }
    fn start_health_check(&mut self, endpoint: usize) {
        self.line(format_args!("> check {endpoint}"));
        self.actions.push(Action::Check { endpoint });
    }
    fn schedule_tick(&mut self, after: f64) {
        self.line(format_args!("> wake {}", bits(after)));
        self.actions.push(Action::Wake { after });
    }
    fn request_endpoint_list(&mut self) {
        self.line(format_args!("> follow"));
        self.actions.push(Action::Follow);
    }
    fn log(&mut self, text: &str) {
        self.line(format_args!("> log {text}"));
    }
}

pub fn ending_word(outcome: AttemptOutcome) -> &'static str {
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

pub fn report_words(report: &LoadReport) -> String {
    let role = match report.role {
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
        None => "-",
    };
    format!("{role} {} {}", optional(report.lsn), optional(report.utilization))
}

pub fn listed_words(listed: &EndpointUpdate) -> String {
    let state = match listed.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    let site = listed.site.map_or("-".to_string(), |site| site.to_string());
    let EndpointUpdate { endpoint, order, group, size, started_at, .. } = *listed;
    format!("{endpoint} {order} {group} {site} {} {state} {}", bits(size), optional(started_at))
}
