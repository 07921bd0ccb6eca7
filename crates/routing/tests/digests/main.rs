//! Guards against unintended changes of behaviour: for the same seed and the same events the router has to take the same
//! actions as before. Each scenario drives one `Router` through its public API with thousands of seeded events, records
//! every event and every action in a transcript, and compares the FNV-1a hash of the transcript with a recorded digest.
//!
//! After an intended change of behaviour, the message of the failed assertion contains the new digest, and the commit
//! states why it changed. `KEEP_TRANSCRIPTS=1` writes each transcript to the `tmp` directory of the target, so that the
//! transcripts of two versions can be compared line by line.

mod scenarios;
#[path = "../common/settings.rs"]
mod settings;
mod simulation;
mod transcript;

use rstest::rstest;

use scenarios::*;
use simulation::{Scenario, Simulation};

#[rstest]
#[case::bounded_reads(bounded_reads, 0xA7A7_C65D_03F3_5FF7)]
#[case::checked_reads(checked_reads, 0x30CC_5F7B_4F9F_AD11)]
#[case::remembered_sessions(remembered_sessions, 0xFA4E_5CB5_7283_0F19)]
#[case::told_sessions(told_sessions, 0x782B_8F3D_FCE8_EEC6)]
#[case::fresh_reads(fresh_reads, 0x190A_8330_C02E_5327)]
#[case::writes_of_each_effect(writes_of_each_effect, 0x2323_6225_B638_2DD6)]
#[case::no_health_checks(no_health_checks, 0x065B_0EDE_BFDA_3854)]
#[case::hung_endpoints(hung_endpoints, 0x4332_41A7_F8E2_DE2C)]
#[case::no_cancelling(no_cancelling, 0xC484_17A8_6ACB_6A28)]
#[case::tenants(tenants, 0xE74A_8B83_22CB_2EBB)]
#[case::sites_and_sizes(sites_and_sizes, 0x1394_ABA2_5F24_BA20)]
#[case::warming_endpoints(warming_endpoints, 0xCFAC_94AE_D7C3_64E5)]
#[case::fleet_quotas(fleet_quotas, 0xA43A_AD66_246A_EECB)]
#[case::replaced_endpoints(replaced_endpoints, 0xEE3C_935C_2878_3731)]
#[case::only_draining_bars(only_draining_bars, 0x3FCD_F812_10AA_BFFF)]
#[case::hundreds_of_routers(hundreds_of_routers, 0x84EE_ABE9_BB5E_52EC)]
#[case::hundreds_of_checking_routers(hundreds_of_checking_routers, 0xB460_D35F_A479_EA6E)]
#[case::overload(overload, 0x1A07_D848_300B_D48A)]
#[case::lagging_replicas(lagging_replicas, 0x6305_870B_139B_6A2D)]
#[case::stalling_router(stalling_router, 0x3125_E36A_2E90_29A5)]
#[case::known_work_and_hidden_writes(known_work_and_hidden_writes, 0xB3E4_CDCB_956B_35BC)]
#[case::repeats_and_late_answers(repeats_and_late_answers, 0x673B_E268_231F_5156)]
#[case::scarce_retries(scarce_retries, 0x1F92_F9B9_A8B5_3C0E)]
#[case::reads_that_may_be_long(reads_that_may_be_long, 0x76B7_36D5_E2F3_B9BC)]
#[case::slow_answers_at_many_routers(slow_answers_at_many_routers, 0x43C9_D752_C04F_43C6)]
#[case::reads_near_their_bound(reads_near_their_bound, 0x1DDB_F02B_387D_C522)]
#[case::warming_in_many_groups(warming_in_many_groups, 0xF773_B538_1AC5_01DD)]
#[case::frequent_stalls(frequent_stalls, 0xC2AE_D78C_895D_9F11)]
fn same_events_same_actions(#[case] scenario: fn() -> Scenario, #[case] expected: u64) {
    let recorder = Simulation::new(scenario()).run();
    let name = std::thread::current().name().unwrap_or("scenario").replace("::", "-");
    if std::env::var_os("KEEP_TRANSCRIPTS").is_some() {
        let path = format!("{}/{name}.txt", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, &recorder.transcript).expect("failed to write the transcript");
    }
    let (digest, lines) = (recorder.digest(), recorder.transcript.lines().count());
    assert!(lines > 5000, "{name} has only {lines} lines");
    assert_eq!(digest, expected, "{name}: digest 0x{digest:016X} over {lines} lines");
}
