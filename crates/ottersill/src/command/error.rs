//! Why what the command line asks for has failed.

use thiserror::Error;

use crate::command::explain::ExplainError;
use crate::command::fleet::FleetCommandError;
use crate::lifecycle::error::RunError;

/// Why the router or a command has failed. The text is one line for whoever typed the command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The router does not start, or does not go on.
    #[error(transparent)]
    Run(#[from] RunError),
    /// `ottersill explain`.
    #[error(transparent)]
    Explain(#[from] ExplainError),
    /// `ottersill fleet`.
    #[error(transparent)]
    Fleet(#[from] FleetCommandError),
}
