//! How an endpoint of the stand-in store treats what it receives.

/// What an endpoint does with connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs reads and writes.
    Primary,
    /// Runs reads and refuses writes.
    Replica,
    /// Rejects statements without running them.
    Full,
    /// Answers statements with an error.
    Faulty,
    /// Receives statements and closes the connection.
    Resets,
    /// Receives statements and never answers them.
    Silent,
    /// Answers statements with bytes that are no message of the protocol.
    Babbles,
    /// Closes the connection right after each answer.
    Closes,
    /// Accepts new connections and never sends the greeting.
    Mute,
    /// Answers statements with a row that is shorter than its length field says.
    Spoils,
    /// Answers each statement twice.
    Echoes,
}

impl Behaviour {
    /// The behaviour of that name, as typed at the command `serve`.
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
