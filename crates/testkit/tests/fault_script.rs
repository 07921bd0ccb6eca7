//! Fault scripts: the fault that each line is parsed as, and the error for an invalid line.

use ottersill_testkit::cluster::fault_schedule::{Fault, ScriptError, Step, StepError, parse_script};
use ottersill_testkit::fault_proxy::LinkFaults;
use rstest::rstest;

const ROUTERS: usize = 4;

fn parse_single_fault(line: &str) -> Fault {
    let steps = parse_script(&format!("1.5 {line}"), ROUTERS).expect("script is rejected");
    let [Step { at: 1.5, fault }] = steps.as_slice() else {
        panic!("expected one step at 1.5 s, got {steps:?}")
    };
    fault.clone()
}

#[rstest]
#[case::start("start r2", Fault::Start(2))]
#[case::kill("kill r0", Fault::Kill(0))]
#[case::pause("stop r3", Fault::Pause(Some(3)))]
#[case::pause_leader("stop leader", Fault::Pause(None))]
#[case::pause_leader_by_former_name("stop keeper", Fault::Pause(None))]
#[case::resume("continue r1", Fault::Resume(1))]
#[case::terminate("term r1 # and wait", Fault::Terminate(1))]
#[case::reload("reload r1", Fault::Reload(1))]
#[case::partition("part r0,r1 r2", Fault::Partition(vec![vec![0, 1], vec![2]]))]
#[case::cut("cut r0 r2", Fault::Cut(0, 2))]
#[case::heal("heal", Fault::Heal)]
#[case::load("load 4,0,40", Fault::Load(vec![4, 0, 40]))]
fn each_step_is_parsed_as_its_fault(#[case] line: &str, #[case] fault: Fault) {
    assert_eq!(parse_single_fault(line), fault);
}

#[rstest]
#[case::current_name("links")]
#[case::former_name("weather")]
fn link_faults_are_parsed_under_both_names(#[case] word: &str) {
    let faults = LinkFaults { cut: false, loss: 0.1, duplication: 0.2, max_delay_seconds: 0.05, held: true };
    assert_eq!(
        parse_single_fault(&format!("{word} lost=0.1 twice=0.2 delay=0.05 held=1")),
        Fault::Links(faults)
    );
}

#[test]
fn steps_are_in_the_order_of_their_times() {
    let steps = parse_script("2 heal\n\n# nothing\n0.5 kill r1\n", ROUTERS).expect("script is rejected");
    assert_eq!(steps.iter().map(|step| step.at).collect::<Vec<_>>(), [0.5, 2.0]);
}

#[rstest]
#[case::no_time("heal", StepError::NoTime, "a step begins with its time in seconds")]
#[case::negative_time("-1 heal", StepError::NoTime, "a step begins with its time in seconds")]
#[case::unknown_router("1 kill r4", StepError::UnknownRouter("r4".into()), "no router is called \"r4\"")]
#[case::unknown_step("1 kill", StepError::UnknownStep("kill".into()), "unknown step \"kill\"")]
#[case::unknown_link_fault(
    "1 links rain=1",
    StepError::UnknownLinkFault("rain".into()),
    "no link fault is called \"rain\""
)]
#[case::out_of_range(
    "1 links lost=2",
    StepError::BadLinkFault("lost=2".into()),
    "\"lost=2\": expected a number from 0 to 1"
)]
fn an_invalid_line_is_reported_with_its_number(
    #[case] line: &str,
    #[case] source: StepError,
    #[case] reason: &str,
) {
    let error = parse_script(&format!("0 heal\n{line}"), ROUTERS).expect_err("the script is accepted");
    assert_eq!(error.to_string(), format!("line 2: {reason}"));
    assert_eq!(error, ScriptError { line: 2, source });
}

#[test]
fn an_invalid_number_of_clients_is_reported() {
    let error = parse_script("1 load 4,many", ROUTERS).expect_err("the script is accepted");
    assert_eq!(error.to_string(), "line 1: load: invalid digit found in string");
}
