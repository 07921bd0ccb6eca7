//! Why deployment settings are rejected.

use thiserror::Error;

/// Why deployment settings that are well-formed JSON are rejected.
///
/// The text is what operators read: the name of the field, then the reason. [`SettingsError::path`] gives the full
/// place in the JSON object.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[must_use]
pub enum SettingsError {
    /// A field has a word that is none of those defined for it.
    #[error("{field}: expected {expected}, found {found:?}")]
    UnknownValue {
        /// The field as operators are told it.
        field: &'static str,
        /// Where the field is in the JSON object, for instance `profiles[2].group`.
        path: String,
        /// The words defined for the field.
        expected: &'static str,
        /// The word that is there.
        found: String,
    },
    /// A field that is optional in the schema is needed here and is absent.
    #[error("{section}: missing field `{field}`")]
    MissingField {
        /// The object that lacks the field.
        section: &'static str,
        /// The absent field.
        field: &'static str,
    },
    /// The arrays that describe one workload an entry differ in length.
    #[error("class_read and oldest_data_ms: expected an entry for each of profiles")]
    EntryCount,
}

impl SettingsError {
    /// Where the field at fault is in the JSON object: keys joined by dots, elements of arrays as `[index]`.
    pub fn path(&self) -> String {
        match self {
            SettingsError::UnknownValue { path, .. } => path.clone(),
            SettingsError::MissingField { section, field } => format!("{section}.{field}"),
            SettingsError::EntryCount => "domain".to_string(),
        }
    }
}
