//! Fleet files that are rejected, each with its line, its field and the reason.

use ottersill_config::fleet::FleetFile;
use ottersill_fleet::settings::LimitKind;
use rstest::rstest;

const GOOD: &str = r#"# Three routers.
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
    let config = FleetFile::from_textproto(GOOD, "b", 2.0).expect("a valid file");
    assert_eq!(config.listen, "127.0.0.1:7412".parse().expect("an address"));
    assert_eq!(config.fleet.voters, ["a", "b", "c"]);
    assert_eq!((config.fleet.budgets[0].total, config.fleet.budgets[0].floor), (64, 2));
    let shrunk =
        FleetFile::from_textproto(&GOOD.replace("whole: 64", "whole: 32"), "b", 2.0).expect("a valid file");
    assert_eq!(config.restart_required(&shrunk), None);
    let other =
        FleetFile::from_textproto(&GOOD.replace("lease_s: 2", "lease_s: 3"), "b", 2.0).expect("a valid file");
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
#[case::no_number("lease_s: 2", "lease_s: soon", 11, "lease_s", "expected a number, but found 'soon'")]
#[case::broken(
    "members_at_most: 8",
    "members_at_most: 8 }",
    14,
    "members_at_most",
    "expected a field name, but found '}'"
)]
#[case::no_such_budget(
    "of: PROBES",
    "of: HOPES",
    21,
    "budget[1].of",
    "value 'HOPES' was not found for enum 'ottersill.fleet.Of'"
)]
#[case::set_twice("drift: 0.01", "drift: 0.01 drift: 0.02", 13, "drift[1]", "'drift' is already set")]
#[case::no_address(
    "127.0.0.1:7413",
    "somewhere",
    4,
    "peer[2].at",
    "expected an address with its port, found \"somewhere\""
)]
#[case::two_of_a_name("name: \"c\"", "name: \"b\"", 4, "peer[2].name", "another member has this name")]
#[case::stray_voter(
    "voter: \"c\"",
    "voter: \"d\"",
    7,
    "voter[2]",
    "no peer has this name, and each must know where voters are"
)]
#[case::voter_twice("voter: \"c\"", "voter: \"b\"", 7, "voter[2]", "named twice: it would vote twice")]
#[case::even_voters(
    "voter: \"c\"\n",
    "\n",
    5,
    "voter",
    "expected an odd number: one more brings no further failure that is survived"
)]
#[case::open_control(
    "127.0.0.1:7421",
    "192.0.2.1:7421",
    8,
    "control",
    "expected a loopback address: nobody signs in there"
)]
#[case::open_control_of_a_peer(
    "127.0.0.1:7412\"",
    "127.0.0.1:7412\" control: \"192.0.2.1:1\"",
    3,
    "peer[1].control",
    "expected a loopback address: nobody signs in there"
)]
#[case::no_key("key_file: \"fleet.key\"", "", 1, "key_file", "members have to prove who they are")]
#[case::short_lease(
    "lease_s: 2",
    "lease_s: 1",
    11,
    "lease_s",
    "expected half as much again as keeper_lease_s: else all parts run out before the next keeper is found"
)]
#[case::no_lease("lease_s: 2", "", 1, "lease_s", "expected 0.2 to 60 seconds, found 0")]
#[case::floors_before_parts(
    "floor_lease_s: 30",
    "floor_lease_s: 1",
    12,
    "floor_lease_s",
    "expected 2 to 3600 seconds, found 1"
)]
#[case::perfect_clocks("drift: 0.01", "drift: 0", 13, "drift", "expected 0.001 to 0.2, found 0")]
#[case::too_few(
    "members_at_most: 8",
    "members_at_most: 2",
    14,
    "members_at_most",
    "there are more peers than that"
)]
#[case::nothing(
    "whole: 64",
    "whole: 0",
    17,
    "budget[0].whole",
    "expected one unit at least: nothing could be spent"
)]
#[case::floors_beyond(
    "floor: 2",
    "floor: 9",
    18,
    "budget[0].floor",
    "9 for each of 8 routers is more than the whole, 64"
)]
#[case::outlived(
    "hold_s: 3",
    "hold_s: 1",
    19,
    "budget[0].hold_s",
    "expected 2 seconds at least, the longest statement timeout: an execution may outlive its router for so long"
)]
#[case::no_rate("every_s: 1", "", 21, "budget[1].every_s", "expected 0.01 to 60 seconds, found 0")]
#[case::a_rate_in_hand("every_s: 1", "every_s: 1 hold_s: 3", 21, "budget[1].hold_s", "this budget is a rate")]
#[case::twice(
    "of: PROBES whole: 100 every_s: 1",
    "of: EXECUTIONS_AT_EACH_HOST whole: 1 hold_s: 3",
    21,
    "budget[1].of",
    "an earlier budget is for this"
)]
#[case::aimless("of: PROBES ", "", 21, "budget[1].of", "what is it for?")]
#[case::no_name("name: \"c\"", "name: \"\"", 4, "peer[2].name", "a member needs a name")]
#[case::no_voters(
    "voter: \"a\"\nvoter: \"b\"\nvoter: \"c\"",
    "",
    1,
    "voter",
    "expected one voter at least, and 15 at most"
)]
#[case::no_place_to_listen(
    "key_file",
    "listen: \"here\" key_file",
    9,
    "listen",
    "expected an address with its port, found \"here\""
)]
#[case::no_place_of_control(
    "127.0.0.1:7421",
    "7421",
    8,
    "control",
    "expected an address with its port, found \"7421\""
)]
#[case::no_place_of_a_peer_s_control(
    "127.0.0.1:7413\"",
    "127.0.0.1:7413\" control: \"7\"",
    4,
    "peer[2].control",
    "expected an address with its port, found \"7\""
)]
#[case::long_keeper(
    "keeper_lease_s: 0.8",
    "keeper_lease_s: 61",
    10,
    "keeper_lease_s",
    "expected 0.2 to 60 seconds, found 61"
)]
#[case::no_members("members_at_most: 8", "", 1, "members_at_most", "expected 1 to 10000")]
#[case::in_hand_by_rate(
    "hold_s: 3",
    "hold_s: 3 every_s: 1",
    19,
    "budget[0].every_s",
    "this budget is no rate"
)]
fn an_invalid_file_is_rejected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] field: &str,
    #[case] reason: &str,
) {
    assert!(GOOD.contains(from));
    let text = if field.starts_with("peer[1].control") {
        GOOD.replace("control: \"127.0.0.1:7421\"", "")
    } else {
        GOOD.to_string()
    };
    let error =
        FleetFile::from_textproto(&text.replacen(from, to, 1), "b", 2.0).expect_err("an invalid file");
    assert_eq!((error.line, error.field.as_str()), (line, field), "{error}");
    assert_eq!(error.reason.to_string(), reason);
    assert_eq!(error.to_string(), format!("line {line}: {field}: {reason}"));
}

#[test]
fn a_member_that_is_no_peer_needs_a_listen_address() {
    let error = FleetFile::from_textproto(GOOD, "x", 2.0).expect_err("a stranger");
    assert_eq!(error.to_string(), "line 1: listen: \"x\" is no peer, so it needs its own address");
    assert!(FleetFile::from_textproto(&format!("{GOOD}listen: \"127.0.0.1:7419\""), "x", 2.0).is_ok());
}

/// Guards against a new version that reads other values from the same file.
#[test]
fn the_deployed_file_has_these_values() {
    let text = include_str!("../../../deploy/fleet.textproto");
    let config = FleetFile::from_textproto(text, "b", 2.0).expect("the deployed file");
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
    let addresses = [Some(config.at), Some(config.listen), config.control];
    let expected = ["127.0.0.1:7412", "127.0.0.1:7412", "127.0.0.1:7422"];
    assert_eq!(addresses.map(|at| at.expect("an address").to_string()), expected);
    assert_eq!((config.key_file.as_str(), config.audit_file.as_deref()), ("target/fleet.key", None));
}

/// Fields that differ between the files of members.
#[test]
fn fields_of_a_single_member() {
    let own = "listen: \"0.0.0.0:7419\" audit_file: \"audit.jsonl\"\n";
    let text = GOOD.replace("at: \"127.0.0.1:7412\"", "at: \"127.0.0.1:7412\" control: \"127.0.0.1:7422\"");
    let config = FleetFile::from_textproto(&format!("{own}{text}"), "b", 2.0).expect("a valid file");
    assert_eq!(
        (config.at.to_string(), config.listen.to_string()),
        ("127.0.0.1:7412".into(), "0.0.0.0:7419".into())
    );
    // The field of the file goes before that of the peer.
    assert_eq!(config.control.map(|at| at.to_string()).as_deref(), Some("127.0.0.1:7421"));
    assert_eq!(config.audit_file.as_deref(), Some("audit.jsonl"));
}

/// The exact texts for changes that a reload can't take over.
#[rstest]
#[case::a_floor(
    "floor: 2",
    "floor: 1",
    Some("voter, leases, drift, members_at_most or a budget's floor, every_s or hold_s")
)]
#[case::a_peer("127.0.0.1:7413", "127.0.0.1:7414", Some("peer"))]
#[case::listen("key_file", "listen: \"127.0.0.1:7419\" key_file", Some("listen"))]
#[case::control("127.0.0.1:7421", "127.0.0.1:7423", Some("control"))]
#[case::key("fleet.key", "other.key", Some("key_file"))]
#[case::audit("key_file", "audit_file: \"a\" key_file", Some("audit_file"))]
#[case::a_whole("whole: 64", "whole: 32", None)]
fn changes_that_need_a_restart_are_named(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: Option<&str>,
) {
    let now = FleetFile::from_textproto(GOOD, "b", 2.0).expect("a valid file");
    let next = FleetFile::from_textproto(&GOOD.replacen(from, to, 1), "b", 2.0).expect("a valid file");
    assert_eq!(now.restart_required(&next), expected);
}

/// The place of an error is where the field begins, of an absent one where the message around it does, and where the
/// parser stopped if it did.
#[rstest]
#[case::first("voter: \"c\"", "voter: \"d\"", (7, 1))]
#[case::within_a_line("127.0.0.1:7413", "somewhere", (4, 18))]
#[case::indented("whole: 64", "whole: 0", (17, 3))]
#[case::absent_in_a_message("every_s: 1", "", (21, 1))]
#[case::absent("key_file: \"fleet.key\"", "", (1, 1))]
#[case::not_parsed("drift: 0.01", "drift: 0.01 drift: 0.02", (13, 20))]
fn errors_have_line_and_column(#[case] from: &str, #[case] to: &str, #[case] place: (usize, usize)) {
    let error =
        FleetFile::from_textproto(&GOOD.replacen(from, to, 1), "b", 2.0).expect_err("an invalid file");
    assert_eq!((error.line, error.column), place, "{error}");
}
