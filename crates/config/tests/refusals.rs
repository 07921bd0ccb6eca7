//! Invalid fleet files are rejected with the line, the field and the reason; valid files give the expected values.

use ottersill_config::fleet::FleetFile;
use ottersill_fleet::settings::LimitKind;
use rstest::rstest;

const VALID_FILE: &str = r#"# Three routers.
peer { name: "a" at: "127.0.0.1:7411" }
peer { name: "b" at: "127.0.0.1:7412" }
peer { name: "c" at: "127.0.0.1:7413" }
voter: "a"
voter: "b"
voter: "c"
control: "127.0.0.1:7421"
key_file: "fleet.key"
keeper_lease_s: 0.8
lease_s: 2
floor_lease_s: 30
drift: 0.01
members_at_most: 8
budget {
  of: EXECUTIONS_AT_EACH_HOST
  whole: 64
  floor: 2
  hold_s: 3
}
budget { of: PROBES whole: 100 every_s: 1 }
"#;

#[test]
fn a_valid_file_is_accepted() {
    let config = FleetFile::from_textproto(VALID_FILE, "b", 2.0).expect("a valid file is rejected");
    assert_eq!(config.listen_address, "127.0.0.1:7412".parse().expect("not an address"));
    assert_eq!(config.fleet.voters, ["a", "b", "c"]);
    assert_eq!((config.fleet.budgets[0].total, config.fleet.budgets[0].floor), (64, 2));
    let shrunk = FleetFile::from_textproto(&VALID_FILE.replace("whole: 64", "whole: 32"), "b", 2.0)
        .expect("a valid file is rejected");
    assert_eq!(config.restart_required(&shrunk), None);
    let other = FleetFile::from_textproto(&VALID_FILE.replace("lease_s: 2", "lease_s: 3"), "b", 2.0)
        .expect("a valid file is rejected");
    assert!(config.restart_required(&other).is_some_and(|field| field.contains("leases")));
}

#[rstest]
#[case::no_such_field(
    "drift: 0.01",
    "drifting: 0.01",
    13,
    "drifting",
    "field 'drifting' not found for message 'ottersill.fleet.Fleet'"
)]
#[case::not_a_number("lease_s: 2", "lease_s: soon", 11, "lease_s", "expected a number, but found 'soon'")]
#[case::stray_bracket(
    "members_at_most: 8",
    "members_at_most: 8 }",
    14,
    "members_at_most",
    "expected a field name, but found '}'"
)]
#[case::unknown_budget_kind(
    "of: PROBES",
    "of: HOPES",
    21,
    "budget[1].of",
    "value 'HOPES' was not found for enum 'ottersill.fleet.Of'"
)]
#[case::set_twice("drift: 0.01", "drift: 0.01 drift: 0.02", 13, "drift[1]", "'drift' is already set")]
#[case::not_an_address(
    "127.0.0.1:7413",
    "somewhere",
    4,
    "peer[2].at",
    "expected an address with its port, found \"somewhere\""
)]
#[case::duplicate_peer("name: \"c\"", "name: \"b\"", 4, "peer[2].name", "an earlier peer has the same name")]
#[case::unknown_voter(
    "voter: \"c\"",
    "voter: \"d\"",
    7,
    "voter[2]",
    "no peer has this name, and every member needs the addresses of all voters"
)]
#[case::duplicate_voter(
    "voter: \"c\"",
    "voter: \"b\"",
    7,
    "voter[2]",
    "this voter is listed twice, and would vote twice"
)]
#[case::even_voters(
    "voter: \"c\"\n",
    "\n",
    5,
    "voter",
    "expected an odd number of voters: an even number tolerates no more failures than one voter fewer"
)]
#[case::control_not_loopback(
    "127.0.0.1:7421",
    "192.0.2.1:7421",
    8,
    "control",
    "expected a loopback address: control requests are not authenticated"
)]
#[case::control_of_a_peer_not_loopback(
    "127.0.0.1:7412\"",
    "127.0.0.1:7412\" control: \"192.0.2.1:1\"",
    3,
    "peer[1].control",
    "expected a loopback address: control requests are not authenticated"
)]
#[case::no_key_file(
    "key_file: \"fleet.key\"",
    "",
    1,
    "key_file",
    "expected the path of the key file: members authenticate each other with its key"
)]
#[case::lease_too_short(
    "lease_s: 2",
    "lease_s: 1",
    11,
    "lease_s",
    "expected at least 1.5 times keeper_lease_s: otherwise all grants expire before a new leader is elected"
)]
#[case::no_lease("lease_s: 2", "", 1, "lease_s", "expected 0.2 to 60 seconds, found 0")]
#[case::floor_lease_below_lease(
    "floor_lease_s: 30",
    "floor_lease_s: 1",
    12,
    "floor_lease_s",
    "expected 2 to 3600 seconds, found 1"
)]
#[case::no_drift("drift: 0.01", "drift: 0", 13, "drift", "expected 0.001 to 0.2, found 0")]
#[case::member_limit_below_peers(
    "members_at_most: 8",
    "members_at_most: 2",
    14,
    "members_at_most",
    "expected at least the number of peers"
)]
#[case::empty_budget(
    "whole: 64",
    "whole: 0",
    17,
    "budget[0].whole",
    "expected at least 1 unit: a budget of 0 allows nothing"
)]
#[case::floors_exceed_budget(
    "floor: 2",
    "floor: 9",
    18,
    "budget[0].floor",
    "a floor of 9 for each of 8 routers exceeds the budget's whole, 64"
)]
#[case::hold_too_short(
    "hold_s: 3",
    "hold_s: 1",
    19,
    "budget[0].hold_s",
    "expected at least 2 seconds, the longest statement timeout: an attempt may run that long after its router crashed"
)]
#[case::rate_without_period(
    "every_s: 1",
    "",
    21,
    "budget[1].every_s",
    "expected 0.01 to 60 seconds, found 0"
)]
#[case::rate_with_hold_time(
    "every_s: 1",
    "every_s: 1 hold_s: 3",
    21,
    "budget[1].hold_s",
    "this budget limits a rate, and the field applies to concurrency limits only"
)]
#[case::duplicate_budget(
    "of: PROBES whole: 100 every_s: 1",
    "of: EXECUTIONS_AT_EACH_HOST whole: 1 hold_s: 3",
    21,
    "budget[1].of",
    "an earlier budget already limits this"
)]
#[case::no_budget_kind("of: PROBES ", "", 21, "budget[1].of", "the budget does not say what it limits")]
#[case::peer_without_name(
    "name: \"c\"",
    "name: \"\"",
    4,
    "peer[2].name",
    "expected a name, found an empty one"
)]
#[case::no_voters("voter: \"a\"\nvoter: \"b\"\nvoter: \"c\"", "", 1, "voter", "expected 1 to 15 voters")]
#[case::listen_not_an_address(
    "key_file",
    "listen: \"here\" key_file",
    9,
    "listen",
    "expected an address with its port, found \"here\""
)]
#[case::control_not_an_address(
    "127.0.0.1:7421",
    "7421",
    8,
    "control",
    "expected an address with its port, found \"7421\""
)]
#[case::control_of_a_peer_not_an_address(
    "127.0.0.1:7413\"",
    "127.0.0.1:7413\" control: \"7\"",
    4,
    "peer[2].control",
    "expected an address with its port, found \"7\""
)]
#[case::leader_lease_too_long(
    "keeper_lease_s: 0.8",
    "keeper_lease_s: 61",
    10,
    "keeper_lease_s",
    "expected 0.2 to 60 seconds, found 61"
)]
#[case::no_member_limit("members_at_most: 8", "", 1, "members_at_most", "expected 1 to 10000")]
#[case::concurrency_with_period(
    "hold_s: 3",
    "hold_s: 3 every_s: 1",
    19,
    "budget[0].every_s",
    "this budget limits concurrency, and the field applies to rate limits only"
)]
fn an_invalid_file_is_rejected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] field: &str,
    #[case] reason: &str,
) {
    assert!(VALID_FILE.contains(from));
    let text = if field.starts_with("peer[1].control") {
        VALID_FILE.replace("control: \"127.0.0.1:7421\"", "")
    } else {
        VALID_FILE.to_string()
    };
    let error = FleetFile::from_textproto(&text.replacen(from, to, 1), "b", 2.0)
        .expect_err("an invalid file is accepted");
    assert_eq!((error.line, error.field.as_str()), (line, field), "{error}");
    assert_eq!(error.reason.to_string(), reason);
    assert_eq!(error.to_string(), format!("line {line}: {field}: {reason}"));
}

#[test]
fn a_member_that_is_not_a_peer_needs_a_listen_address() {
    let error = FleetFile::from_textproto(VALID_FILE, "x", 2.0)
        .expect_err("a file without a listen address is accepted");
    assert_eq!(
        error.to_string(),
        "line 1: listen: \"x\" is not among the peers, so it needs a listen address of its own"
    );
    assert!(FleetFile::from_textproto(&format!("{VALID_FILE}listen: \"127.0.0.1:7419\""), "x", 2.0).is_ok());
}

/// Guards against a new version of the program that reads different values from an unchanged file.
#[test]
fn the_deployed_file_has_these_values() {
    let text = include_str!("../../../deploy/fleet.textproto");
    let config = FleetFile::from_textproto(text, "b", 2.0).expect("the deployed file is rejected");
    let fleet = &config.fleet;
    assert_eq!((fleet.name.as_str(), fleet.voters.join(" ")), ("b", "a b c".to_string()));
    assert_eq!(
        (fleet.leader_lease_seconds, fleet.lease_seconds, fleet.floor_lease_seconds),
        (0.8, 2.0, 30.0)
    );
    assert_eq!((fleet.max_clock_drift, fleet.max_members), (0.01, 6));
    let budgets = fleet.budgets.iter().zip(&config.budget_kinds).map(|(budget, limits)| {
        let kind = match budget.kind {
            LimitKind::Rate { refill_seconds } => format!("every {refill_seconds} s"),
            LimitKind::Concurrency { hold_seconds } => format!("held {hold_seconds} s"),
        };
        let each = if limits.is_per_endpoint() { ", each host" } else { "" };
        format!("{}: {} of floor {}, {kind}{each}", budget.name, budget.total, budget.floor)
    });
    assert_eq!(
        budgets.collect::<Vec<_>>(),
        [
            "executions at each host: 48 of floor 2, held 3 s, each host",
            "second tries: 20 of floor 0, every 1 s",
            "probes: 60 of floor 0, every 1 s",
            "new connections: 100 of floor 5, every 1 s",
            "executions at each cold host: 30 of floor 0, every 1 s, each host",
        ]
    );
    let peers = config.peers.iter().map(|peer| format!("{} {}", peer.name, peer.address));
    assert_eq!(peers.collect::<Vec<_>>(), ["a 127.0.0.1:7411", "b 127.0.0.1:7412", "c 127.0.0.1:7413"]);
    let addresses = [Some(config.advertised_address), Some(config.listen_address), config.control_address];
    let expected = ["127.0.0.1:7412", "127.0.0.1:7412", "127.0.0.1:7422"];
    assert_eq!(addresses.map(|at| at.expect("not an address").to_string()), expected);
    assert_eq!((config.key_file.as_str(), config.audit_file.as_deref()), ("target/fleet.key", None));
}

/// Guards against ignoring the fields that may differ between the files of members.
#[test]
fn fields_of_a_single_member() {
    let own = "listen: \"0.0.0.0:7419\" audit_file: \"audit.jsonl\"\n";
    let text =
        VALID_FILE.replace("at: \"127.0.0.1:7412\"", "at: \"127.0.0.1:7412\" control: \"127.0.0.1:7422\"");
    let config =
        FleetFile::from_textproto(&format!("{own}{text}"), "b", 2.0).expect("a valid file is rejected");
    assert_eq!(
        (config.advertised_address.to_string(), config.listen_address.to_string()),
        ("127.0.0.1:7412".into(), "0.0.0.0:7419".into())
    );
    // The file's own field takes precedence over that of the peer entry.
    assert_eq!(config.control_address.map(|at| at.to_string()).as_deref(), Some("127.0.0.1:7421"));
    assert_eq!(config.audit_file.as_deref(), Some("audit.jsonl"));
}

/// Guards against applying a change by a reload that needs a restart. The texts are compared exactly.
#[rstest]
#[case::floor(
    "floor: 2",
    "floor: 1",
    Some("voter, leases, drift, members_at_most or a budget's floor, every_s or hold_s")
)]
#[case::peer("127.0.0.1:7413", "127.0.0.1:7414", Some("peer"))]
#[case::listen("key_file", "listen: \"127.0.0.1:7419\" key_file", Some("listen"))]
#[case::control("127.0.0.1:7421", "127.0.0.1:7423", Some("control"))]
#[case::key("fleet.key", "other.key", Some("key_file"))]
#[case::audit("key_file", "audit_file: \"a\" key_file", Some("audit_file"))]
#[case::whole("whole: 64", "whole: 32", None)]
fn changes_that_need_a_restart_are_named(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: Option<&str>,
) {
    let current = FleetFile::from_textproto(VALID_FILE, "b", 2.0).expect("a valid file is rejected");
    let next = FleetFile::from_textproto(&VALID_FILE.replacen(from, to, 1), "b", 2.0)
        .expect("a valid file is rejected");
    assert_eq!(current.restart_required(&next), expected);
}

/// The position of an error is the start of the field. For an absent field it is the start of the enclosing message, and
/// for a syntax error the position at which the parser stopped.
#[rstest]
#[case::first("voter: \"c\"", "voter: \"d\"", (7, 1))]
#[case::within_a_line("127.0.0.1:7413", "somewhere", (4, 18))]
#[case::indented("whole: 64", "whole: 0", (17, 3))]
#[case::absent_in_a_message("every_s: 1", "", (21, 1))]
#[case::absent("key_file: \"fleet.key\"", "", (1, 1))]
#[case::not_parsed("drift: 0.01", "drift: 0.01 drift: 0.02", (13, 20))]
fn errors_have_line_and_column(#[case] from: &str, #[case] to: &str, #[case] position: (usize, usize)) {
    let error = FleetFile::from_textproto(&VALID_FILE.replacen(from, to, 1), "b", 2.0)
        .expect_err("an invalid file is accepted");
    assert_eq!((error.line, error.column), position, "{error}");
}
