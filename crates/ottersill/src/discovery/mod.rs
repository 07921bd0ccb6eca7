//! Discovery: the endpoint list that it serves, the client that watches it, and the registry of known endpoints.

pub mod call;
pub mod change;
pub mod client;
pub mod endpoint_list;
pub mod http;
pub mod registry;
