//! Errors of deployment settings.

use thiserror::Error;

/// The reason why deployment settings are rejected that are well-formed JSON.
///
/// The message is meant for operators: the name of the field, then the reason. [`SettingsError::path`] returns the full
/// path of the field in the JSON object.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[must_use]
pub enum SettingsError {
    /// A field has a value that is not one of those defined for it.
    #[error("{field}: expected {expected}, found {found:?}")]
    UnknownValue {
        /// The name of the field as it appears in the message.
        field: &'static str,
        /// The path of the field in the JSON object, for instance `profiles[2].group`.
        path: String,
        /// The values that are defined for the field.
        expected: &'static str,
        /// The value that was found.
        found: String,
    },
    /// A field is absent that is optional in the schema, but required for this use.
    #[error("{section}: missing field `{field}`")]
    MissingField {
        /// The object that lacks the field.
        section: &'static str,
        /// The name of the absent field.
        field: &'static str,
    },
    /// The arrays of `domain` with one entry per workload differ in length from `profiles`.
    #[error("class_read and oldest_data_ms: expected an entry for each of profiles")]
    EntryCount,
}

impl SettingsError {
    /// Returns the path of the invalid field in the JSON object: keys joined by dots, elements of arrays as `[index]`.
    pub fn path(&self) -> String {
        match self {
            SettingsError::UnknownValue { path, .. } => path.clone(),
            SettingsError::MissingField { section, field } => format!("{section}.{field}"),
            SettingsError::EntryCount => "domain".to_string(),
        }
    }
}
