//! Settings of a small deployment, in the form of the protocol's first message.

/// A workload: name, SLO time and statement timeout in milliseconds, effect, kind of read, bound of its data in milliseconds.
pub struct Workload(pub &'static str, pub u32, pub u32, pub &'static str, pub &'static str, pub u32);

pub struct Settings {
    pub workloads: Vec<Workload>,
    pub registry_mode: &'static str,
    pub rules: &'static str,
    pub window_ms: u32,
}

impl Settings {
    pub fn json(&self) -> String {
        let profiles: Vec<String> = self.workloads.iter().map(|Workload(name, aim, deadline, effect, _, _)| {
            let window = self.window_ms;
            format!(r#"{{"name":"{name}","aim_ms":{aim},"deadline_ms":{deadline},"credit":2.0,"late_value":0.3,"effect":"{effect}","group":"all","stream":false,"window_ms":{window}}}"#)
        }).collect();
        let reads: Vec<String> = self.workloads.iter().map(|workload| format!(r#""{}""#, workload.4)).collect();
        let bounds: Vec<String> = self.workloads.iter().map(|workload| workload.5.to_string()).collect();
        format!(
            r#"{{"accounts":[],"balancers":1,"callers":{{"marks_retry":false}},"domain":{{"answers_stamped":true,"catch_up_wait_ms":100.0,"class_read":[{}],"counted_from_ms":0,"oldest_data_ms":[{}],"role_listed":"none","waits_for_copy":false,"when_behind":"none","write_marks":"carried"}},"family":"replicas","kinds":["m2"],"localities":["a"],"me":0,"over_share_worth":0.1,"policy_limits":{{"cancelling":true,"connect_timeout_ms":250.0,"keepalive_ms":15000.0,"max_open":20000,"max_retry_after_ms":500.0,"max_streams":1,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"send_cap":8}},"profiles":[{}],"registry_mode":"{}","rules":{},"stats":{{"fields":["x0","x1","utilization"],"how":"probe"}},"tier":0,"tiers":["db"],"weights":"none","worth_by":"request","zone":"a"}}"#,
            reads.join(","), bounds.join(","), profiles.join(","), self.registry_mode, self.rules
        )
    }
}

/// The rules of a deployment of the pages, with the grace of a drain, and the figures of a cold host.
pub const RULES: &str = r#"{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":0.2,"drain_grace_ms":250.0,"fall_multiple":2.5,"overload_for_ms":1000.0,"ramp_time_ms":17000.0}"#;

pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
