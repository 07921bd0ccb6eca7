//! Behaviours of an endpoint of the stand-in store, including faulty ones.

/// How an endpoint handles connections and statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes reads and writes.
    Primary,
    /// Executes reads and refuses writes.
    Replica,
    /// Rejects statements as overloaded (SQLSTATE 53300), without executing them.
    Overloaded,
    /// Answers statements with an internal error (SQLSTATE XX000).
    FailsStatements,
    /// Closes the connection when it has received a statement, without an answer.
    ResetsConnection,
    /// Receives statements and never answers them.
    NeverAnswers,
    /// Answers statements with bytes that are not a message of the protocol.
    SendsInvalidMessage,
    /// Closes the connection after each answer but that to an empty query.
    ClosesAfterAnswer,
    /// Accepts new connections but never completes their startup.
    NeverCompletesStartup,
    /// Answers statements with a row whose column is one byte shorter than its length field says.
    CorruptsRow,
    /// Answers each statement twice.
    AnswersTwice,
}

impl Behaviour {
    /// Returns the behaviour with the given name, as entered at the command `serve`.
    pub fn from_name(name: &str) -> Option<Behaviour> {
        Some(match name {
            "primary" => Behaviour::Primary,
            "replica" => Behaviour::Replica,
            "full" => Behaviour::Overloaded,
            "faulty" => Behaviour::FailsStatements,
            "resets" => Behaviour::ResetsConnection,
            "silent" => Behaviour::NeverAnswers,
            "babbles" => Behaviour::SendsInvalidMessage,
            "closes" => Behaviour::ClosesAfterAnswer,
            "mute" => Behaviour::NeverCompletesStartup,
            "spoils" => Behaviour::CorruptsRow,
            "echoes" => Behaviour::AnswersTwice,
            _ => return None,
        })
    }
}
