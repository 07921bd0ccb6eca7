//! One workload of the settings as routing's [`Workload`].

use ottersill_core::interface::{Effect, Needs, Within, Workload};

use super::schema::Profile;
use super::{SettingsError, seconds};

/// The workload at `index` of the settings. `class_read` and `oldest_data_ms` are its entries in `domain`.
pub(super) fn workload(
    index: usize,
    profile: &Profile,
    class_read: &str,
    oldest_data_ms: f64,
) -> Result<Workload, SettingsError> {
    Ok(Workload {
        needs: needs(index, class_read, oldest_data_ms)?,
        effect: effect(index, profile)?,
        importance: profile.credit,
        late_share: profile.late_value,
        slo_time: seconds(profile.aim_ms),
        statement_timeout: seconds(profile.deadline_ms),
    })
}

fn needs(index: usize, class_read: &str, oldest_data_ms: f64) -> Result<Needs, SettingsError> {
    Ok(match class_read {
        "write" => Needs::Primary,
        "fresh" => Needs::Fresh,
        "session" => Needs::Session,
        "bounded" => Needs::Bounded(seconds(oldest_data_ms)),
        "any" => Needs::Any,
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

fn deduplication_scope(index: usize, group: &str) -> Result<Within, SettingsError> {
    Ok(match group {
        "all" => Within::Everywhere,
        "zone" => Within::Site,
        "cell" => Within::Group,
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
