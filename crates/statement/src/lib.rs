//! What a statement is, told before it is sent: its shape, its nature, its cost. No I/O and no clock.

pub mod book;
pub mod cost;
pub mod glance;
pub mod lexer;
pub mod names;
pub mod ration;
pub mod reading;
pub mod shape;
