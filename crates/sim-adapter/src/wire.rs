//! Reads batches and turns each event, as it is parsed, into a call on the instance that it names.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ottersill_config::deployment::DeploymentSettings;
use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

use crate::desk::Instance;

#[derive(Deserialize)]
pub struct Create {
    pub nonce64: u64,
    pub boot_info: DeploymentSettings,
}

#[derive(Deserialize)]
pub struct Roster {
    list: u8,
    members_list: Vec<Entry>,
}

#[derive(Deserialize)]
pub struct Entry {
    pub state: u8,
    pub power_hint: f64,
    pub set: u64,
    pub site: String,
    #[serde(default)]
    pub started_at_ms: f64,
    pub host: String,
}

#[derive(Deserialize)]
pub struct BackendsChanged {
    pub kind: u8,
    #[serde(default)]
    list: Option<u8>,
}

#[derive(Deserialize)]
pub struct Demand<'a> {
    pub tid: u64,
    #[serde(borrow)]
    pub priority: Cow<'a, str>,
    #[serde(default, borrow)]
    pub owner: Option<Tenant<'a>>,
    #[serde(default)]
    pub key: Option<u64>,
    pub budget_ms: f64,
    pub partition_no: u64,
    #[serde(default)]
    pub token_ms: f64,
    #[serde(default)]
    pub resent: bool,
}

/// A tenant's name; the wire writes 0 where there is none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Tenant<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    Nobody(#[allow(dead_code, reason = "says only that there is no name")] u64),
}

#[derive(Deserialize)]
pub struct Resolved<'a> {
    pub tid: u64,
    pub cost_time_ms: f64,
    #[serde(default)]
    pub progress: u64,
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    #[serde(default)]
    pub done_flag: bool,
    #[serde(default)]
    pub pressure: Option<Pressure>,
}

/// The report values that the router reads; the others are left where they are.
#[derive(Deserialize)]
pub struct Pressure {
    #[serde(default)]
    pub x0: Option<f64>,
    #[serde(default)]
    pub x1: Option<f64>,
    #[serde(default)]
    pub utilization: Option<f64>,
}

#[derive(Deserialize)]
pub struct HealthResult<'a> {
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    #[serde(default)]
    pub pressure: Option<Pressure>,
}

#[derive(Deserialize)]
struct Hangup {
    tid: u64,
}

#[derive(Deserialize)]
struct Reminder<'a> {
    #[serde(borrow)]
    #[allow(dead_code, reason = "an instance has one kind of wake; the wire still requires the name")]
    name: Cow<'a, str>,
}

/// All instances of one process. They share the numbered lists, as the wire has it, and nothing else.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<Entry>>,
    /// Event names met and not known; holds each name once.
    strange: BTreeSet<String>,
    reply: Vec<u8>,
    now: f64,
    /// Set while a faulty line is read once more to learn which field is at fault.
    rereading: bool,
    /// Events read of this line, and the one that was refused, with the reason.
    read: usize,
    refused: Option<(usize, String)>,
}

impl Drill {
    pub fn play(&mut self, line: &str) -> Result<&[u8], String> {
        self.reply.clear();
        self.read = 0;
        self.reply.extend_from_slice(b"{\"parts\":[");
        let mut json = serde_json::Deserializer::from_str(line);
        if BatchSeed(self).deserialize(&mut json).and_then(|()| json.end()).is_err() {
            return Err(self.fault(line));
        }
        self.reply.extend_from_slice(b"]}\n");
        Ok(&self.reply)
    }

    fn fault(&mut self, line: &str) -> String {
        self.rereading = true;
        self.read = 0;
        let mut json = serde_json::Deserializer::from_str(line);
        let mut track = serde_path_to_error::Track::new();
        let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        match BatchSeed(self).deserialize(tracked).and_then(|()| json.end()) {
            Err(error) => format!("field {}: {error}", track.path()),
            Ok(()) => "not a batch".to_string(),
        }
    }

    fn create(&mut self, who: u32, create: Create) -> Result<(), String> {
        let instance = Instance::start(create, self.now, &mut self.reply)?;
        self.instances.insert(who, instance);
        Ok(())
    }

    fn on(
        &mut self,
        who: u32,
        call: impl FnOnce(&mut Instance, f64) -> Result<(), String>,
    ) -> Result<(), String> {
        // A killed instance may still be named by what was on its way to it.
        let Some(instance) = self.instances.get_mut(&who) else {
            return Ok(());
        };
        instance.desk.lend(&mut self.reply);
        let told = call(instance, self.now);
        instance.desk.give_back(&mut self.reply);
        told
    }

    fn changed(&mut self, who: u32, change: BackendsChanged) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&who) else {
            return Ok(());
        };
        let entries = match (change.kind, change.list) {
            (3, _) => &[],
            (0..=2, Some(list)) => {
                self.lists.get(&list).ok_or("expected the number of a list that was declared")?.as_slice()
            }
            (0..=2, None) => return Err("missing field `list`".into()),
            _ => return Err("expected a kind of 0 to 3".into()),
        };
        instance.desk.lend(&mut self.reply);
        let told = instance.changed(self.now, change.kind, entries);
        instance.desk.give_back(&mut self.reply);
        told
    }
}

struct BatchSeed<'d>(&'d mut Drill);
struct PartsSeed<'d>(&'d mut Drill);
struct PartSeed<'d>(&'d mut Drill);
struct HappeningsSeed<'d>(&'d mut Drill, u32);
struct HappeningSeed<'d>(&'d mut Drill, u32);

/// Reads a member that came before one it depends on; the wire's order spares this.
fn reread<'de, S: DeserializeSeed<'de, Value = ()>, E: Error>(seed: S, raw: &'de RawValue) -> Result<(), E> {
    seed.deserialize(&mut serde_json::Deserializer::from_str(raw.get())).map_err(E::custom)
}

impl<'de> DeserializeSeed<'de> for BatchSeed<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for BatchSeed<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a batch with ts_ms and parts")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let (mut clock, mut early, mut parts) = (false, None, false);
        while let Some(name) = map.next_key::<Cow<str>>()? {
            match &*name {
                "ts_ms" => {
                    self.0.now = map.next_value::<f64>()? / 1000.0;
                    clock = true;
                }
                "parts" if clock => {
                    map.next_value_seed(PartsSeed(self.0))?;
                    parts = true;
                }
                "parts" => early = Some(map.next_value::<&RawValue>()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        match early {
            _ if !clock => Err(A::Error::missing_field("ts_ms")),
            Some(raw) => reread(PartsSeed(self.0), raw),
            None if parts => Ok(()),
            None => Err(A::Error::missing_field("parts")),
        }
    }
}

impl<'de> DeserializeSeed<'de> for PartsSeed<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for PartsSeed<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of parts")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(PartSeed(self.0))?.is_some() {}
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for PartSeed<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for PartSeed<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a part with who and in")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let (mut who, mut early, mut read) = (None, None, false);
        let drill = self.0;
        while let Some(name) = map.next_key::<Cow<str>>()? {
            match (&*name, who) {
                ("who", _) => who = Some(map.next_value::<u32>()?),
                ("in", Some(who)) => {
                    map.next_value_seed(HappeningsSeed(drill, who))?;
                    read = true;
                }
                ("in", None) => early = Some(map.next_value::<&RawValue>()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        match (who, early) {
            (None, _) => Err(A::Error::missing_field("who")),
            (Some(who), Some(raw)) => reread(HappeningsSeed(drill, who), raw),
            (Some(_), None) if read => Ok(()),
            (Some(_), None) => Err(A::Error::missing_field("in")),
        }
    }
}

impl<'de> DeserializeSeed<'de> for HappeningsSeed<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for HappeningsSeed<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of events")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let start = self.0.reply.len();
        if start > b"{\"parts\":[".len() {
            self.0.reply.push(b',');
        }
        self.0.reply.extend_from_slice(format!("{{\"who\":{},\"steps\":[", self.1).as_bytes());
        let bare = self.0.reply.len();
        while seq.next_element_seed(HappeningSeed(self.0, self.1))?.is_some() {}
        if self.0.reply.len() == bare {
            self.0.reply.truncate(start);
        } else {
            self.0.reply.pop();
            self.0.reply.extend_from_slice(b"]}");
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for HappeningSeed<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for HappeningSeed<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an event: an object with its name as the only key")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let (drill, who) = (self.0, self.1);
        let Some(name) = map.next_key::<Cow<str>>()? else {
            return Err(A::Error::custom("expected the name of an event"));
        };
        macro_rules! tell {
            ($wire:ty, $call:expr) => {{
                let body = map.next_value::<$wire>()?;
                match &drill.refused {
                    Some((event, reason)) if *event == drill.read => Err(reason.clone()),
                    _ if drill.rereading => Ok(()),
                    _ => $call(drill, body),
                }
            }};
        }
        let told: Result<(), String> = match &*name {
            "demand" => tell!(Demand, |d: &mut Drill, b| d.on(who, |i, now| i.demand(now, b))),
            "resolved" => tell!(Resolved, |d: &mut Drill, b| d.on(who, |i, now| i.resolved(now, b))),
            "health_result" => tell!(HealthResult, |d: &mut Drill, b| d.on(who, |i, now| i.probed(now, b))),
            "reminder" => tell!(Reminder, |d: &mut Drill, _| d.on(who, |i, now| i.reminder(now))),
            "hangup" => tell!(Hangup, |d: &mut Drill, b: Hangup| d.on(who, |i, _| i.hangup(b.tid))),
            "roster" => tell!(Roster, |d: &mut Drill, b: Roster| {
                d.lists.insert(b.list, b.members_list);
                Ok(())
            }),
            "backends_changed" => tell!(BackendsChanged, |d: &mut Drill, b| d.changed(who, b)),
            "create" => tell!(Create, |d: &mut Drill, b| d.create(who, b)),
            "kill" => tell!(IgnoredAny, |d: &mut Drill, _| {
                d.instances.remove(&who);
                Ok(())
            }),
            // No workload here is streamed, and no instance talks to another.
            "accepted" | "peer_data" => map.next_value::<IgnoredAny>().map(|_| Ok(()))?,
            other => {
                if !drill.rereading && drill.strange.insert(other.to_string()) {
                    eprintln!("ottersill-sim-adapter: unknown event {other:?} is skipped");
                }
                map.next_value::<IgnoredAny>().map(|_| Ok(()))?
            }
        };
        if let Err(reason) = told {
            drill.refused = Some((drill.read, reason.clone()));
            return Err(A::Error::custom(reason));
        }
        drill.read += 1;
        match map.next_key::<IgnoredAny>()? {
            None => Ok(()),
            Some(_) => Err(A::Error::custom("expected one event an object")),
        }
    }
}
