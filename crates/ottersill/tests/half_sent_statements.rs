//! Clients that stop in the middle of a statement and stay connected.

mod support;

use std::io::Write;

use ottersill_testkit::flood::FloodInput;
use support::*;

/// More connections than the example configuration has places for clients, half of its descriptors.
const HALF_SENT: usize = 505;

/// Guards against clients that hold all places with half a statement each, while the requests of others wait in the listen backlog
/// until their time is over.
#[test]
fn a_usual_client_is_served_beside_half_sent_statements_in_all_places() {
    let fixture = Fixture::start(&[LONG_SLO_TIME]);
    let mut half_sent = Vec::new();
    for _ in 0..HALF_SENT {
        let mut socket = std::net::TcpStream::connect(fixture.router.address).expect("connection failed");
        socket.write_all(&FloodInput::HalfStatements.preamble()).expect("startup could not be sent");
        socket.write_all(&FloodInput::HalfStatements.batch()).expect("statement could not be sent");
        half_sent.push(socket);
    }
    let client = std::thread::spawn({
        let address = fixture.router.address;
        move || {
            let mut client = ottersill_testkit::stand_in::Client::connect(address)?;
            client.socket.set_read_timeout(Some(std::time::Duration::from_millis(1000)))?;
            client.send(&read(7, 500))?;
            client.read_answer()?;
            client.read_answer()
        }
    });
    if let Some(statement) = fixture.replica.next_within(std::time::Duration::from_millis(1000)) {
        statement.answer("served");
    }
    let answer =
        client.join().expect("client panicked").expect("no answer within its time and half a second");
    assert!(answer.contains("row:served") || answer.contains("C53300"), "{answer}");
}
