//! The output of `ottersill fleet` when the router gives no usable answer: one line with the address and the reason.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::thread;

use rstest::rstest;

/// Runs the command, which has to fail, and returns its standard output and standard error.
fn failing_output(at: SocketAddr) -> (String, String) {
    let arguments = ["fleet", "--at", &at.to_string(), "budgets"];
    let result =
        Command::new(env!("CARGO_BIN_EXE_ottersill")).args(arguments).output().expect("command did not run");
    assert_eq!(result.status.code(), Some(1));
    (
        String::from_utf8(result.stdout).expect("output is not UTF-8"),
        String::from_utf8(result.stderr).expect("output is not UTF-8"),
    )
}

#[test]
fn refused_connection_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding the listener failed");
    let at = listener.local_addr().expect("socket has no local address");
    drop(listener);
    let expected = format!("ottersill: {at}: Connection refused (os error 111)\n");
    assert_eq!(failing_output(at), (String::new(), expected));
}

#[rstest]
#[case::refused("{\"fault\":\"unknown\"}", "fault=\"unknown\"\n", "the router has no answer to that")]
#[case::malformed("here", "", "{at}: expected value at line 1 column 1")]
fn fault_and_malformed_answers_are_reported(
    #[case] answer: &'static str,
    #[case] output: &str,
    #[case] error: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding the listener failed");
    let at = listener.local_addr().expect("socket has no local address");
    let router = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("no connection from the command");
        let mut question = String::new();
        BufReader::new(&stream).read_line(&mut question).expect("reading the request failed");
        writeln!(stream, "{answer}").expect("sending the answer failed");
        question
    });
    let expected = format!("ottersill: {}\n", error.replace("{at}", &at.to_string()));
    assert_eq!(failing_output(at), (output.to_string(), expected));
    assert_eq!(router.join().expect("router thread panicked"), "budgets\n");
}
