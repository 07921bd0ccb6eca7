//! What an SQL statement is, told from its text before it is sent: its fingerprint, whether it only reads, and what it is
//! expected to cost. No I/O and no clock: times are seconds handed in by the caller.
//!
//! Modules in reading order:
//!
//! - [`lexer`]: PostgreSQL's lexical rules in one pass without allocation.
//! - [`fingerprint`]: the keyed hash of a statement's tokens without its values, and the one scan that finds the comment and
//!   the session key.
//! - [`builtin_catalog`]: which built-in functions, operators and types are known to have no side effect.
//! - [`prescan`]: what the tokens alone tell, without memory and without a parser.
//! - [`classify`]: the full classification (read, write, session, unknown) by prescan and parser together.
//! - [`parse_budget`]: how much of a second may go into parsing statements that were not met before.
//! - [`cost_model`]: seconds of work of one fingerprint, learnt from completed attempts.
//! - [`fingerprint_cache`]: keeps classification and cost of each fingerprint within a budget of bytes.

#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod builtin_catalog;
pub mod classify;
mod convert;
pub mod cost_model;
pub mod fingerprint;
pub mod fingerprint_cache;
pub mod lexer;
pub mod parse_budget;
pub mod prescan;
