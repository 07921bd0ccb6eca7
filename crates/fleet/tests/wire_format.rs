//! The bytes of one datagram of each kind. Members of different releases talk to each other, so these stay as they are,
//! whatever the types are called.

use ottersill_fleet::books::{Entry, Grant, Held};
use ottersill_fleet::seal::{Body, Seal};
use ottersill_fleet::terms::{Budget, Charter, Kind, Process, label};
use ottersill_fleet::vote::{Answer, Ballot};
use rstest::rstest;

const SECRET: &[u8] = b"a secret of sixteen bytes or more";
const INCARNATION: u64 = 1_764_672_000_123_456;

fn process(name: &str) -> Process {
    Process { name: name.to_string(), incarnation: INCARNATION }
}

fn ballot() -> Ballot {
    Ballot { round: 300, seat: 2, incarnation: INCARNATION }
}

fn entry() -> Entry {
    let held = [Held { amount: 40, serial: 1_000 }, Held { amount: 1, serial: 1_000 }];
    Entry { budget: label("probes"), subject: label("host-1"), whole: 400, demand: 60, used: 7, held }
}

fn grant() -> Grant {
    let (budget, subject) = (label("probes"), label("host-1"));
    Grant { budget, subject, whole: 400, amounts: [52, 1], serial: 1_001 }
}

fn request(leaving: bool, entries: Vec<Entry>) -> Body {
    Body::Request { nonce: 77, seen: ballot(), electorate: 0x0123_4567_89ab_cdef, leaving, entries }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against: a change of names or of the order of fields that changes what goes over the wire.
#[rstest]
#[case::swim(Body::Swim(vec![1, 2, 3, 255]), "01926728c6f73909a8a59b66b061172495027231c0c4d9bddb9e9103027230010004010203ff")]
#[case::ask(Body::Ask { ballot: ballot(), electorate: 9 }, "01bca5685aba6a14b036047b99bd9e8bd3027231c0c4d9bddb9e91030272300101ac0202c0c4d9bddb9e910309")]
#[case::claim(Body::Claim { ballot: ballot(), electorate: 9 }, "010646d109c329394770b5e11a222e2525027231c0c4d9bddb9e91030272300102ac0202c0c4d9bddb9e910309")]
#[case::promised(Body::Vote { ballot: ballot(), answer: Answer::Promised { held: true } }, "015703ba5465c9c43c07c542245a09e5e9027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e91030001")]
#[case::outbid(Body::Vote { ballot: ballot(), answer: Answer::Outbid(ballot()) }, "013e88c630c2f6955c07d483a8f9be4e15027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e910301ac0202c0c4d9bddb9e9103")]
#[case::granted(Body::Vote { ballot: ballot(), answer: Answer::Granted }, "0170ddd1b6cd1c253e3d770393b05ce80f027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e910302")]
#[case::request(request(false, vec![entry()]), "01ffe2f708e564db7f4aec8ff76cfe2dae027231c0c4d9bddb9e910302723001044dac0202c0c4d9bddb9e9103ef9bafcdf8acd19101000198fafa97aba9d5c41fdab2d396abbeae923290033c0728e80701e807")]
#[case::leaving(
    request(true, Vec::new()),
    "01c74183f2366354951ddd15a0b13bb009027231c0c4d9bddb9e910302723001044dac0202c0c4d9bddb9e9103ef9bafcdf8acd191010100"
)]
#[case::reply(Body::Reply { nonce: 77, to: INCARNATION, epoch: ballot(), grants: vec![grant()] }, "0175f18c93b1e41b7b9cdb4b54039447a3027231c0c4d9bddb9e910302723001054dc0c4d9bddb9e9103ac0202c0c4d9bddb9e91030198fafa97aba9d5c41fdab2d396abbeae923290033401e907")]
#[case::elsewhere(Body::Elsewhere { nonce: 77, to: INCARNATION, keeper: Some("r2".to_string()) }, "015b124e9cf362a0e6435a6c45c75a3c64027231c0c4d9bddb9e910302723001064dc0c4d9bddb9e910301027232")]
#[case::nowhere(Body::Elsewhere { nonce: 77, to: INCARNATION, keeper: None }, "012dbb0fcabeb6777da90860be7f3aedd2027231c0c4d9bddb9e910302723001064dc0c4d9bddb9e910300")]
fn a_datagram_has_these_bytes(#[case] body: Body, #[case] expected: &str) {
    let datagram = Seal::new(SECRET, process("r1")).close("r0", body.clone()).expect("a datagram");
    assert_eq!(hexadecimal(&datagram), expected);
    let letter = Seal::new(SECRET, process("r0")).open(&datagram).expect("it is read again");
    assert_eq!((letter.from, letter.to.as_str(), letter.body), (process("r1"), "r0", body));
}

/// Guards against: members of two releases that hold each other's equal files for different.
#[test]
fn what_has_to_be_alike_at_all_members_has_this_label() {
    let charter = Charter {
        name: "r1".to_string(),
        voters: ["r0", "r1", "r2"].map(String::from).to_vec(),
        keeper_lease: 0.8,
        lease: 2.0,
        floor_lease: 6.0,
        drift: 0.02,
        members_at_most: 10,
        budgets: vec![
            Budget::named("probes", Kind::Rate { every: 1.0 }, 400, 1),
            Budget::named("executions", Kind::InHand { hold: 0.5 }, 40, 2),
        ],
    };
    assert_eq!(format!("{:016x}", charter.electorate()), "0354645b93dd3041");
}
