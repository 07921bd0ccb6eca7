//! What an operator reads when the router does not take its configuration: one line with the field and the reason.

use std::path::{Path, PathBuf};
use std::process::Command;

use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../example/router.json");

/// A file with that text, of its own for each case.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// What the router says on standard error before it ends.
fn refusal(config: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let done = command.args(arguments).env("NODE_CONFIG", config).output().expect("it runs");
    assert_eq!((done.status.code(), done.stdout.len()), (Some(1), 0));
    String::from_utf8(done.stderr).expect("UTF-8")
}

/// What can't be read is told with the file, the path of the field, line and column.
#[rstest]
#[case::no_json("cut", "", "{", "?: EOF while parsing an object at line 1 column 1")]
#[case::nothing("nothing", "", "{}", ".: missing field `name` at line 1 column 2")]
#[case::address(
    "address",
    "",
    r#"{"name":"a","listen":"here"}"#,
    "listen: invalid socket address syntax at line 1 column 27"
)]
#[case::seed(
    "seed",
    "",
    r#"{"name":"a","seed":"xyz"}"#,
    "seed: expected a hexadecimal number, found \"xyz\" at line 1 column 25"
)]
#[case::memory(
    "memory",
    "192",
    "-1",
    "limits.memory_mb: invalid value: integer `-1`, expected usize at line 6 column 42"
)]
#[case::list("list", "\"seq\": 0, ", "", "known: missing field `seq` at line 7 column 39")]
#[case::settings(
    "settings",
    "\"send_cap\": 8",
    "\"send_cap\": \"x\"",
    "settings.policy_limits.send_cap: invalid type: string \"x\", expected u32 at line 23 column 73"
)]
fn what_can_t_be_read_is_told(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = if from.is_empty() { to.to_string() } else { EXAMPLE.replace(from, to) };
    let path = file(&format!("config-{name}.json"), &text);
    let expected = format!("ottersill: NODE_CONFIG: {}: {expected}\n", path.display());
    assert_eq!(refusal(&path, &[]), expected);
}

/// What was read and can't be used is told with its field.
#[rstest]
#[case::sockets("sockets", "1024", "20", "limits.sockets: expected 21 at least, found 20")]
#[case::connect(
    "connect",
    "\"connect_timeout_ms\": 250, ",
    "",
    "settings.policy_limits: missing field `connect_timeout_ms`"
)]
#[case::effect(
    "effect",
    "\"pure\"",
    "\"odd\"",
    "settings.effect: expected pure, token or side_effect, found \"odd\""
)]
#[case::classes(
    "classes",
    "\"bounded\", \"write\"",
    "\"bounded\"",
    "settings.class_read and oldest_data_ms: expected an entry for each of profiles"
)]
fn what_can_t_be_used_is_told(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    assert!(EXAMPLE.contains(from));
    let path = file(&format!("use-{name}.json"), &EXAMPLE.replace(from, to));
    assert_eq!(refusal(&path, &[]), format!("ottersill: NODE_CONFIG: {expected}\n"));
}

#[test]
fn explain_tells_the_same() {
    let good = file("explain-good.json", EXAMPLE);
    let none = "ottersill: --workload: no workload \"nope\"; there are get, put\n";
    assert_eq!(refusal(&good, &["explain", "--workload", "nope"]), none);
    let bad = file("explain-bad.json", &EXAMPLE.replace("\"pure\"", "\"odd\""));
    let odd = "ottersill: NODE_CONFIG: settings.effect: expected pure, token or side_effect, found \"odd\"\n";
    assert_eq!(refusal(&bad, &["explain", "--workload", "get"]), odd);
}

#[test]
fn the_fleet_s_file_is_told_of_too() {
    let config = file("fleet-good.json", EXAMPLE);
    let none = "ottersill: /nonexistent: No such file or directory (os error 2)\n";
    assert_eq!(refusal(&config, &["--fleet", "/nonexistent"]), none);
    let fleet = file("fleet-bad.textproto", "# A file.\ndrift: x");
    let path = fleet.display().to_string();
    let bad = format!("ottersill: {path}: line 2: drift: expected a number, but found 'x'\n");
    assert_eq!(refusal(&config, &["--fleet", &path]), bad);
}
