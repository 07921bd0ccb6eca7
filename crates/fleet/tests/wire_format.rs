//! Compares one datagram of each kind with its recorded bytes. Members of different releases exchange datagrams, so the
//! encoding must not change, even if types are renamed.

use ottersill_fleet::authenticator::Authenticator;
use ottersill_fleet::election::{Ballot, VoterReply};
use ottersill_fleet::envelope::{Message, NotLeader, QuotaReply, QuotaRequest};
use ottersill_fleet::quota_ledger::{BudgetKey, BudgetRequest, Grant, HeldQuota, Pools};
use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Process, name_hash};
use rstest::rstest;

const SECRET: &[u8] = b"a secret of sixteen bytes or more";
const INCARNATION: u64 = 1_764_672_000_123_456;

fn process(name: &str) -> Process {
    Process { name: name.to_string(), incarnation: INCARNATION }
}

fn ballot() -> Ballot {
    Ballot { round: 300, voter_index: 2, incarnation: INCARNATION }
}

fn budget_key() -> BudgetKey {
    BudgetKey { budget: name_hash("probes"), subject: name_hash("host-1") }
}

fn budget_request() -> BudgetRequest {
    let held = |units: u64| HeldQuota { units, serial: 1_000 };
    let held = Pools { demand: held(40), floor: held(1) };
    BudgetRequest { key: budget_key(), total: 400, demand: 60, in_use: 7, held }
}

fn grant() -> Grant {
    Grant { key: budget_key(), total: 400, units: Pools { demand: 52, floor: 1 }, serial: 1_001 }
}

fn request(leaving: bool, budgets: Vec<BudgetRequest>) -> Message {
    let shared_settings_hash = 0x0123_4567_89ab_cdef;
    Message::QuotaRequest(QuotaRequest {
        request_id: 77,
        newest_known_term: ballot(),
        shared_settings_hash,
        leaving,
        budgets,
    })
}

fn reply() -> Message {
    let (to, term, grants) = (INCARNATION, ballot(), vec![grant()]);
    Message::QuotaReply(QuotaReply { request_id: 77, to_incarnation: to, term, grants })
}

fn not_leader(leader: Option<&str>) -> Message {
    let leader = leader.map(str::to_string);
    Message::NotLeader(NotLeader { request_id: 77, to_incarnation: INCARNATION, leader })
}

fn voter_reply(reply: VoterReply) -> Message {
    Message::VoterReply { ballot: ballot(), reply }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against a renamed type or a different order of fields that changes the encoding.
#[rstest]
#[case::membership(Message::Membership(vec![1, 2, 3, 255]), "01926728c6f73909a8a59b66b061172495027231c0c4d9bddb9e9103027230010004010203ff")]
#[case::prepare(Message::Prepare { ballot: ballot(), shared_settings_hash: 9 }, "01bca5685aba6a14b036047b99bd9e8bd3027231c0c4d9bddb9e91030272300101ac0202c0c4d9bddb9e910309")]
#[case::accept(Message::Accept { ballot: ballot(), shared_settings_hash: 9 }, "010646d109c329394770b5e11a222e2525027231c0c4d9bddb9e91030272300102ac0202c0c4d9bddb9e910309")]
#[case::promised(voter_reply(VoterReply::Promised { held: true }), "015703ba5465c9c43c07c542245a09e5e9027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e91030001")]
#[case::preempted(
    voter_reply(VoterReply::Preempted(ballot())),
    "013e88c630c2f6955c07d483a8f9be4e15027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e910301ac0202c0c4d9bddb9e9103"
)]
#[case::granted(
    voter_reply(VoterReply::Granted),
    "0170ddd1b6cd1c253e3d770393b05ce80f027231c0c4d9bddb9e91030272300103ac0202c0c4d9bddb9e910302"
)]
#[case::request(request(false, vec![budget_request()]), "01ffe2f708e564db7f4aec8ff76cfe2dae027231c0c4d9bddb9e910302723001044dac0202c0c4d9bddb9e9103ef9bafcdf8acd19101000198fafa97aba9d5c41fdab2d396abbeae923290033c0728e80701e807")]
#[case::leaving(
    request(true, Vec::new()),
    "01c74183f2366354951ddd15a0b13bb009027231c0c4d9bddb9e910302723001044dac0202c0c4d9bddb9e9103ef9bafcdf8acd191010100"
)]
#[case::reply(
    reply(),
    "0175f18c93b1e41b7b9cdb4b54039447a3027231c0c4d9bddb9e910302723001054dc0c4d9bddb9e9103ac0202c0c4d9bddb9e91030198fafa97aba9d5c41fdab2d396abbeae923290033401e907"
)]
#[case::not_leader(
    not_leader(Some("r2")),
    "015b124e9cf362a0e6435a6c45c75a3c64027231c0c4d9bddb9e910302723001064dc0c4d9bddb9e910301027232"
)]
#[case::no_leader_known(
    not_leader(None),
    "012dbb0fcabeb6777da90860be7f3aedd2027231c0c4d9bddb9e910302723001064dc0c4d9bddb9e910300"
)]
fn each_kind_of_datagram_encodes_to_the_recorded_bytes(#[case] message: Message, #[case] expected: &str) {
    let datagram = Authenticator::new(SECRET, process("r1"))
        .seal("r0", message.clone())
        .expect("datagram cannot be sealed");
    assert_eq!(hexadecimal(&datagram), expected);
    let envelope = Authenticator::new(SECRET, process("r0")).open(&datagram).expect("datagram is rejected");
    assert_eq!((envelope.from, envelope.to.as_str(), envelope.message), (process("r1"), "r0", message));
}

/// Guards against members of two releases that compute different hashes of equal settings and therefore treat each
/// other as incompatible.
#[test]
fn the_shared_settings_hash_has_the_recorded_value() {
    let config = FleetConfig {
        name: "r1".to_string(),
        voters: ["r0", "r1", "r2"].map(String::from).to_vec(),
        leader_lease_seconds: 0.8,
        lease_seconds: 2.0,
        floor_lease_seconds: 6.0,
        max_clock_drift: 0.02,
        max_members: 10,
        budgets: vec![
            Budget::new("probes", LimitKind::Rate { refill_seconds: 1.0 }, 400, 1),
            Budget::new("executions", LimitKind::Concurrency { hold_seconds: 0.5 }, 40, 2),
        ],
    };
    assert_eq!(format!("{:016x}", config.shared_settings_hash()), "0354645b93dd3041");
}
