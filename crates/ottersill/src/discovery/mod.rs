//! Discovery: the endpoint list that it serves, the watch kept on it, and what is known of each endpoint.

pub mod call;
pub mod change;
pub mod client;
pub mod endpoint_list;
pub mod http;
pub mod registry;
pub mod watch;
