//! Members of a fleet whose files or datagrams fail. The audit file is the only file that a router writes besides its
//! log: a full disk, or a kill in the middle of a line, loses lines, which are counted, and affects no decision.

mod support;

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use ottersill_testkit::audit;
use ottersill_testkit::cluster::{Cluster, ClusterPlan};
use support::faults::Faults;

/// Starts three routers, of which `r1` runs with these faults.
fn start_cluster(faults: &Faults) -> (Cluster, PathBuf) {
    let variables: String =
        faults.environment().iter().map(|(name, value)| format!("export {name}='{value}'; ")).collect();
    let program = faults.armed.with_extension("sh");
    let script = format!(
        "#!/bin/sh\ncase \"$NODE_CONFIG\" in */r1.json) {variables};; esac\nexec {} \"$@\"\n",
        env!("CARGO_BIN_EXE_ottersill")
    );
    std::fs::write(&program, script).expect("preparing the start script failed");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o700))
        .expect("preparing the start script failed");
    let plan = ClusterPlan { routers: 3, ..ClusterPlan::default() };
    let settings = include_str!("../../../example/router.json");
    let mut cluster = Cluster::new(plan, Path::new(&program), settings).expect("cluster was not set up");
    cluster.start_all().expect("routers did not start");
    assert!(
        cluster.wait_until(|cluster| (0..3).all(|index| cluster.is_ready(index))),
        "not all routers are ready"
    );
    (cluster, program)
}

fn unwritten_lines(cluster: &Cluster) -> u64 {
    cluster.query(1, "counters").first().and_then(|counts| counts["unwritten"].as_u64()).unwrap_or(0)
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Guards against an audit file that cannot be read after the disk was full: a line is cut, and the next one must not
/// be appended to it.
#[test]
fn full_disk_loses_audit_lines_only() {
    let faults = Faults::new("file:1:SHORT;file:2-20:ENOSPC;file:21-40:EIO".to_string());
    let (mut cluster, program) = start_cluster(&faults);
    cluster.start_load(6, 8);
    sleep(3.5);
    faults.arm();
    assert!(cluster.wait_until(|_| faults.occurred().len() >= 40), "{:?}", faults.occurred().len());
    faults.disarm();
    let before = cluster.answers()[1];
    sleep(1.0);
    assert!(cluster.answers()[1].completed > before.completed, "{before:?}");
    assert_eq!(unwritten_lines(&cluster), 39);
    let answers = cluster.stop_load();
    assert!(
        answers.iter().all(|answered| answered.malformed == 0 && answered.connections_broken == 0),
        "{answers:?}"
    );
    // What happened meanwhile is not in the audit file; the endpoints show that the limit was kept.
    assert!((0..cluster.store.endpoint_count()).all(|endpoint| cluster.store.peak_concurrency(endpoint)
        as u64
        <= cluster.plan.attempts_per_endpoint));
    let records = cluster.audit_records().expect("audit files cannot be read");
    assert_eq!(records.torn, 1);
    let _ = std::fs::remove_file(program);
}

/// The next process appends to the same file. Guards against its first line being written behind the torn one.
#[test]
fn kill_within_an_audit_line_loses_that_line_only() {
    let faults = Faults::new("file:30:KILL".to_string());
    let (mut cluster, program) = start_cluster(&faults);
    cluster.start_load(6, 8);
    sleep(3.0);
    faults.arm();
    assert!(cluster.wait_until(|_| !faults.occurred().is_empty()));
    faults.disarm();
    cluster.kill(1);
    cluster.start(1).expect("router did not start");
    assert!(cluster.wait_until(|cluster| cluster.is_ready(1)));
    sleep(4.5);
    cluster.stop_load();
    let verdict = cluster.audit().expect("audit files cannot be read");
    assert_eq!(verdict.torn, 1);
    assert!(verdict.violations.is_empty(), "{:?}", &verdict.violations[..verdict.violations.len().min(5)]);
    let _ = std::fs::remove_file(program);
}

/// Every other datagram fails at one of three members, in the ways that Linux documents: lost requests are repeated,
/// and no more units are acquired than there are.
#[test]
fn member_recovers_from_failing_datagrams() {
    let reads = "recvdatagram:1-/5:ENOMEM;recvdatagram:2-/5:EHOSTUNREACH;recvdatagram:3-/5:EINTR";
    let writes = "sendto:1-/8:EPERM;sendto:2-/8:ENOBUFS;sendto:3-/8:EINTR;sendto:4-/8:ENETUNREACH";
    let faults = Faults::new(format!("{reads};{writes}"));
    let (mut cluster, program) = start_cluster(&faults);
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
    let verdict = cluster.audit().expect("audit files cannot be read");
    assert!(verdict.violations.is_empty(), "{:?}", &verdict.violations[..verdict.violations.len().min(5)]);
    let _ = std::fs::remove_file(program);
}

/// Lines that end too early are skipped and counted; any other line that is no entry is an error.
#[test]
fn audit_reader_distinguishes_torn_from_invalid_lines() {
    let complete =
        "{\"at\":1.5,\"process\":\"r\",\"incarnation\":1,\"what\":\"take\",\"budget\":\"b\",\"subject\":0}";
    let cut = &complete[..40];
    let records = audit::parse_audit_file(&format!("{complete}\n{cut}\n{complete}\n{cut}"))
        .expect("audit lines do not parse");
    assert_eq!((records.entries.len(), records.torn), (2, 2));
    assert!(audit::parse_audit_file(&format!("{cut}{complete}\n")).is_err());
    assert!(audit::parse_audit_file("no entry\n").is_err());
}
