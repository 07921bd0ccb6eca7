//! What a router decides, by behaviour: each test drives one `Router` by its public calls and looks at what it asks of its
//! transport.

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
