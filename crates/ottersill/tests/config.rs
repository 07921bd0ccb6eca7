//! What operators read when the configuration is rejected: one line with the field and the reason.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

use ottersill::lifecycle::config::{Config, ConfigError, LimitsError};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../example/router.json");

/// Writes a file; each case has its own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Runs the router, which must fail, and returns what it writes to standard error.
fn error_line(config: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let done = command.args(arguments).env("NODE_CONFIG", config).output().expect("it runs");
    assert_eq!((done.status.code(), done.stdout.len()), (Some(1), 0));
    String::from_utf8(done.stderr).expect("UTF-8")
}

/// A file that can't be parsed is reported with its path, the path of the field, line and column.
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
fn malformed_config_is_reported_with_its_place(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = if from.is_empty() { to.to_string() } else { EXAMPLE.replace(from, to) };
    let path = file(&format!("config-{name}.json"), &text);
    let expected = format!("ottersill: NODE_CONFIG: {}: {expected}\n", path.display());
    assert_eq!(error_line(&path, &[]), expected);
}

/// A value that was parsed and can't be used is reported with its field.
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
fn invalid_values_are_reported_with_their_field(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    assert!(EXAMPLE.contains(from));
    let path = file(&format!("use-{name}.json"), &EXAMPLE.replace(from, to));
    assert_eq!(error_line(&path, &[]), format!("ottersill: NODE_CONFIG: {expected}\n"));
}

#[test]
fn explain_reports_the_same_errors() {
    let good = file("explain-good.json", EXAMPLE);
    let none = "ottersill: --workload: no workload \"nope\"; there are get, put\n";
    assert_eq!(error_line(&good, &["explain", "--workload", "nope"]), none);
    let bad = file("explain-bad.json", &EXAMPLE.replace("\"pure\"", "\"odd\""));
    let odd = "ottersill: NODE_CONFIG: settings.effect: expected pure, token or side_effect, found \"odd\"\n";
    assert_eq!(error_line(&bad, &["explain", "--workload", "get"]), odd);
}

#[test]
fn fleet_file_errors_are_reported() {
    let config = file("fleet-good.json", EXAMPLE);
    let none = "ottersill: /nonexistent: No such file or directory (os error 2)\n";
    assert_eq!(error_line(&config, &["--fleet", "/nonexistent"]), none);
    let fleet = file("fleet-bad.textproto", "# A file.\ndrift: x");
    let path = fleet.display().to_string();
    let bad = format!("ottersill: {path}: line 2: drift: expected a number, but found 'x'\n");
    assert_eq!(error_line(&config, &["--fleet", &path]), bad);
}

#[rstest]
#[case::no_json("{", "EOF")]
#[case::no_name("{}", "missing field `name`")]
#[case::bad_address(r#"{"name":"a","listen":"here"}"#, "listen: ")]
#[case::bad_seed(r#"{"name":"a","seed":"xyz"}"#, "seed: expected a hexadecimal number")]
fn parse_errors_name_the_field(#[case] json: &str, #[case] says: &str) {
    let error = Config::parse(json.as_bytes()).err().expect("an error").to_string();
    assert!(error.contains(says), "{error}");
}

#[rstest]
#[case::usual(1024, Some(1005))]
#[case::hardly_any(21, Some(2))]
#[case::none(20, None)]
fn connection_limits_come_from_the_descriptor_limit(#[case] sockets: usize, #[case] expected: Option<usize>) {
    let mut config = Config::parse(EXAMPLE.as_bytes()).expect("the example");
    config.limits.sockets = sockets;
    assert_eq!(config.limits.connection_limits().ok().map(|limits| limits.total), expected);
}

/// Errors have field, line, column and cause as values, not only in their text.
#[test]
fn errors_expose_place_and_cause() {
    let error = Config::parse(b"{\"name\":\"a\",\n \"listen\":\"here\"}").err().expect("an error");
    assert_eq!((error.field.as_str(), error.source.line(), error.source.column()), ("listen", 2, 16));
    let text = error.source.to_string();
    let malformed = ConfigError::Malformed { path: "a.json".to_string(), source: error };
    let cause = malformed.source().and_then(Error::source).expect("a cause");
    assert_eq!(cause.to_string(), text);
    let limits = ConfigError::from(LimitsError::Sockets { least: 21, found: 3 });
    assert_eq!(limits.to_string(), "NODE_CONFIG: limits.sockets: expected 21 at least, found 3");
    assert!(limits.source().is_some_and(<dyn Error>::is::<LimitsError>));
}
