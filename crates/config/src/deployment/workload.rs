//! Conversion of one workload of the settings to [`WorkloadSettings`].

use ottersill_routing::interface::{Consistency, DeduplicationScope, Effect, WorkloadSettings};

use super::schema::Profile;
use super::{SettingsError, seconds};

/// Returns the settings of the workload at `index` of `profiles`. `class_read` and `oldest_data_ms` are its entries in
/// `domain`.
pub(super) fn workload_settings(
    index: usize,
    profile: &Profile,
    class_read: &str,
    oldest_data_ms: f64,
) -> Result<WorkloadSettings, SettingsError> {
    Ok(WorkloadSettings {
        consistency: consistency(index, class_read, oldest_data_ms)?,
        effect: effect(index, profile)?,
        priority_weight: profile.credit,
        late_value_fraction: profile.late_value,
        slo_time: seconds(profile.aim_ms),
        statement_timeout: seconds(profile.deadline_ms),
    })
}

fn consistency(index: usize, class_read: &str, oldest_data_ms: f64) -> Result<Consistency, SettingsError> {
    Ok(match class_read {
        "write" => Consistency::Primary,
        "fresh" => Consistency::Fresh,
        "session" => Consistency::Session,
        "bounded" => Consistency::Bounded(seconds(oldest_data_ms)),
        "any" => Consistency::Any,
        found => {
            return Err(SettingsError::UnknownValue {
                field: "class_read",
                path: format!("domain.class_read[{index}]"),
                expected: "write, fresh, session, bounded or any",
                found: found.to_string(),
            });
        }
    })
}

fn effect(index: usize, profile: &Profile) -> Result<Effect, SettingsError> {
    Ok(match profile.effect.as_str() {
        "pure" => Effect::Idempotent,
        "side_effect" => Effect::NonIdempotent,
        "token" => Effect::Deduplicated {
            within: deduplication_scope(index, &profile.group)?,
            window: seconds(profile.window_ms),
        },
        found => {
            return Err(SettingsError::UnknownValue {
                field: "effect",
                path: format!("profiles[{index}].effect"),
                expected: "pure, token or side_effect",
                found: found.to_string(),
            });
        }
    })
}

fn deduplication_scope(index: usize, group: &str) -> Result<DeduplicationScope, SettingsError> {
    Ok(match group {
        "all" => DeduplicationScope::Everywhere,
        "zone" => DeduplicationScope::Site,
        "cell" => DeduplicationScope::Group,
        found => {
            return Err(SettingsError::UnknownValue {
                field: "group",
                path: format!("profiles[{index}].group"),
                expected: "all, zone or cell",
                found: found.to_string(),
            });
        }
    })
}
