//! The error line that operators get when the configuration is rejected: it names the field and the reason.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;

use ottersill::lifecycle::config::{Config, ConfigError, LimitsError};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../example/router.json");

/// Writes a file and returns its path. Each case uses its own file name.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("file could not be written");
    path
}

/// Runs the router, asserts that it fails, and returns what it writes to standard error.
fn error_line(config: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let done = command.args(arguments).env("NODE_CONFIG", config).output().expect("router did not run");
    assert_eq!((done.status.code(), done.stdout.len()), (Some(1), 0));
    String::from_utf8(done.stderr).expect("output is not UTF-8")
}

/// A file that can't be parsed is reported with its path, the path of the field, line and column.
#[rstest]
#[case::not_json("cut", "", "{", "?: EOF while parsing an object at line 1 column 1")]
#[case::empty_object("nothing", "", "{}", ".: missing field `name` at line 1 column 2")]
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
fn a_malformed_configuration_is_reported_with_its_position(
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

/// A value that can be parsed but not used is reported with its field.
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
    let expected = "ottersill: --workload: no workload \"nope\"; there are get, put\n";
    assert_eq!(error_line(&good, &["explain", "--workload", "nope"]), expected);
    let bad = file("explain-bad.json", &EXAMPLE.replace("\"pure\"", "\"odd\""));
    let expected =
        "ottersill: NODE_CONFIG: settings.effect: expected pure, token or side_effect, found \"odd\"\n";
    assert_eq!(error_line(&bad, &["explain", "--workload", "get"]), expected);
}

#[test]
fn fleet_file_errors_are_reported() {
    let config = file("fleet-good.json", EXAMPLE);
    let expected = "ottersill: /nonexistent: No such file or directory (os error 2)\n";
    assert_eq!(error_line(&config, &["--fleet", "/nonexistent"]), expected);
    let fleet = file("fleet-bad.textproto", "# A file.\ndrift: x");
    let path = fleet.display().to_string();
    let expected = format!("ottersill: {path}: line 2: drift: expected a number, but found 'x'\n");
    assert_eq!(error_line(&config, &["--fleet", &path]), expected);
}

#[rstest]
#[case::not_json("{", "EOF")]
#[case::no_name("{}", "missing field `name`")]
#[case::bad_address(r#"{"name":"a","listen":"here"}"#, "listen: ")]
#[case::bad_seed(r#"{"name":"a","seed":"xyz"}"#, "seed: expected a hexadecimal number")]
fn parse_errors_name_the_field(#[case] json: &str, #[case] expected: &str) {
    let error = Config::parse(json.as_bytes()).err().expect("configuration is accepted").to_string();
    assert!(error.contains(expected), "{error}");
}

#[rstest]
#[case::default(1024, Some(1005))]
#[case::minimum(21, Some(2))]
#[case::too_few(20, None)]
fn connection_limits_come_from_the_descriptor_limit(#[case] sockets: usize, #[case] expected: Option<usize>) {
    let mut config = Config::parse(EXAMPLE.as_bytes()).expect("example configuration is rejected");
    config.limits.sockets = sockets;
    assert_eq!(config.limits.connection_limits().ok().map(|limits| limits.total), expected);
}

/// Errors provide field, line, column and cause as values, not only in their text.
#[test]
fn errors_expose_position_and_cause() {
    let error =
        Config::parse(b"{\"name\":\"a\",\n \"listen\":\"here\"}").err().expect("configuration is accepted");
    assert_eq!((error.field.as_str(), error.source.line(), error.source.column()), ("listen", 2, 16));
    let text = error.source.to_string();
    let malformed = ConfigError::Malformed { path: "a.json".to_string(), source: error };
    let cause = malformed.source().and_then(Error::source).expect("no cause");
    assert_eq!(cause.to_string(), text);
    let limits = ConfigError::from(LimitsError::Sockets { least: 21, found: 3 });
    assert_eq!(limits.to_string(), "NODE_CONFIG: limits.sockets: expected 21 at least, found 3");
    assert!(limits.source().is_some_and(<dyn Error>::is::<LimitsError>));
}
