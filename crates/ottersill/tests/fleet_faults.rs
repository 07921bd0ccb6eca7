//! Members of a fleet whose files or datagrams fail. The audit file is all that a router writes beside its log: a disk that takes
//! nothing for a while, or a kill in the middle of a line, costs lines that are counted, and no decision.

mod support;

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use ottersill_testkit::audit;
use ottersill_testkit::cluster::{Cluster, ClusterPlan};
use support::faults::Faults;

/// Three routers, of which `r1` runs with these faults.
fn rig_with(faults: &Faults) -> (Cluster, PathBuf) {
    let variables: String =
        faults.environment().iter().map(|(name, value)| format!("export {name}='{value}'; ")).collect();
    let program = faults.armed.with_extension("sh");
    let run = format!(
        "#!/bin/sh\ncase \"$NODE_CONFIG\" in */r1.json) {variables};; esac\nexec {} \"$@\"\n",
        env!("CARGO_BIN_EXE_ottersill")
    );
    std::fs::write(&program, run).expect("a program");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o700)).expect("a program");
    let plan = ClusterPlan { routers: 3, ..ClusterPlan::default() };
    let charter = include_str!("../../../example/router.json");
    let mut cluster = Cluster::new(plan, Path::new(&program), charter).expect("a cluster");
    cluster.start_all().expect("routers");
    assert!(cluster.wait_until(|cluster| (0..3).all(|index| cluster.is_ready(index))), "all ready");
    (cluster, program)
}

fn unwritten(cluster: &Cluster) -> u64 {
    cluster.query(1, "counters").first().and_then(|counts| counts["unwritten"].as_u64()).unwrap_or(0)
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// The reader used to give up at a line that a full disk had cut, as the next one was written behind it.
#[test]
fn a_full_disk_costs_lines_of_the_audit_and_no_decision() {
    let faults = Faults::new("file:1:SHORT;file:2-20:ENOSPC;file:21-40:EIO".to_string());
    let (mut cluster, program) = rig_with(&faults);
    cluster.start_load(6, 8);
    sleep(3.5);
    faults.arm();
    assert!(cluster.wait_until(|_| faults.occurred().len() >= 40), "{:?}", faults.occurred().len());
    faults.disarm();
    let before = cluster.answers()[1];
    sleep(1.0);
    assert!(cluster.answers()[1].completed > before.completed, "{before:?}");
    assert_eq!(unwritten(&cluster), 39);
    let answers = cluster.stop_load();
    assert!(
        answers.iter().all(|answered| answered.malformed == 0 && answered.connections_broken == 0),
        "{answers:?}"
    );
    // What was done meanwhile is in no line; that no more was done than may be is seen at the hosts.
    assert!(
        (0..cluster.store.endpoint_count())
            .all(|host| cluster.store.peak_concurrency(host) as u64 <= cluster.plan.attempts_per_endpoint)
    );
    let records = cluster.audit_records().expect("audit files");
    assert_eq!(records.torn, 1);
    let _ = std::fs::remove_file(program);
}

/// The process that follows goes on in the same file: its first line used to be written behind the torn one.
#[test]
fn a_kill_within_a_line_costs_that_line() {
    let faults = Faults::new("file:30:KILL".to_string());
    let (mut cluster, program) = rig_with(&faults);
    cluster.start_load(6, 8);
    sleep(3.0);
    faults.arm();
    assert!(cluster.wait_until(|_| !faults.occurred().is_empty()));
    faults.disarm();
    cluster.kill(1);
    cluster.start(1).expect("a router");
    assert!(cluster.wait_until(|cluster| cluster.is_ready(1)));
    sleep(4.5);
    cluster.stop_load();
    let verdict = cluster.audit().expect("audit files");
    assert_eq!(verdict.torn, 1);
    assert!(verdict.violations.is_empty(), "{:?}", &verdict.violations[..verdict.violations.len().min(5)]);
    let _ = std::fs::remove_file(program);
}

/// Every other datagram fails at one of three members, in the ways that Linux documents: what is lost is asked for again, and no
/// more is spent than there is. Right already.
#[test]
fn datagrams_that_fail_cost_a_member_nothing_for_good() {
    let reads = "recvdatagram:1-/5:ENOMEM;recvdatagram:2-/5:EHOSTUNREACH;recvdatagram:3-/5:EINTR";
    let writes = "sendto:1-/8:EPERM;sendto:2-/8:ENOBUFS;sendto:3-/8:EINTR;sendto:4-/8:ENETUNREACH";
    let faults = Faults::new(format!("{reads};{writes}"));
    let (mut cluster, program) = rig_with(&faults);
    cluster.start_load(6, 8);
    sleep(3.5);
    faults.arm();
    sleep(4.0);
    assert!(cluster.held_units(1, "executions at each host") > 0);
    let before = cluster.answers()[1];
    sleep(1.0);
    assert!(cluster.answers()[1].completed > before.completed, "{before:?}");
    assert!(faults.disarm().len() > 50);
    let answers = cluster.stop_load();
    assert!(
        answers.iter().all(|answered| answered.malformed == 0 && answered.connections_broken == 0),
        "{answers:?}"
    );
    let verdict = cluster.audit().expect("audit files");
    assert!(verdict.violations.is_empty(), "{:?}", &verdict.violations[..verdict.violations.len().min(5)]);
    let _ = std::fs::remove_file(program);
}

/// Lines that end too early are passed over and counted; anything else that is no entry is an error as before.
#[test]
fn the_reader_tells_torn_lines_from_nonsense() {
    let whole =
        "{\"at\":1.5,\"process\":\"r\",\"incarnation\":1,\"what\":\"take\",\"budget\":\"b\",\"subject\":0}";
    let cut = &whole[..40];
    let records = audit::parse_audit_file(&format!("{whole}\n{cut}\n{whole}\n{cut}")).expect("records");
    assert_eq!((records.entries.len(), records.torn), (2, 2));
    assert!(audit::parse_audit_file(&format!("{cut}{whole}\n")).is_err());
    assert!(audit::parse_audit_file("no entry\n").is_err());
}
