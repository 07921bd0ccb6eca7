//! Behaviours of an endpoint of the stand-in store, including faulty ones.

/// How an endpoint handles connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes reads and writes.
    Primary,
    /// Executes reads and refuses writes.
    Replica,
    /// Rejects statements as overloaded (SQLSTATE 53300), without executing them.
    Full,
    /// Answers statements with an internal error (SQLSTATE XX000).
    Faulty,
    /// Closes the connection when it has received a statement, without an answer.
    Resets,
    /// Receives statements and never answers them.
    Silent,
    /// Answers statements with bytes that are not a message of the protocol.
    Babbles,
    /// Closes the connection after each answer.
    Closes,
    /// Accepts new connections but never completes their startup.
    Mute,
    /// Answers statements with a row whose column is one byte shorter than its length field says.
    Spoils,
    /// Answers each statement twice.
    Echoes,
}

impl Behaviour {
    /// Returns the behaviour with the given name, as entered at the command `serve`.
    pub fn named(name: &str) -> Option<Behaviour> {
        Some(match name {
            "primary" => Behaviour::Primary,
            "replica" => Behaviour::Replica,
            "full" => Behaviour::Full,
            "faulty" => Behaviour::Faulty,
            "resets" => Behaviour::Resets,
            "silent" => Behaviour::Silent,
            "babbles" => Behaviour::Babbles,
            "closes" => Behaviour::Closes,
            "mute" => Behaviour::Mute,
            "spoils" => Behaviour::Spoils,
            "echoes" => Behaviour::Echoes,
            _ => return None,
        })
    }
}
