//! The command `explain`, which reports how the router classifies a statement.

use std::io::Write;
use std::process::{Command, Stdio};

use rstest::rstest;

fn explain(arguments: &[&str], input: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ottersill"));
    let command = command.arg("explain").args(arguments).env_remove("NODE_CONFIG").stdin(Stdio::piped());
    let mut child =
        command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("explain did not start");
    // The command may have exited already because of its arguments.
    let _ = child.stdin.take().expect("standard input is not piped").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("output could not be read");
    (out.status.code(), String::from_utf8(out.stdout).expect("output is not UTF-8"))
}

#[rstest]
#[case::read("SELECT content FROM kv WHERE name = 'a'", "read", true)]
#[case::write("WITH a AS (DELETE FROM kv RETURNING 1) SELECT * FROM a", "write", false)]
#[case::unknown("SELECT f(1)", "unknown", false)]
#[case::session("SET a.b = 'c'", "session", false)]
fn statements_are_explained(#[case] text: &str, #[case] nature: &str, #[case] is_read: bool) {
    let (status, out) = explain(&["--json"], &format!("{text}\n{text}\n"));
    let lines: Vec<serde_json::Value> =
        out.lines().map(|line| serde_json::from_str(line).expect("line is not JSON")).collect();
    assert_eq!((status, lines.len()), (Some(0), 2));
    for line in &lines {
        assert_eq!(line["nature"], nature);
        assert_eq!((line["replica"].as_bool(), line["resend"].as_bool()), (Some(is_read), Some(is_read)));
        let shape = line["shape"].as_str().expect("shape is not a string");
        assert!(shape.len() == 32 && shape.chars().all(|c| c.is_ascii_hexdigit()));
    }
    assert_eq!(lines[0]["shape"], lines[1]["shape"]);
    // Statements that contain line ends, the last one without a terminator.
    let (status, out) =
        explain(&["--json", "--nul", "-"], &format!("{}\0SELECT\n1", text.replace(' ', "\n")));
    assert_eq!((status, out.lines().count()), (Some(0), 2));
    assert!(out.starts_with(&format!("{{\"nature\":\"{nature}\"")), "{out}");
    let (status, out) = explain(&[], text);
    assert!(status == Some(0) && out.starts_with(nature), "{out}");
    assert_eq!(explain(&["/nowhere/at/all"], "").0, Some(1));
}
