//! Errors of the commands.

use thiserror::Error;

use crate::command::explain::ExplainError;
use crate::command::fleet::FleetCommandError;
use crate::lifecycle::error::RunError;

/// An error of the router or of a command. Its text is a single line for the user of the command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The router failed to start, or stopped running.
    #[error(transparent)]
    Run(#[from] RunError),
    /// `ottersill explain` failed.
    #[error(transparent)]
    Explain(#[from] ExplainError),
    /// `ottersill fleet` failed.
    #[error(transparent)]
    Fleet(#[from] FleetCommandError),
}
