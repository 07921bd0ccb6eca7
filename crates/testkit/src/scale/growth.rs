//! The quantities that are compared between a small and a large deployment, and their bounds.

use std::fmt;

use serde::Serialize;

use crate::convert::{count_to_f64, size_to_f64};

use super::Measurement;

const BYTES_PER_MB: f64 = 1e6;
const BYTES_PER_KB: f64 = 1e3;
const THOUSAND: f64 = 1e3;

/// A quantity that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// CPU time of the router, in seconds.
    Cpu,
    /// Peak resident memory of the router, in megabytes.
    PeakMemory,
    /// Highest number of descriptors that the router had open.
    Descriptors,
    /// Number of connections made to endpoints.
    Connections,
    /// Size of the endpoint lists sent by discovery, in kilobytes.
    Lists,
    /// Number of health checks started.
    HealthChecks,
    /// Fraction of the requests answered with a row.
    Served,
}

/// How the bound on a quantity of a large deployment depends on that of a small one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// At most `factor` times the value of the small deployment, plus `constant`, plus `per_thousand` for each thousand
    /// endpoints of the large deployment.
    AtMost {
        /// Multiplier of the value of the small deployment.
        factor: f64,
        /// Allowance that does not depend on the sizes.
        constant: f64,
        /// Allowance for each thousand endpoints.
        per_thousand: f64,
    },
    /// At least `factor` times the value of the small deployment.
    AtLeast {
        /// Multiplier of the value of the small deployment.
        factor: f64,
    },
}

impl Growth {
    /// Returns the bound for a large deployment with this number of endpoints, if the value of the small one is `small`.
    pub fn bound(self, small: f64, endpoints: usize) -> f64 {
        match self {
            Growth::AtMost { factor, constant, per_thousand } => {
                factor * small + constant + per_thousand * size_to_f64(endpoints) / THOUSAND
            }
            Growth::AtLeast { factor } => factor * small,
        }
    }

    /// Returns whether `value` is within the bound.
    pub fn allows(self, value: f64, bound: f64) -> bool {
        match self {
            Growth::AtMost { .. } => value <= bound,
            Growth::AtLeast { .. } => value >= bound,
        }
    }
}

impl Quantity {
    /// All quantities, in the order of the table.
    pub const ALL: [Quantity; 7] = [
        Quantity::Cpu,
        Quantity::PeakMemory,
        Quantity::Descriptors,
        Quantity::Connections,
        Quantity::Lists,
        Quantity::HealthChecks,
        Quantity::Served,
    ];

    /// Returns the bound of the quantity relative to a small deployment.
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

    /// Returns the value of the quantity in one run.
    pub fn of(self, measurement: &Measurement) -> f64 {
        match self {
            Quantity::Cpu => measurement.cpu_seconds,
            Quantity::PeakMemory => count_to_f64(measurement.peak_memory_bytes) / BYTES_PER_MB,
            Quantity::Descriptors => size_to_f64(measurement.peak_descriptors),
            Quantity::Connections => count_to_f64(measurement.backend_connections),
            Quantity::Lists => count_to_f64(measurement.list_bytes) / BYTES_PER_KB,
            Quantity::HealthChecks => count_to_f64(measurement.health_checks),
            Quantity::Served => measurement.served_fraction(),
        }
    }

    /// Number of decimals that are printed.
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
