//! Parses and validates the configuration of ottersill. Operators write two files: the JSON file that `NODE_CONFIG`
//! names, whose object `settings` describes the deployment, and the optional fleet file in protobuf text format. This
//! crate turns the text of both into validated Rust values; it does not open files itself. A configuration is either
//! accepted completely or rejected with a typed error that names the field and the reason.
//!
//! Modules in reading order:
//!
//! 1. [`deployment`]: the object `settings` of the JSON file. The simulator passes the same object to each router.
//! 2. [`fleet`]: the fleet file, which lists the members of the fleet and the budgets that they share.

#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod deployment;
pub mod fleet;
