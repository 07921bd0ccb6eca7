//! The settings that every router is handed, read as the module's [`Terms`]: the one reader that the bench's
//! adapter and the router on sockets share.

use ottersill_core::interface::{Effect, Needs, Reports, Terms, Within, Workload};
use serde::Deserialize;

#[derive(Clone, PartialEq, Deserialize)]
pub struct BootInfo {
    balancers: usize,
    profiles: Vec<Profile>,
    domain: Domain,
    #[serde(default)]
    accounts: Vec<Account>,
    over_share_worth: f64,
    policy_limits: PolicyLimits,
    registry_mode: String,
    rules: Rules,
    stats: Stats,
    zone: String,
    localities: Vec<String>,
}

#[derive(Clone, PartialEq, Deserialize)]
struct Profile {
    name: String,
    aim_ms: f64,
    credit: f64,
    deadline_ms: f64,
    effect: String,
    group: String,
    late_value: f64,
    window_ms: f64,
}

#[derive(Clone, PartialEq, Deserialize)]
struct Account {
    name: String,
    quota_per_s: f64,
}

#[derive(Clone, PartialEq, Deserialize)]
struct Domain {
    class_read: Vec<String>,
    oldest_data_ms: Vec<f64>,
    counted_from_ms: f64,
    when_behind: String,
    write_marks: String,
}

#[derive(Clone, PartialEq, Deserialize)]
struct PolicyLimits {
    cancelling: bool,
    probes: bool,
    send_cap: u32,
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
    /// Of use only where there are sockets.
    connect_timeout_ms: Option<f64>,
    keepalive_ms: Option<f64>,
}

#[derive(Clone, PartialEq, Deserialize)]
struct Rules {
    cold_from: f64,
    ramp_time_ms: f64,
    fall_multiple: f64,
    overload_for_ms: f64,
    /// Of use only where there are sockets.
    drain_grace_ms: Option<f64>,
    #[serde(default)]
    soft_removal: bool,
}

#[derive(Clone, PartialEq, Deserialize)]
struct Stats {
    how: String,
    #[serde(default)]
    fields: Vec<String>,
}

/// What the settings say of connections to hosts, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Upkeep {
    /// One that is not up by then never comes up.
    pub connect: f64,
    /// A host closes one that has stood idle for this long.
    pub idle: f64,
    /// For so long a host that drains may still be sent what is new; where nothing is said, as short as a page has it.
    pub drain_grace: f64,
}

/// What a front itself keeps of the settings.
pub struct Names {
    pub workloads: Vec<String>,
    /// The statement timeout of each: no client of theirs waits for longer.
    pub timeouts: Vec<f64>,
    /// Whether each only reads.
    pub reads: Vec<bool>,
    pub tenants: Vec<String>,
    pub sites: Vec<String>,
    /// Clock time, in seconds, from which positions are counted.
    pub zero: f64,
}

fn unknown<T>(field: &str, said: &str, expected: &str) -> Result<T, String> {
    Err(format!("{field}: expected {expected}, found {said:?}"))
}

impl Profile {
    fn workload(&self, read: &str, bound_ms: f64) -> Result<Workload, String> {
        Ok(Workload {
            needs: match read {
                "write" => Needs::Primary,
                "fresh" => Needs::Fresh,
                "session" => Needs::Session,
                "bounded" => Needs::Bounded(bound_ms / 1000.0),
                "any" => Needs::Any,
                said => return unknown("class_read", said, "write, fresh, session, bounded or any"),
            },
            effect: match (self.effect.as_str(), self.group.as_str()) {
                ("pure", _) => Effect::Idempotent,
                ("side_effect", _) => Effect::NonIdempotent,
                ("token", group) => Effect::Deduplicated {
                    within: match group {
                        "all" => Within::Everywhere,
                        "zone" => Within::Site,
                        "cell" => Within::Group,
                        said => return unknown("group", said, "all, zone or cell"),
                    },
                    window: self.window_ms / 1000.0,
                },
                (said, _) => return unknown("effect", said, "pure, token or side_effect"),
            },
            importance: self.credit,
            late_share: self.late_value,
            slo_time: self.aim_ms / 1000.0,
            statement_timeout: self.deadline_ms / 1000.0,
        })
    }
}

impl BootInfo {
    /// What a router on sockets needs besides the terms.
    pub fn upkeep(&self) -> Result<Upkeep, String> {
        let seconds = |field: &str, said: Option<f64>| {
            said.map(|ms| ms / 1000.0).ok_or_else(|| format!("policy_limits: missing field `{field}`"))
        };
        let limits = &self.policy_limits;
        Ok(Upkeep {
            connect: seconds("connect_timeout_ms", limits.connect_timeout_ms)?,
            idle: seconds("keepalive_ms", limits.keepalive_ms)?,
            drain_grace: self.rules.drain_grace_ms.unwrap_or(250.0) / 1000.0,
        })
    }

    pub fn terms(self, seed: u64) -> Result<(Terms, Names), String> {
        let (domain, limits, rules) = (&self.domain, &self.policy_limits, &self.rules);
        if domain.class_read.len() != self.profiles.len()
            || domain.oldest_data_ms.len() != self.profiles.len()
        {
            return Err("class_read and oldest_data_ms: expected an entry for each of profiles".into());
        }
        let rows = self.profiles.iter().zip(domain.class_read.iter().zip(&domain.oldest_data_ms));
        let names = Names {
            workloads: self.profiles.iter().map(|p| p.name.clone()).collect(),
            timeouts: self.profiles.iter().map(|p| p.deadline_ms / 1000.0).collect(),
            reads: domain.class_read.iter().map(|read| read != "write").collect(),
            tenants: self.accounts.iter().map(|a| a.name.clone()).collect(),
            sites: self.localities.clone(),
            zero: domain.counted_from_ms / 1000.0,
        };
        let terms = Terms {
            seed,
            routers: self.balancers,
            site: self.localities.iter().position(|name| *name == self.zone),
            workloads: rows.map(|(p, (read, bound))| p.workload(read, *bound)).collect::<Result<_, _>>()?,
            tenant_rates: self.accounts.iter().map(|a| a.quota_per_s).collect(),
            over_share: self.over_share_worth,
            reports: match (self.stats.how.as_str(), self.stats.fields.iter().any(|f| f == "x1")) {
                ("answers", true) => Reports::WithAnswers,
                ("probe", true) => Reports::WithProbes,
                ("answers" | "probe" | "none", _) => Reports::Nowhere,
                (said, _) => return unknown("stats.how", said, "answers, probe or none"),
            },
            members_check_reads: match domain.when_behind.as_str() {
                "none" => false,
                "refuse" | "wait" => true,
                said => return unknown("when_behind", said, "none, refuse or wait"),
            },
            remembers_writes: match domain.write_marks.as_str() {
                "carried" => false,
                "remembered" => true,
                said => return unknown("write_marks", said, "carried or remembered"),
            },
            list_on_request: match self.registry_mode.as_str() {
                "automatic" => false,
                "subscribe" => true,
                said => return unknown("registry_mode", said, "automatic or subscribe"),
            },
            may_probe: limits.probes,
            may_cancel: limits.cancelling,
            max_executions: limits.send_cap,
            max_retry_after: if limits.retry_after { limits.max_retry_after_ms / 1000.0 } else { 0.0 },
            only_draining_bars: rules.soft_removal,
            cold_part: rules.cold_from,
            warm_after: rules.ramp_time_ms / 1000.0,
            fall_multiple: rules.fall_multiple,
            fall_span: rules.overload_for_ms / 1000.0,
        };
        Ok((terms, names))
    }
}
