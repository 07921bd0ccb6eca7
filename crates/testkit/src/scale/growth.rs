//! What is compared between a small and a large deployment, and how far each may grow.

use std::fmt;

use serde::Serialize;

use crate::convert::{count_to_f64, size_to_f64};

use super::Measurement;

const BYTES_PER_MB: f64 = 1e6;
const BYTES_PER_KB: f64 = 1e3;
const HOSTS_PER_THOUSAND: f64 = 1e3;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Processor time of the router, in seconds.
    Cpu,
    /// The router's peak of resident memory, in megabytes.
    PeakMemory,
    /// The most descriptors that the router had open.
    Descriptors,
    /// Connections made to endpoints.
    Connections,
    /// Lists from discovery, in kilobytes.
    Lists,
    /// Health checks begun.
    HealthChecks,
    /// The part of the requests that was answered with a result.
    Served,
}

/// How far a quantity of a large deployment may be from that of a small one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// At most `factor` times the small one's, and `constant`, and `per_thousand` for each thousand endpoints of the large
    /// one.
    AtMost {
        /// Of what the small one needs.
        factor: f64,
        /// Whatever the sizes are.
        constant: f64,
        /// For each thousand endpoints.
        per_thousand: f64,
    },
    /// At least `factor` times the small one's.
    AtLeast {
        /// Of what the small one has.
        factor: f64,
    },
}

impl Growth {
    /// The bound of a deployment of `hosts` endpoints, where the small one has `small`.
    pub fn bound(self, small: f64, hosts: usize) -> f64 {
        match self {
            Growth::AtMost { factor, constant, per_thousand } => {
                factor * small + constant + per_thousand * size_to_f64(hosts) / HOSTS_PER_THOUSAND
            }
            Growth::AtLeast { factor } => factor * small,
        }
    }

    /// Whether `value` is within that bound.
    pub fn allows(self, value: f64, bound: f64) -> bool {
        match self {
            Growth::AtMost { .. } => value <= bound,
            Growth::AtLeast { .. } => value >= bound,
        }
    }
}

impl Quantity {
    /// All, in the order of the table.
    pub const ALL: [Quantity; 7] = [
        Quantity::Cpu,
        Quantity::PeakMemory,
        Quantity::Descriptors,
        Quantity::Connections,
        Quantity::Lists,
        Quantity::HealthChecks,
        Quantity::Served,
    ];

    /// How far it may grow.
    pub fn growth(self) -> Growth {
        let at_most = |factor, constant, per_thousand| Growth::AtMost { factor, constant, per_thousand };
        match self {
            Quantity::Cpu => at_most(1.4, 0.02, 0.03),
            Quantity::PeakMemory => at_most(1.5, 8.0, 4.0),
            Quantity::Descriptors => at_most(2.0, 40.0, 0.0),
            Quantity::Connections => at_most(2.5, 40.0, 0.0),
            Quantity::Lists => at_most(2.0, 64.0, 500.0),
            Quantity::HealthChecks => at_most(2.5, 0.0, 0.0),
            Quantity::Served => Growth::AtLeast { factor: 0.85 },
        }
    }

    /// What one run came to.
    pub fn of(self, measurement: &Measurement) -> f64 {
        match self {
            Quantity::Cpu => measurement.cpu_seconds,
            Quantity::PeakMemory => count_to_f64(measurement.peak_memory_bytes) / BYTES_PER_MB,
            Quantity::Descriptors => size_to_f64(measurement.peak_descriptors),
            Quantity::Connections => count_to_f64(measurement.backend_connections),
            Quantity::Lists => count_to_f64(measurement.list_bytes) / BYTES_PER_KB,
            Quantity::HealthChecks => count_to_f64(measurement.health_checks),
            Quantity::Served => measurement.served(),
        }
    }

    /// Digits after the point that say something.
    pub(super) fn decimals(self) -> usize {
        match self {
            Quantity::Cpu | Quantity::Served => 3,
            Quantity::PeakMemory => 1,
            _ => 0,
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.pad(match self {
            Quantity::Cpu => "CPU, s",
            Quantity::PeakMemory => "peak memory, MB",
            Quantity::Descriptors => "descriptors",
            Quantity::Connections => "connections made",
            Quantity::Lists => "bytes of lists, KB",
            Quantity::HealthChecks => "health checks",
            Quantity::Served => "share served",
        })
    }
}
