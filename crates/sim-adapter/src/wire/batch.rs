//! Parses a batch and passes each event on as soon as it is parsed.

use std::borrow::Cow;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

use super::InstanceNumber;
use super::event::{Event, InstanceEvent};

/// Receives the contents of a batch in the order of the line.
pub trait BatchHandler {
    /// The reason why an event is rejected.
    type Error: fmt::Display;

    /// Sets the clock time of the batch, in seconds. It is called before all other methods.
    fn set_clock(&mut self, now: f64);

    /// Starts the part with the events for this instance.
    fn begin_part(&mut self, instance: InstanceNumber);

    /// Processes an event. An error ends the parsing of the batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the event can't be processed.
    fn event(&mut self, instance: InstanceNumber, event: Event<'_>) -> Result<(), Self::Error>;

    /// Reports an event that the adapter does not know, which is skipped.
    fn unknown_event(&mut self, name: &str);

    /// Ends the part; it has no more events.
    fn end_part(&mut self);
}

/// The reason why a line can't be read, with the path of the invalid field.
pub struct ErrorWithFieldPath {
    /// The path of the field.
    pub field: String,
    /// The reason.
    pub error: serde_json::Error,
}

/// Reads one batch.
///
/// # Errors
///
/// Returns an error if the line is not a batch, or if the handler rejects an event.
pub fn read(line: &str, handler: &mut impl BatchHandler) -> Result<(), serde_json::Error> {
    let mut json = serde_json::Deserializer::from_str(line);
    BatchSeed(handler).deserialize(&mut json)?;
    json.end()
}

/// Reads one batch like [`read`], and reports the path of the invalid field on an error. It is slower than [`read`].
///
/// # Errors
///
/// Returns an error in the same cases as [`read`].
pub fn read_with_field_path(line: &str, handler: &mut impl BatchHandler) -> Result<(), ErrorWithFieldPath> {
    let mut json = serde_json::Deserializer::from_str(line);
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let read = BatchSeed(handler).deserialize(tracked).and_then(|()| json.end());
    read.map_err(|error| ErrorWithFieldPath { field: track.path().to_string(), error })
}

struct BatchSeed<'h, H>(&'h mut H);
struct PartsSeed<'h, H>(&'h mut H);
struct PartSeed<'h, H>(&'h mut H);
struct EventsSeed<'h, H>(&'h mut H, InstanceNumber);
struct EventSeed<'h, H>(&'h mut H, InstanceNumber);

/// Implements [`DeserializeSeed`] for one of the types above, each of which parses one kind of JSON value. They return no
/// value; their results are the calls of the handler.
macro_rules! deserialize_seed {
    ($type:ident, $deserialize:ident) => {
        impl<'de, H: BatchHandler> DeserializeSeed<'de> for $type<'_, H> {
            type Value = ();
            fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
                json.$deserialize(self)
            }
        }
    };
}

deserialize_seed!(BatchSeed, deserialize_map);
deserialize_seed!(PartsSeed, deserialize_seq);
deserialize_seed!(PartSeed, deserialize_map);
deserialize_seed!(EventsSeed, deserialize_seq);
deserialize_seed!(EventSeed, deserialize_map);

/// Parses the value of a key that came before another key on which it depends. The simulator's own order of keys never
/// requires this.
fn deserialize_deferred<'de, S, E>(seed: S, raw: &'de RawValue) -> Result<(), E>
where
    S: DeserializeSeed<'de, Value = ()>,
    E: Error,
{
    seed.deserialize(&mut serde_json::Deserializer::from_str(raw.get())).map_err(E::custom)
}

impl<'de, H: BatchHandler> Visitor<'de> for BatchSeed<'_, H> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a batch with ts_ms and parts")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let handler = self.0;
        let mut has_clock = false;
        let mut has_parts = false;
        let mut deferred_parts = None;
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match &*key {
                "ts_ms" => {
                    handler.set_clock(map.next_value::<f64>()? / 1000.0);
                    has_clock = true;
                }
                "parts" if has_clock => {
                    map.next_value_seed(PartsSeed(handler))?;
                    has_parts = true;
                }
                "parts" => deferred_parts = Some(map.next_value::<&RawValue>()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        match deferred_parts {
            _ if !has_clock => Err(A::Error::missing_field("ts_ms")),
            Some(raw) => deserialize_deferred(PartsSeed(handler), raw),
            None if has_parts => Ok(()),
            None => Err(A::Error::missing_field("parts")),
        }
    }
}

impl<'de, H: BatchHandler> Visitor<'de> for PartsSeed<'_, H> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of parts")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(PartSeed(&mut *self.0))?.is_some() {}
        Ok(())
    }
}

impl<'de, H: BatchHandler> Visitor<'de> for PartSeed<'_, H> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a part with who and in")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let handler = self.0;
        let mut instance = None;
        let mut has_events = false;
        let mut deferred_events = None;
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match (&*key, instance) {
                ("who", _) => instance = Some(map.next_value::<InstanceNumber>()?),
                ("in", Some(instance)) => {
                    map.next_value_seed(EventsSeed(handler, instance))?;
                    has_events = true;
                }
                ("in", None) => deferred_events = Some(map.next_value::<&RawValue>()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        match (instance, deferred_events) {
            (None, _) => Err(A::Error::missing_field("who")),
            (Some(instance), Some(raw)) => deserialize_deferred(EventsSeed(handler, instance), raw),
            (Some(_), None) if has_events => Ok(()),
            (Some(_), None) => Err(A::Error::missing_field("in")),
        }
    }
}

impl<'de, H: BatchHandler> Visitor<'de> for EventsSeed<'_, H> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of events")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let EventsSeed(handler, instance) = self;
        handler.begin_part(instance);
        while seq.next_element_seed(EventSeed(&mut *handler, instance))?.is_some() {}
        handler.end_part();
        Ok(())
    }
}

impl<'de, H: BatchHandler> Visitor<'de> for EventSeed<'_, H> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an event: an object with its name as the only key")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let EventSeed(handler, instance) = self;
        let Some(name) = map.next_key::<Cow<str>>()? else {
            return Err(A::Error::custom("expected the name of an event"));
        };
        if let Some(event) = read_event(&name, &mut map, handler)? {
            handler.event(instance, event).map_err(A::Error::custom)?;
        }
        match map.next_key::<IgnoredAny>()? {
            None => Ok(()),
            Some(_) => Err(A::Error::custom("expected one event per object")),
        }
    }
}

/// Parses the event called `name`. Returns `None` for an event that the adapter does not use.
fn read_event<'de, A: MapAccess<'de>>(
    name: &str,
    map: &mut A,
    handler: &mut impl BatchHandler,
) -> Result<Option<Event<'de>>, A::Error> {
    let event = match name {
        "demand" => Event::Running(InstanceEvent::Demand(map.next_value()?)),
        "resolved" => Event::Running(InstanceEvent::Resolved(map.next_value()?)),
        "health_result" => Event::Running(InstanceEvent::HealthResult(map.next_value()?)),
        "reminder" => Event::Running(InstanceEvent::Reminder(map.next_value()?)),
        "hangup" => Event::Running(InstanceEvent::Hangup(map.next_value()?)),
        "backends_changed" => Event::Running(InstanceEvent::BackendsChanged(map.next_value()?)),
        "roster" => Event::Roster(map.next_value()?),
        "create" => Event::Create(Box::new(map.next_value()?)),
        "kill" => {
            map.next_value::<IgnoredAny>()?;
            Event::Kill
        }
        // Not used: no workload is streamed, and instances do not communicate with each other.
        "accepted" | "peer_data" => {
            map.next_value::<IgnoredAny>()?;
            return Ok(None);
        }
        unknown => {
            handler.unknown_event(unknown);
            map.next_value::<IgnoredAny>()?;
            return Ok(None);
        }
    };
    Ok(Some(event))
}
