//! `ask`: sends one statement to the router of `example/router.json`.

use std::net::SocketAddr;

use clap::Subcommand;

use crate::clock::unix_ms;
use crate::stand_in::Client;

use super::{CommandError, ROUTER};

/// The statement to send.
#[derive(Subcommand)]
pub(super) enum Statement {
    /// Reads a value.
    Get {
        /// Name of the value.
        key: String,
    },
    /// Writes a value.
    Put {
        /// Name of the value.
        key: String,
        /// New content of the value.
        value: String,
    },
}

impl Statement {
    /// Returns the SQL text and the workload of the statement.
    fn text(&self) -> (String, &'static str) {
        match self {
            Statement::Get { key } => (format!("SELECT content FROM kv WHERE name = '{key}'"), "get"),
            Statement::Put { key, value } => {
                let hex: String = value.bytes().map(|byte| format!("{byte:02x}")).collect();
                let insert =
                    format!("INSERT INTO kv (name, content) VALUES ('{key}', '\\x{hex}') RETURNING content");
                (insert, "put")
            }
        }
    }
}

/// Sends the statement and prints its answer.
pub(super) fn run(statement: &Statement) -> Result<(), CommandError> {
    let router: SocketAddr = ROUTER.parse().map_err(std::io::Error::other)?;
    let mut client = Client::connect(router)?;
    client.read_answer()?;
    let (text, workload) = statement.text();
    let id = unix_ms();
    println!("{}", client.query(&format!("{text} /* id={id:x},c={workload},d=2000,cluster=1 */"))?);
    Ok(())
}
