//! Speaks to the built adapter as the bench would, over standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const BOOT: &str = r#"{"accounts":[],"balancers":2,"domain":{"answers_stamped":true,"class_read":["bounded","write"],
"counted_from_ms":1000.0,"oldest_data_ms":[500.0,0.0],"when_behind":"none","write_marks":"carried"},
"localities":["hill","shore"],"over_share_worth":0.1,"policy_limits":{"cancelling":true,"max_retry_after_ms":400.0,
"probes":true,"retry_after":true,"send_cap":4},"profiles":[{"aim_ms":200.0,"credit":2.0,"deadline_ms":600.0,
"effect":"pure","group":"all","late_value":0.0,"name":"peek","window_ms":0.0},{"aim_ms":400.0,"credit":3.0,
"deadline_ms":900.0,"effect":"side_effect","group":"all","late_value":0.0,"name":"post","window_ms":0.0}],
"registry_mode":"automatic","rules":{"cold_from":0.2,"fall_multiple":3.0,"overload_for_ms":1000.0,
"ramp_time_ms":9000.0},"stats":{"fields":["x0","x1"],"how":"answers"},"zone":"hill","something_new":1}"#;

const LIST: &str = r#"{"roster":{"list":3,"members_list":[
{"state":0,"power_hint":1,"kind":"k","set":9,"primary":0,"site":"hill","host":"otter"},
{"state":0,"power_hint":1,"kind":"k","set":9,"primary":0,"site":"shore","host":"heron"}]}},
{"backends_changed":{"kind":2,"gen":1,"list":3}}"#;

fn start() -> String {
    format!(r#"{{"create":{{"nonce64":5,"boot_info":{BOOT}}}}},{LIST}"#)
}

fn batch(ms: u32, who: u32, events: &str) -> String {
    format!(r#"{{"ts_ms":{ms},"parts":[{{"who":{who},"in":[{events}]}}]}}"#).replace('\n', "") + "\n"
}

fn run(input: &str) -> Output {
    let mut drill = Command::new(env!("CARGO_BIN_EXE_ottersill-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    drill.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the adapter reads");
    drill.wait_with_output().expect("the adapter ends")
}

/// Start, an empty list, probes, a write and reads, a miss, a hangup, a kill and a new start, reply by reply.
#[test]
fn a_short_conversation() {
    let beat = r#"{"notify_me":{"sleep_for_ms":20,"name":"beat"}}"#;
    let probes = r#"{"sound_out":{"host":"heron"}},{"sound_out":{"host":"otter"}}"#;
    let none = r#"{"roster":{"list":4,"members_list":[]}},{"backends_changed":{"kind":1,"gen":2,"list":4}}"#;
    let steps = [
        ("{\"ts_ms\":2000,\"parts\":[]}\n".to_string(), String::new()),
        (batch(2000, 4, &start()), beat.into()),
        (batch(2000, 4, &format!("{none},{LIST}")), String::new()),
        // Waits: no primary is known.
        (
            batch(
                2001,
                4,
                r#"{"demand":{"tid":70,"priority":"post","key":1,"budget_ms":900,"partition_no":9}}"#,
            ),
            probes.into(),
        ),
        (
            batch(
                2005,
                4,
                r#"{"health_result":{"host":"heron","result":"ok","pressure":{"x0":1.0,"x1":1}}},
                {"health_result":{"host":"otter","result":"ok","pressure":{"x0":0.95,"x1":0}}},{"never_met":{}}"#,
            ),
            r#"{"forward":{"tid":70,"give_up_after_ms":0,"host":"heron"}}"#.into(),
        ),
        (
            batch(2010, 4, r#"{"demand":{"tid":71,"priority":"peek","budget_ms":600,"partition_no":9}}"#),
            r#"{"forward":{"tid":71,"give_up_after_ms":0,"host":"otter"}}"#.into(),
        ),
        // Turned away untouched: waits again until somebody else is the primary.
        (
            batch(
                2020,
                4,
                r#"{"resolved":{"tid":70,"trial":0,"host":"heron","result":"miss","cost_time_ms":15,"progress":3682}}"#,
            ),
            String::new(),
        ),
        (
            batch(
                2060,
                4,
                r#"{"resolved":{"tid":71,"trial":0,"host":"otter","result":"ok","cost_time_ms":50,"progress":4201,"done_flag":true}}"#,
            ),
            r#"{"forward":{"tid":70,"give_up_after_ms":0,"host":"otter"}}"#.into(),
        ),
        (batch(2070, 4, r#"{"hangup":{"tid":70}},{"hangup":{"tid":71}}"#), String::new()),
        (
            batch(
                2080,
                4,
                r#"{"resolved":{"tid":70,"trial":1,"host":"otter","result":"error","cost_time_ms":20,"done_flag":true}}"#,
            ),
            String::new(),
        ),
        (batch(2090, 4, &format!(r#"{{"kill":{{}}}},{}"#, start())), beat.into()),
        (batch(2095, 5, r#"{"reminder":{"name":"beat"}}"#), String::new()),
    ];
    let output = run(&steps.iter().map(|(line, _)| line.as_str()).collect::<String>());
    let said = String::from_utf8(output.stdout).expect("UTF-8");
    let replies: Vec<&str> = said.lines().collect();
    assert_eq!(replies.len(), steps.len(), "{}", String::from_utf8_lossy(&output.stderr));
    for ((asked, steps), reply) in steps.iter().zip(replies) {
        let part = if steps.is_empty() { String::new() } else { format!(r#"{{"who":4,"steps":[{steps}]}}"#) };
        assert_eq!(reply, format!(r#"{{"parts":[{part}]}}"#), "after {asked}");
    }
    assert!(output.status.success());
    let strange = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(strange, "ottersill-drill: unknown event \"never_met\" is skipped\n");
}

#[rstest]
#[case::no_json("nonsense\n", "line 1", "expected")]
#[case::no_clock("{\"parts\":[]}\n", "line 1", "ts_ms")]
#[case::second_line(
    "{\"ts_ms\":1,\"parts\":[]}\n{\"ts_ms\":\"x\",\"parts\":[]}\n",
    "line 2: field ts_ms",
    "expected f64"
)]
#[case::missing_field(&batch(1, 0, r#"{"demand":{"tid":1}}"#), "parts[0].in[0].demand", "missing field `priority`")]
#[case::wrong_kind(&batch(1, 0, r#"{"hangup":{"tid":-1}}"#), "parts[0].in[0].hangup.tid", "expected u64")]
#[case::unknown_workload(&(batch(1, 0, &start()) + &batch(1, 0, r#"{"demand":{"tid":1,"priority":"dig","budget_ms":9,"partition_no":9}}"#)), "line 2", "no workload \"dig\"")]
#[case::unknown_outcome(&(batch(1, 0, &start()) + &batch(1, 0, r#"{"resolved":{"tid":1,"host":"otter","result":"odd","cost_time_ms":1}}"#)), "line 2", "expected an outcome")]
#[case::undeclared_list(&(batch(1, 0, &start()) + &batch(1, 0, r#"{"backends_changed":{"kind":1,"gen":1,"list":8}}"#)), "line 2", "list that was declared")]
fn what_is_no_batch_ends_the_adapter(#[case] input: &str, #[case] place: &str, #[case] expected: &str) {
    let output = run(input);
    let said = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains(place) && said.contains(expected) && said.lines().count() == 1, "{said}");
}
