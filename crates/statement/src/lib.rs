//! Analyses the text of an SQL statement before it is sent: its fingerprint, whether it only reads, and how much work it is
//! expected to cause. Does no I/O and reads no clock: the caller passes times in seconds.
//!
//! Modules in reading order:
//!
//! - [`lexer`]: PostgreSQL's lexical rules in one pass without allocation.
//! - [`fingerprint`]: the keyed hash of a statement's tokens without its values, and the single scan that also locates the
//!   comment and the first literal.
//! - [`builtin_catalog`]: the built-in functions, operators and types that are known to have no side effect.
//! - [`prescan`]: classification by tokens alone, without allocation and without a parser.
//! - [`classify`]: the full classification (read, write, session, unknown), which combines prescan and parser.
//! - [`parse_budget`]: limits the rate at which statements with unknown fingerprints are parsed.
//! - [`cost_model`]: estimates the seconds of work of one fingerprint from completed attempts.
//! - [`fingerprint_cache`]: stores the classification and the cost of each fingerprint within a budget of bytes.

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
