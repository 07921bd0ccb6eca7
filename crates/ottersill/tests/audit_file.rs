//! The format of the lines that a router writes to its audit file: later releases have to read the files of earlier ones.

use std::path::Path;

use ottersill_testkit::audit;
use ottersill_testkit::cluster::{Cluster, ClusterPlan};

/// Returns the line with each number replaced by 0.
fn without_numbers(line: &str) -> String {
    let mut text = String::new();
    let mut in_number = false;
    let mut previous = ' ';
    for character in line.chars() {
        let continues = in_number && (character.is_ascii_digit() || ".e-".contains(character));
        // Digits within a name are not a number.
        let starts = character.is_ascii_digit() && !previous.is_ascii_alphabetic() && !in_number;
        if starts {
            text.push('0');
        }
        in_number = continues || starts;
        if !in_number {
            text.push(character);
        }
        previous = character;
    }
    text
}

/// Guards against renamed types or fields that change the stored format.
#[test]
fn each_kind_of_line_keeps_its_format() {
    let settings = include_str!("../../../example/router.json");
    let plan = ClusterPlan { routers: 1, voters: 1, ..ClusterPlan::default() };
    let mut cluster = Cluster::new(plan, Path::new(env!("CARGO_BIN_EXE_ottersill")), settings)
        .expect("cluster was not set up");
    cluster.start_all().expect("router did not start");
    assert!(cluster.wait_until(|cluster| cluster.is_ready(0)), "the router is not ready");
    cluster.start_load(4, 0);
    let file = cluster.folder.join(format!("{}.audit", cluster.routers[0].name));
    let text = || std::fs::read_to_string(&file).unwrap_or_default();
    let name = cluster.routers[0].name.clone();
    let head = format!(r#"{{"at":0,"process":"{name}","incarnation":0,"what":"#);
    let expected = [
        r#""right","budget":"executions at each host","subject":0,"grant":"0/0","units":0,"until":[[0,0],[0,0]]}"#,
        r#""take","budget":"executions at each host","subject":0}"#,
        r#""put","budget":"executions at each host","subject":0}"#,
        r#""take","budget":"probes","subject":0}"#,
    ];
    for tail in expected {
        let line = format!("{head}{tail}");
        let is_written = |_: &Cluster| text().lines().any(|written| without_numbers(written) == line);
        assert!(cluster.wait_until(is_written), "{line} is not among\n{}", text());
    }
    cluster.stop_load();
    assert!(!audit::parse_audit_file(&text()).expect("audit lines do not parse").entries.is_empty());
}

/// Reads lines as an earlier release wrote them.
#[test]
fn lines_of_an_earlier_release_are_read() {
    let text = concat!(
        r#"{"at":1764672000.25,"process":"r0","incarnation":1764671999123456,"what":"right","budget":"probes","subject":0,"grant":"3.0.1764671999123456/17","units":12,"until":[[11,1764672001.25],[1,1764672003.5]]}"#,
        "\n",
        r#"{"at":1764672000.5,"process":"r0","incarnation":1764671999123456,"what":"take","budget":"probes","subject":0}"#,
        "\n",
    );
    let entries = audit::parse_audit_file(text).expect("audit lines do not parse").entries;
    assert_eq!(entries.len(), 2);
    assert_eq!(entries[0].until, Some([(11, 1_764_672_001.25), (1, 1_764_672_003.5)]));
    assert_eq!((entries[1].what.as_str(), entries[1].incarnation), ("take", 1_764_671_999_123_456));
}
