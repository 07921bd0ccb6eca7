//! What `ottersill fleet` prints when it has no answer to print: one line with the address and the reason.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread;

use rstest::rstest;

/// What the command writes to standard output and to standard error, when it fails.
fn failing_output(at: SocketAddr) -> (String, String) {
    let arguments = ["fleet", "--at", &at.to_string(), "budgets"];
    let done = Command::new(env!("CARGO_BIN_EXE_ottersill")).args(arguments).output().expect("it runs");
    assert_eq!(done.status.code(), Some(1));
    (String::from_utf8(done.stdout).expect("UTF-8"), String::from_utf8(done.stderr).expect("UTF-8"))
}

#[test]
fn nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    drop(listener);
    let expected = format!("ottersill: {at}: Connection refused (os error 111)\n");
    assert_eq!(failing_output(at), (String::new(), expected));
}

#[rstest]
#[case::refused("{\"fault\":\"unknown\"}", "fault=\"unknown\"\n", "the router has no answer to that")]
#[case::malformed("here", "", "{at}: expected value at line 1 column 1")]
fn answers_that_are_none(#[case] answer: &'static str, #[case] output: &str, #[case] error: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let router = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut question = String::new();
        BufReader::new(&stream).read_line(&mut question).expect("a question");
        writeln!(stream, "{answer}").expect("an answer goes out");
        question
    });
    let expected = format!("ottersill: {}\n", error.replace("{at}", &at.to_string()));
    assert_eq!(failing_output(at), (output.to_string(), expected));
    assert_eq!(router.join().expect("no panic"), "budgets\n");
}
