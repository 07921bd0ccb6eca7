//! Counts the work that handling one source causes.

/// The work of the current visit to a source.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMeter {
    messages: u64,
}

impl WorkMeter {
    /// Counts one message, datagram or accepted connection.
    pub fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Returns the number of messages since the last call.
    pub fn take_messages(&mut self) -> u64 {
        std::mem::take(&mut self.messages)
    }
}
