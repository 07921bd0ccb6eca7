//! Tests of the router's decisions, by behaviour: each test drives one `Router` through its public API and checks the calls
//! that the router makes to its transport.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod concurrency_limit;
mod consistency;
mod endpoint_list;
mod health_checks;
mod outlier;
mod primary;
mod retention;
mod retry;
mod selection;
mod slow_start;
