//! Runs the built adapter and communicates with it like the simulator, over standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const SETTINGS: &str = r#"{"accounts":[],"balancers":2,"domain":{"answers_stamped":true,"class_read":["bounded","write"],
"counted_from_ms":1000.0,"oldest_data_ms":[500.0,0.0],"when_behind":"none","write_marks":"carried"},
"localities":["hill","shore"],"over_share_worth":0.1,"policy_limits":{"cancelling":true,"max_retry_after_ms":400.0,
"probes":true,"retry_after":true,"send_cap":4},"profiles":[{"aim_ms":200.0,"credit":2.0,"deadline_ms":600.0,
"effect":"pure","group":"all","late_value":0.0,"name":"peek","window_ms":0.0},{"aim_ms":400.0,"credit":3.0,
"deadline_ms":900.0,"effect":"side_effect","group":"all","late_value":0.0,"name":"post","window_ms":0.0}],
"registry_mode":"automatic","rules":{"cold_from":0.2,"fall_multiple":3.0,"overload_for_ms":1000.0,
"ramp_time_ms":9000.0},"stats":{"fields":["x0","x1"],"how":"answers"},"zone":"hill","something_new":1}"#;

const DECLARE_AND_SEND_LIST: &str = r#"{"roster":{"list":3,"members_list":[
{"state":0,"power_hint":1,"kind":"k","set":9,"primary":0,"site":"hill","host":"otter"},
{"state":0,"power_hint":1,"kind":"k","set":9,"primary":0,"site":"shore","host":"heron"}]}},
{"backends_changed":{"kind":2,"gen":1,"list":3}}"#;

fn create_events() -> String {
    format!(r#"{{"create":{{"nonce64":5,"boot_info":{SETTINGS}}}}},{DECLARE_AND_SEND_LIST}"#)
}

fn batch(ms: u32, who: u32, events: &str) -> String {
    format!(r#"{{"ts_ms":{ms},"parts":[{{"who":{who},"in":[{events}]}}]}}"#).replace('\n', "") + "\n"
}

fn run(input: impl AsRef<[u8]>) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_ottersill-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter did not start");
    adapter
        .stdin
        .take()
        .expect("standard input is not a pipe")
        .write_all(input.as_ref())
        .expect("the adapter did not read its input");
    adapter.wait_with_output().expect("the adapter can't be waited for")
}

/// Guards against a wrong reply to a start, an empty list, health checks, a write, reads, an attempt at the wrong endpoint,
/// a disconnected client, a kill or a restart. Every reply is compared exactly.
#[test]
#[expect(clippy::too_many_lines, reason = "one conversation, reply by reply")]
fn a_conversation_of_one_instance() {
    let beat = r#"{"notify_me":{"sleep_for_ms":20,"name":"beat"}}"#;
    let probes = r#"{"sound_out":{"host":"heron"}},{"sound_out":{"host":"otter"}}"#;
    let none = r#"{"roster":{"list":4,"members_list":[]}},{"backends_changed":{"kind":1,"gen":2,"list":4}}"#;
    let steps = [
        ("{\"ts_ms\":2000,\"parts\":[]}\n".to_string(), String::new()),
        (batch(2000, 4, &create_events()), beat.into()),
        (batch(2000, 4, &format!("{none},{DECLARE_AND_SEND_LIST}")), String::new()),
        // The write waits because no primary is known.
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
        // The endpoint is not the primary and has not run the write, which waits again until another primary is known.
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
        (batch(2090, 4, &format!(r#"{{"kill":{{}}}},{}"#, create_events())), beat.into()),
        (batch(2095, 5, r#"{"reminder":{"name":"beat"}}"#), String::new()),
    ];
    let output = run(steps.iter().map(|(line, _)| line.as_str()).collect::<String>());
    let stdout = String::from_utf8(output.stdout).expect("output is not UTF-8");
    let replies: Vec<&str> = stdout.lines().collect();
    assert_eq!(replies.len(), steps.len(), "{}", String::from_utf8_lossy(&output.stderr));
    for ((input, steps), reply) in steps.iter().zip(replies) {
        let part = if steps.is_empty() { String::new() } else { format!(r#"{{"who":4,"steps":[{steps}]}}"#) };
        assert_eq!(reply, format!(r#"{{"parts":[{part}]}}"#), "after {input}");
    }
    assert!(output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("output is not UTF-8");
    assert_eq!(stderr, "ottersill-sim-adapter: unknown event \"never_met\" is skipped\n");
}

/// Like [`create_events`], but with a tenant, and with endpoint lists sent only on request.
fn create_events_with_lists_on_request() -> String {
    create_events()
        .replace(r#""registry_mode":"automatic""#, r#""registry_mode":"subscribe""#)
        .replace(r#""accounts":[]"#, r#""accounts":[{"name":"red","quota_per_s":50}]"#)
}

fn part(who: u32, steps: &str) -> String {
    format!(r#"{{"who":{who},"steps":[{steps}]}}"#)
}

/// Guards against events that are misread with keys in another order, escapes in names or unknown keys, and against wrong
/// replies with the actions that do not occur in the conversation of one instance.
#[test]
#[expect(clippy::too_many_lines, reason = "one conversation, reply by reply")]
fn a_conversation_of_two_instances() {
    let beat = r#"{"notify_me":{"sleep_for_ms":20,"name":"beat"}}"#;
    let reminder = r#"{"reminder":{"name":"beat"}}"#;
    let follow = r#"{"follow":{"want":true}}"#;
    let at =
        |ms: u32, parts: &str| format!("{{\"ts_ms\":{ms},\"parts\":[{parts}]}}\n").replace('\n', "") + "\n";
    let both = create_events_with_lists_on_request();
    let steps = [
        (batch(2000, 4, &both), part(4, beat)),
        (
            batch(2001, 4, reminder),
            part(4, &format!(r#"{follow},{{"sound_out":{{"host":"heron"}}}},{beat}"#)),
        ),
        (batch(2002, 4, r#"{"backends_changed":{"kind":3,"gen":1}}"#), String::new()),
        (batch(2022, 4, reminder), part(4, &format!("{follow},{beat}"))),
        (batch(2042, 4, reminder), part(4, beat)),
        // A key may come before the key on which it depends.
        (
            format!(r#"{{"parts":[{{"in":[{both}],"who":5}}],"later":[1],"ts_ms":2043}}"#).replace('\n', "")
                + "\n",
            part(5, beat),
        ),
        (
            at(
                2044,
                r#"{"who":4,"in":[{"demand":{"tid":70,"priority":"p\u006fst","owner":"r\u0065d","key":1,"budget_ms":900,"partition_no":9,"is_write":true}}]},
                {"who":9,"in":[{"reminder":{"name":"beat"}}]},
                {"who":5,"more":0,"in":[{"demand":{"tid":71,"priority":"post","owner":0,"key":1,"budget_ms":900,"partition_no":9}}]}"#,
            ),
            [
                part(4, r#"{"sound_out":{"host":"otter"}}"#),
                part(5, r#"{"sound_out":{"host":"heron"}},{"sound_out":{"host":"otter"}}"#),
            ]
            .join(","),
        ),
        (
            at(
                2050,
                r#"{"who":4,"in":[{"health_result":{"host":"h\u0065ron","result":"ok","pressure":{"x0":1.04,"x1":1,"utilization":0.25}}},
                {"health_result":{"host":"otter","result":"timeout"}}]},
                {"who":5,"in":[{"health_result":{"host":"heron","result":"full"}}]}"#,
            ),
            part(4, r#"{"forward":{"tid":70,"give_up_after_ms":0,"host":"heron"}}"#),
        ),
        (
            batch(
                2060,
                4,
                r#"{"accepted":{"tid":70,"trial":0,"host":"heron"}},{"peer_data":{"src":5,"bytes":"aGkgNw=="}}"#,
            ),
            String::new(),
        ),
        // The write may have run, and must not run twice.
        (
            batch(
                2070,
                4,
                r#"{"resolved":{"tid":70,"trial":0,"host":"heron","result":"error","cost_time_ms":20,"progress":0}}"#,
            ),
            part(4, r#"{"finish_error":{"tid":70}}"#),
        ),
        // The endpoint drains and is removed by list changes, and then is absent from a full list. It gets no more health
        // checks.
        (
            batch(
                2075,
                4,
                r#"{"roster":{"list":7,"members_list":[{"state":3,"power_hint":1.5,"kind":"k","set":9,"site":"shore","started_at_ms":7.5,"host":"heron"}]}},
                {"backends_changed":{"kind":0,"gen":2,"list":7}},
                {"roster":{"list":7,"members_list":[{"state":2,"power_hint":1,"set":9,"site":"elsewhere","host":"heron"}]}},
                {"backends_changed":{"kind":0,"gen":3,"list":7}},
                {"roster":{"list":7,"members_list":[{"state":0,"power_hint":1,"set":9,"site":"hill","host":"otter"}]}},
                {"backends_changed":{"kind":1,"gen":4,"list":7}}"#,
            ),
            String::new(),
        ),
        (
            batch(2076, 4, r#"{"demand":{"tid":72,"priority":"post","budget_ms":900,"partition_no":9}}"#),
            part(4, r#"{"sound_out":{"host":"otter"}}"#),
        ),
        // The request had to be started by now, and no attempt has been sent.
        (
            batch(2355, 5, reminder),
            part(5, &format!(r#"{follow},{{"say_no":{{"tid":71,"retry_in_ms":100}}}},{beat}"#)),
        ),
    ];
    let output = run(steps.iter().map(|(line, _)| line.as_str()).collect::<String>());
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    let stdout = String::from_utf8(output.stdout).expect("output is not UTF-8");
    let replies: Vec<&str> = stdout.lines().collect();
    assert_eq!(replies.len(), steps.len());
    for ((input, parts), reply) in steps.iter().zip(replies) {
        assert_eq!(reply, format!(r#"{{"parts":[{parts}]}}"#), "after {input}");
    }
    assert!(output.status.success());
}

/// Guards against a wrong form of the action `call_off`, which a router uses only if an endpoint does not answer.
#[test]
fn attempts_at_an_unresponsive_endpoint_are_cancelled() {
    let wren = r#",{"state":0,"power_hint":1,"set":9,"site":"hill","host":"wren"}]}}"#;
    let health_results = r#"{"health_result":{"host":"heron","result":"ok","pressure":{"x0":2.004,"x1":1}}},
        {"health_result":{"host":"otter","result":"ok","pressure":{"x0":2.0,"x1":0}}},
        {"health_result":{"host":"wren","result":"ok","pressure":{"x0":2.0,"x1":0}}}"#;
    let read = |tid: u32| {
        format!(r#"{{"demand":{{"tid":{tid},"priority":"peek","budget_ms":600,"partition_no":9}}}}"#)
    };
    let reads: Vec<String> = (2..14).map(read).collect();
    let mut input = batch(3000, 4, &create_events().replacen("]}}", wren, 1));
    input += &batch(3001, 4, &read(1));
    input += &batch(3005, 4, health_results);
    input += &batch(3006, 4, &reads.join(","));
    (1..12).for_each(|beat| input += &batch(3000 + 20 * beat, 4, r#"{"reminder":{"name":"beat"}}"#));
    let output = run(&input);
    let stdout = String::from_utf8(output.stdout).expect("output is not UTF-8");
    assert!(stdout.contains(r#"{"call_off":{"tid":2,"trial":0}},"#), "{stdout}");
}

const READ_REQUEST: &str = r#"{"demand":{"tid":1,"priority":"peek","budget_ms":9,"partition_no":9}}"#;

#[rstest]
#[case::not_json("nonsense\n", "line 1: field .: expected ident at line 1 column 2")]
#[case::empty_line("\n", "line 1: field .: EOF while parsing a value at line 2 column 0")]
#[case::not_an_object(
    "[]\n",
    "line 1: field .: invalid type: sequence, expected a batch with ts_ms and parts at line 1 column 0"
)]
#[case::no_clock("{\"parts\":[]}\n", "line 1: field .: missing field `ts_ms` at line 1 column 12")]
#[case::no_parts("{\"ts_ms\":1}\n", "line 1: field .: missing field `parts` at line 1 column 11")]
#[case::trailing_characters(
    "{\"ts_ms\":1,\"parts\":[]} x\n",
    "line 1: field .: trailing characters at line 1 column 24"
)]
#[case::no_instance(
    "{\"ts_ms\":1,\"parts\":[{\"in\":[]}]}\n",
    "line 1: field parts[0]: missing field `who` at line 1 column 29"
)]
#[case::no_events(
    "{\"ts_ms\":1,\"parts\":[{\"who\":1}]}\n",
    "line 1: field parts[0]: missing field `in` at line 1 column 29"
)]
#[case::second_line(
    "{\"ts_ms\":1,\"parts\":[]}\n{\"ts_ms\":\"x\",\"parts\":[]}\n",
    "line 2: field ts_ms: invalid type: string \"x\", expected f64 at line 1 column 12"
)]
#[case::empty_event(&batch(1, 0, "{}"), "line 1: field parts[0].in[0]: expected the name of an event at line 1 column 37")]
#[case::two_events(
    &batch(1, 0, r#"{"hangup":{"tid":1},"kill":{}}"#),
    "line 1: field parts[0].in[0]: expected one event per object at line 1 column 61"
)]
#[case::event_not_an_object(
    &batch(1, 0, "7"),
    "line 1: field parts[0].in[0]: invalid type: integer `7`, expected an event: an object with its name as the only key at line 1 column 36"
)]
#[case::missing_field(
    &batch(1, 0, r#"{"demand":{"tid":1}}"#),
    "line 1: field parts[0].in[0].demand: missing field `priority` at line 1 column 54"
)]
#[case::wrong_type(
    &batch(1, 0, r#"{"hangup":{"tid":-1}}"#),
    "line 1: field parts[0].in[0].hangup.tid: invalid value: integer `-1`, expected u64 at line 1 column 54"
)]
#[case::invalid_deferred_events(
    "{\"ts_ms\":2,\"parts\":[{\"in\":[{\"demand\":{\"tid\":1}}],\"who\":1}]}\n",
    "line 1: field parts[0]: missing field `priority` at line 1 column 20"
)]
#[case::setting_of_wrong_type(
    &batch(1, 0, &create_events().replace("\"send_cap\":4", "\"send_cap\":\"x\"")),
    "line 1: field parts[0].in[0].create.boot_info.policy_limits.send_cap: invalid type: string \"x\", expected u32 at line 1 column 427"
)]
#[case::unknown_value_of_setting(
    &batch(1, 0, &create_events().replace("\"pure\"", "\"pur\"")),
    "line 1: field parts[0].in[0]: effect: expected pure, token or side_effect, found \"pur\" at line 1 column 902"
)]
#[case::not_utf8(b"{\"ts_ms\":1,\"\xff\n".as_slice(), "line 1: expected UTF-8: invalid utf-8 sequence of 1 bytes from index 12")]
fn malformed_batches_end_the_adapter(#[case] input: impl AsRef<[u8]>, #[case] expected: &str) {
    assert_rejected(input.as_ref(), &[expected]);
}

#[rstest]
#[case::unknown_workload(&READ_REQUEST.replace("peek", "dig"), "priority: no workload \"dig\" at line 1 column 103")]
#[case::unknown_tenant(
    &READ_REQUEST.replace("\"peek\"", "\"peek\",\"owner\":\"blue\""),
    "owner: no tenant \"blue\" at line 1 column 119"
)]
#[case::unknown_outcome(
    r#"{"resolved":{"tid":1,"host":"mole","result":"odd","cost_time_ms":1}}"#,
    "result: expected an outcome, found \"odd\" at line 1 column 103"
)]
#[case::unknown_endpoint(
    r#"{"resolved":{"tid":1,"host":"mole","result":"ok","cost_time_ms":1}}"#,
    "host: no endpoint list has contained \"mole\" at line 1 column 102"
)]
#[case::health_check_of_unknown_endpoint(
    r#"{"health_result":{"host":"mole","result":"odd"}}"#,
    "host: no endpoint list has contained \"mole\" at line 1 column 83"
)]
#[case::unknown_outcome_of_health_check(
    r#"{"health_result":{"host":"otter","result":"odd"}}"#,
    "result: expected an outcome, found \"odd\" at line 1 column 84"
)]
#[case::undeclared_list(
    r#"{"backends_changed":{"kind":1,"gen":1,"list":8}}"#,
    "expected the number of a declared list at line 1 column 83"
)]
#[case::no_list(r#"{"backends_changed":{"kind":1,"gen":1}}"#, "missing field `list` at line 1 column 74")]
#[case::unknown_kind(
    r#"{"backends_changed":{"kind":7,"gen":1,"list":3}}"#,
    "expected a kind of 0 to 3 at line 1 column 83"
)]
fn events_with_unknown_names_end_the_adapter(#[case] event: &str, #[case] expected: &str) {
    let input = batch(1, 0, &create_events()) + &batch(1, 0, event);
    assert_rejected(input.as_bytes(), &[&format!("line 2: field parts[0].in[0]: {expected}")]);
}

/// Guards against a wrong path or column of an invalid event when events that are skipped or ignored precede it.
#[test]
fn the_invalid_event_is_located() {
    let list = r#"{"roster":{"list":4,"members_list":[{"state":1,"power_hint":1,"set":9,"site":"hill","host":"otter"}]}}"#;
    let events = format!(
        r#"{{"reminder":{{"name":"beat"}}}},{list},{{"peer_data":1}},{{"never_met":2}},{{"backends_changed":{{"kind":1,"gen":1,"list":4}}}}"#
    );
    let input = batch(1, 0, &create_events()) + &batch(1, 0, &events);
    let expected_error =
        "line 2: field parts[0].in[4]: state: expected 0, 2 or 3, found 1 at line 1 column 247";
    assert_rejected(input.as_bytes(), &["unknown event \"never_met\" is skipped", expected_error]);
}

/// Guards against an error for events that were in flight to an instance when it was killed. They may contain names that
/// are no longer known.
#[test]
fn events_for_a_killed_instance_are_ignored() {
    let events = r#"{"backends_changed":{"kind":7,"gen":1}},{"hangup":{"tid":8}},
        {"resolved":{"tid":1,"host":"mole","result":"odd","cost_time_ms":1}}"#;
    let output = run(batch(1, 7, events));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"parts\":[]}\n");
    assert!(output.status.success() && output.stderr.is_empty());
}

fn assert_rejected(input: &[u8], expected: &[&str]) {
    let output = run(input);
    let stderr = String::from_utf8(output.stderr).expect("output is not UTF-8");
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    let expected: Vec<String> =
        expected.iter().map(|line| format!("ottersill-sim-adapter: {line}\n")).collect();
    assert_eq!(stderr, expected.concat());
}
