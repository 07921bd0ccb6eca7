//! Names of budgets and of their subjects (endpoints), for log lines and control answers.

use ottersill_fleet::settings::FleetConfig;

use crate::discovery::registry::EndpointRegistry;

/// Looks up names of budgets by their identifiers, and names of endpoints by the hashes of their names.
#[derive(Clone, Copy)]
pub struct BudgetNames<'a> {
    config: &'a FleetConfig,
    endpoints: &'a EndpointRegistry,
}

impl<'a> BudgetNames<'a> {
    /// Uses the budgets in `config` and the endpoints in `endpoints`.
    pub fn new(config: &'a FleetConfig, endpoints: &'a EndpointRegistry) -> BudgetNames<'a> {
        BudgetNames { config, endpoints }
    }

    /// The name of a budget, or its identifier in hexadecimal if the configuration has no such budget.
    pub fn budget(&self, id: u64) -> String {
        let budget = self.config.budget(id);
        budget.map_or_else(|| format!("{id:x}"), |budget| budget.name.clone())
    }

    /// The name of the endpoint that a budget applies to, or the hash of its name in hexadecimal if the endpoint is unknown;
    /// empty if the budget applies to all endpoints.
    pub fn subject(&self, name_hash: u64) -> String {
        if name_hash == 0 {
            return String::new();
        }
        let endpoint = self.endpoints.by_name_hash(name_hash);
        endpoint.map_or_else(|| format!("{name_hash:x}"), |endpoint| endpoint.name.clone())
    }
}
