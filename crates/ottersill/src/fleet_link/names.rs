//! What log lines and operators call the fleet's budgets and their subjects.

use ottersill_fleet::settings::FleetConfig;

use crate::discovery::registry::EndpointRegistry;

/// Names of budgets by their identifiers, and of endpoints by their labels.
#[derive(Clone, Copy)]
pub struct BudgetNames<'a> {
    config: &'a FleetConfig,
    endpoints: &'a EndpointRegistry,
}

impl<'a> BudgetNames<'a> {
    /// Names of the budgets in that configuration, and of the endpoints that lists have named.
    pub fn new(config: &'a FleetConfig, endpoints: &'a EndpointRegistry) -> BudgetNames<'a> {
        BudgetNames { config, endpoints }
    }

    /// The name of a budget, or its identifier where the configuration names none.
    pub fn budget(&self, id: u64) -> String {
        let budget = self.config.budget(id);
        budget.map_or_else(|| format!("{id:x}"), |budget| budget.name.clone())
    }

    /// The name of the endpoint that a budget is for, or its label if it isn't known here; empty if the budget is for all.
    pub fn subject(&self, label: u64) -> String {
        if label == 0 {
            return String::new();
        }
        let endpoint = self.endpoints.by_label(label);
        endpoint.map_or_else(|| format!("{label:x}"), |endpoint| endpoint.name.clone())
    }
}
