//! Files that are refused, each with its line, its field and the reason.

use ottersill_bylaws::fleet::read;
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
fn a_good_file_is_taken() {
    let bylaws = read(GOOD, "b", 2.0).expect("a good file");
    assert_eq!(bylaws.listen, "127.0.0.1:7412".parse().expect("an address"));
    assert_eq!(bylaws.charter.voters, ["a", "b", "c"]);
    assert_eq!((bylaws.charter.budgets[0].total, bylaws.charter.budgets[0].floor), (64, 2));
    let shrunk = read(&GOOD.replace("whole: 64", "whole: 32"), "b", 2.0).expect("a good file");
    assert_eq!(bylaws.differs(&shrunk), None);
    let other = read(&GOOD.replace("lease_s: 2", "lease_s: 3"), "b", 2.0).expect("a good file");
    assert!(bylaws.differs(&other).is_some_and(|field| field.contains("leases")));
}

#[rstest]
#[case::no_such_field("drift: 0.01", "drifting: 0.01", 13, "drifting", "not found")]
#[case::no_number("lease_s: 2", "lease_s: soon", 11, "lease_s", "expected")]
#[case::broken("members_at_most: 8", "members_at_most: 8 }", 14, "members_at_most", "expected")]
#[case::no_such_budget("of: PROBES", "of: HOPES", 21, "budget[1].of", "HOPES")]
#[case::set_twice("drift: 0.01", "drift: 0.01 drift: 0.02", 13, "drift[1]", "already set")]
#[case::no_address("127.0.0.1:7413", "somewhere", 4, "peer[2].at", "expected an address")]
#[case::two_of_a_name("name: \"c\"", "name: \"b\"", 4, "peer[2].name", "another member")]
#[case::stray_voter("voter: \"c\"", "voter: \"d\"", 7, "voter[2]", "no peer")]
#[case::voter_twice("voter: \"c\"", "voter: \"b\"", 7, "voter[2]", "twice")]
#[case::even_voters("voter: \"c\"\n", "\n", 5, "voter", "odd")]
#[case::open_control("127.0.0.1:7421", "192.0.2.1:7421", 8, "control", "loopback")]
#[case::open_control_of_a_peer(
    "127.0.0.1:7412\"",
    "127.0.0.1:7412\" control: \"192.0.2.1:1\"",
    3,
    "peer[1].control",
    "loopback"
)]
#[case::no_key("key_file: \"fleet.key\"", "", 1, "key_file", "prove")]
#[case::short_lease("lease_s: 2", "lease_s: 1", 11, "lease_s", "half as much again")]
#[case::no_lease("lease_s: 2", "", 1, "lease_s", "0.2 to 60")]
#[case::floors_before_parts(
    "floor_lease_s: 30",
    "floor_lease_s: 1",
    12,
    "floor_lease_s",
    "expected 2 to 3600"
)]
#[case::perfect_clocks("drift: 0.01", "drift: 0", 13, "drift", "found 0")]
#[case::too_few("members_at_most: 8", "members_at_most: 2", 14, "members_at_most", "more peers")]
#[case::nothing("whole: 64", "whole: 0", 17, "budget[0].whole", "one unit")]
#[case::floors_beyond("floor: 2", "floor: 9", 18, "budget[0].floor", "9 for each of 8 routers")]
#[case::outlived("hold_s: 3", "hold_s: 1", 19, "budget[0].hold_s", "longest statement timeout")]
#[case::no_rate("every_s: 1", "", 21, "budget[1].every_s", "0.01 to 60")]
#[case::a_rate_in_hand("every_s: 1", "every_s: 1 hold_s: 3", 21, "budget[1].hold_s", "is a rate")]
#[case::twice(
    "of: PROBES whole: 100 every_s: 1",
    "of: EXECUTIONS_AT_EACH_HOST whole: 1 hold_s: 3",
    21,
    "budget[1].of",
    "earlier"
)]
#[case::aimless("of: PROBES ", "", 21, "budget[1].of", "what is it for")]
fn a_bad_file_is_refused(
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
    let fault = read(&text.replacen(from, to, 1), "b", 2.0).expect_err("a bad file");
    assert_eq!((fault.line, fault.field.as_str()), (line, field), "{fault}");
    assert!(fault.reason.contains(reason), "{fault}");
}

#[test]
fn one_that_is_no_peer_needs_an_address() {
    let fault = read(GOOD, "x", 2.0).expect_err("a stranger");
    assert_eq!((fault.line, fault.field.as_str()), (1, "listen"));
    assert!(read(&format!("{GOOD}listen: \"127.0.0.1:7419\""), "x", 2.0).is_ok());
}
