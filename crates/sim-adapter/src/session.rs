//! All instances of one process. Each batch of events results in one reply.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{BatchError, EventError};
use crate::instance::{Instance, ListScope};
use crate::wire::InstanceNumber;
use crate::wire::batch::{self, BatchHandler, ErrorWithFieldPath};
use crate::wire::event::{BackendsChanged, Create, Entry, Event, InstanceEvent};
use crate::wire::reply::Reply;

/// The name of the program, as a prefix of its messages on standard error.
pub const PROGRAM: &str = "ottersill-sim-adapter";

/// All instances of one process. They share nothing except the numbered endpoint lists, as the wire defines.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<InstanceNumber, Instance>,
    lists: BTreeMap<u8, Vec<Entry>>,
    /// Names of unknown events that have been reported, so that each is reported only once.
    unknown_events: BTreeSet<String>,
    reply: Reply,
    /// The clock of the batch, in seconds.
    now: f64,
    /// Number of events of this batch that were processed.
    events_handled: usize,
    /// The reason why the event after those was rejected, if it was.
    rejection: Option<EventError>,
}

impl Session {
    /// Processes a batch and returns the line with the reply.
    ///
    /// # Errors
    ///
    /// Returns [`BatchError`] if the line is not a valid batch. The events before the invalid one have been processed by
    /// then, so the session must not be used any further.
    pub fn handle_batch(&mut self, line: &str) -> Result<&[u8], BatchError> {
        self.reply.begin();
        self.events_handled = 0;
        if batch::read(line, self).is_err() {
            return Err(locate_error(line, self.events_handled, self.rejection.take()));
        }
        Ok(self.reply.finish())
    }

    fn dispatch(&mut self, number: InstanceNumber, event: Event<'_>) -> Result<(), EventError> {
        match event {
            Event::Create(create) => self.create(number, &create)?,
            Event::Kill => {
                self.instances.remove(&number);
            }
            Event::Roster(roster) => {
                self.lists.insert(roster.list, roster.members_list);
            }
            Event::Running(event) => self.dispatch_to_instance(number, &event)?,
        }
        Ok(())
    }

    fn dispatch_to_instance(
        &mut self,
        number: InstanceNumber,
        event: &InstanceEvent<'_>,
    ) -> Result<(), EventError> {
        let (now, reply) = (self.now, &mut self.reply);
        // Events that were already in flight to an instance when it was killed may still arrive, and are ignored.
        let Some(instance) = self.instances.get_mut(&number) else {
            return Ok(());
        };
        match event {
            InstanceEvent::BackendsChanged(change) => apply_list(instance, now, &self.lists, change, reply)?,
            InstanceEvent::Demand(demand) => instance.request(now, demand, reply)?,
            InstanceEvent::Resolved(resolved) => instance.attempt_ended(now, resolved, reply)?,
            InstanceEvent::HealthResult(result) => instance.health_check_ended(now, result, reply)?,
            InstanceEvent::Reminder(_) => instance.timer_expired(now, reply),
            InstanceEvent::Hangup(hangup) => instance.client_gone(hangup.tid),
        }
        Ok(())
    }

    fn create(&mut self, number: InstanceNumber, create: &Create) -> Result<(), EventError> {
        let instance = Instance::start(self.now, create, &mut self.reply)?;
        self.instances.insert(number, instance);
        Ok(())
    }
}

fn apply_list(
    instance: &mut Instance,
    now: f64,
    lists: &BTreeMap<u8, Vec<Entry>>,
    change: &BackendsChanged,
    reply: &mut Reply,
) -> Result<(), EventError> {
    let scope = match change.kind {
        0 => ListScope::Changes,
        1 | 2 => ListScope::Full,
        3 => {
            instance.list_failed();
            return Ok(());
        }
        _ => return Err(EventError::UnknownChangeKind),
    };
    let number = change.list.ok_or(EventError::NoList)?;
    let entries = lists.get(&number).ok_or(EventError::UndeclaredList)?;
    instance.list_changed(now, scope, entries, reply)
}

impl BatchHandler for Session {
    type Error = EventError;

    fn set_clock(&mut self, now: f64) {
        self.now = now;
    }

    fn begin_part(&mut self, instance: InstanceNumber) {
        self.reply.begin_part(instance);
    }

    fn event(&mut self, instance: InstanceNumber, event: Event<'_>) -> Result<(), EventError> {
        let result = self.dispatch(instance, event);
        match &result {
            Ok(()) => self.events_handled += 1,
            Err(error) => self.rejection = Some(error.clone()),
        }
        result
    }

    fn unknown_event(&mut self, name: &str) {
        if self.unknown_events.insert(name.to_string()) {
            eprintln!("{PROGRAM}: unknown event {name:?} is skipped");
        }
    }

    fn end_part(&mut self) {
        self.reply.end_part();
    }
}

/// A handler for reading a rejected batch a second time to find the invalid field. It processes no events.
struct RejectionReplay {
    /// Number of events to skip before the one that was rejected.
    events_to_skip: usize,
    rejection: Option<EventError>,
}

impl BatchHandler for RejectionReplay {
    type Error = EventError;

    fn set_clock(&mut self, _now: f64) {}

    fn begin_part(&mut self, _instance: InstanceNumber) {}

    fn event(&mut self, _instance: InstanceNumber, _event: Event<'_>) -> Result<(), EventError> {
        match &self.rejection {
            Some(rejection) if self.events_to_skip == 0 => Err(rejection.clone()),
            _ => {
                self.events_to_skip = self.events_to_skip.saturating_sub(1);
                Ok(())
            }
        }
    }

    fn unknown_event(&mut self, _name: &str) {}

    fn end_part(&mut self) {}
}

/// Finds the field that makes `line` invalid. `rejection` is the reason why the event after the first `events_handled`
/// was rejected, if one was.
fn locate_error(line: &str, events_handled: usize, rejection: Option<EventError>) -> BatchError {
    let mut replay = RejectionReplay { events_to_skip: events_handled, rejection };
    let Err(ErrorWithFieldPath { field, error }) = batch::read_with_field_path(line, &mut replay) else {
        return BatchError::Inconsistent;
    };
    match replay.rejection {
        Some(source) => BatchError::Rejected { field, line: error.line(), column: error.column(), source },
        None => BatchError::Malformed { field, source: error },
    }
}
