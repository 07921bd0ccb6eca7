//! The fleet file as parsed. The schema `proto/fleet.proto` documents each field.

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, SerializeOptions};
use serde::Deserialize;

use super::error::{FleetConfigError, Reason};
use super::locate::FieldMap;
use super::{BudgetKind, locate};

/// The compiled schema, which `build.rs` generates.
const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/fleet.bin"));
const MESSAGE_NAME: &str = "ottersill.fleet.Fleet";

/// The message `Fleet`.
#[derive(Deserialize)]
pub(super) struct FleetMessage {
    pub(super) peer: Vec<Peer>,
    pub(super) voter: Vec<String>,
    pub(super) listen: String,
    pub(super) control: String,
    pub(super) key_file: String,
    pub(super) audit_file: String,
    pub(super) keeper_lease_s: f64,
    pub(super) lease_s: f64,
    pub(super) floor_lease_s: f64,
    pub(super) drift: f64,
    pub(super) members_at_most: u32,
    pub(super) budget: Vec<BudgetEntry>,
}

/// The message `Peer`.
#[derive(Deserialize)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) at: String,
    pub(super) control: String,
}

/// The message `Budget`.
#[derive(Deserialize)]
pub(super) struct BudgetEntry {
    pub(super) of: BudgetKind,
    pub(super) whole: u32,
    pub(super) floor: u32,
    pub(super) every_s: f64,
    pub(super) hold_s: f64,
}

impl FleetMessage {
    /// Parses `text`. A field that is absent from it has the default value of its type.
    pub(super) fn parse(text: &str) -> Result<FleetMessage, FleetConfigError> {
        let pool = DescriptorPool::decode(SCHEMA).map_err(|error| error_without_position(error.into()))?;
        let schema = pool
            .get_message_by_name(MESSAGE_NAME)
            .ok_or_else(|| error_without_position(Reason::NoSuchMessage))?;
        let message = DynamicMessage::parse_text_format(schema, text).map_err(|error| {
            let label = error.labels().and_then(|mut labels| labels.next());
            let offset = label.map_or(text.len(), |label| label.offset());
            FleetConfigError::new(
                locate::position(text, offset),
                FieldMap::parse(text).path_at(offset),
                error.into(),
            )
        })?;
        let options = SerializeOptions::new().use_proto_field_name(true).skip_default_fields(false);
        let json = message.serialize_with_options(serde_json::value::Serializer, &options);
        json.and_then(serde_json::from_value).map_err(|error| error_without_position(error.into()))
    }
}

/// Returns an error that no particular position of the text causes.
fn error_without_position(reason: Reason) -> FleetConfigError {
    FleetConfigError::new(locate::Position::START, MESSAGE_NAME.to_string(), reason)
}
