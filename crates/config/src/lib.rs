//! The operators' own files, in protobuf text format. A file is taken whole or not at all; what is wrong with it is told
//! with its line, its field and the reason.

pub mod deployment;
pub mod fleet;

use std::fmt;

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, SerializeOptions};
use serde::de::DeserializeOwned;

const SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/bylaws.bin"));

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub field: String,
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.reason)
    }
}

/// Reads a text as a message of the schema, and that as its Rust type. What the text leaves out has the default of its type.
pub(crate) fn parse<T: DeserializeOwned>(message: &str, text: &str) -> Result<T, Fault> {
    let broken = |reason: String| Fault { line: 1, field: message.to_string(), reason };
    let pool = DescriptorPool::decode(SCHEMA).map_err(|e| broken(e.to_string()))?;
    let schema = pool.get_message_by_name(message).ok_or_else(|| broken("no such message".into()))?;
    let read = DynamicMessage::parse_text_format(schema, text).map_err(|e| {
        let at = e.labels().and_then(|mut labels| labels.next()).map_or(text.len(), |label| label.offset());
        Fault {
            line: fleet::locate::line(text, at),
            field: fleet::locate::field(text, at),
            reason: e.to_string(),
        }
    })?;
    let options = SerializeOptions::new().use_proto_field_name(true).skip_default_fields(false);
    let json = read.serialize_with_options(serde_json::value::Serializer, &options);
    json.and_then(serde_json::from_value).map_err(|e| broken(e.to_string()))
}
