//! The handle of the store for tests: starts endpoints and discovery, controls their behaviour, and returns what they
//! received.

use std::io;
use std::net::{SocketAddr, TcpListener, ToSocketAddrs};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::sync::lock;

use super::acceptor::{Acceptor, ConnectionHandler};
use super::answer_delay::AnswerDelay;
use super::behaviour::Behaviour;
use super::membership::MembershipChange;
use super::shared_state::SharedState;
use super::state::{Execution, State};
use super::{connection, discovery};

/// Number of the replica set to which endpoints are added if none is given.
pub(crate) const DEFAULT_GROUP: u64 = 1;

/// A stand-in store. Clones share their endpoints and data. Its threads run until the process ends.
#[derive(Clone, Default)]
pub struct StandInStore {
    shared: Arc<SharedState>,
    /// Started when the first listener is added.
    acceptor: Arc<Mutex<Option<Acceptor>>>,
}

impl StandInStore {
    /// Starts an endpoint that listens at `address` and returns the address to which it is bound. The first endpoint is the
    /// primary. Fails if the address can't be bound.
    pub fn add_endpoint(&self, address: &str) -> io::Result<SocketAddr> {
        let endpoint = self.add_endpoint_to_group(address, DEFAULT_GROUP)?;
        Ok(self.endpoint_address(endpoint))
    }

    /// Starts an endpoint of the replica set `group` and returns its index. The first endpoint of each replica set is its
    /// primary. Fails if the address can't be bound.
    pub fn add_endpoint_to_group(&self, address: impl ToSocketAddrs, group: u64) -> io::Result<usize> {
        self.start_endpoint(address, group, true)
    }

    /// Starts an endpoint as [`add_endpoint_to_group`](Self::add_endpoint_to_group) does, but discovery does not
    /// list it until it joins by [`change_members`](Self::change_members).
    pub fn add_unlisted_endpoint(&self, address: impl ToSocketAddrs, group: u64) -> io::Result<usize> {
        self.start_endpoint(address, group, false)
    }

    fn start_endpoint(&self, address: impl ToSocketAddrs, group: u64, is_listed: bool) -> io::Result<usize> {
        let listener = TcpListener::bind(address)?;
        let endpoint = self.lock().add_endpoint(listener.local_addr()?, group, is_listed);
        let shared = Arc::clone(&self.shared);
        self.accept(listener, Arc::new(move |client| connection::serve(&shared, endpoint, client)))?;
        Ok(endpoint)
    }

    /// Closes the listeners of all endpoints and of discovery; accepted connections stay open.
    pub fn stop_listening(&self) {
        if let Some(acceptor) = lock(&self.acceptor).as_ref() {
            acceptor.close_all();
        }
    }

    /// Starts a discovery service that listens at `address` and returns the address to which it is bound. Fails if the
    /// address can't be bound.
    pub fn add_discovery(&self, address: &str) -> io::Result<SocketAddr> {
        self.add_discovery_via(address, Vec::new())
    }

    /// Starts a discovery service as [`add_discovery`](Self::add_discovery) does, but lists each endpoint that has an address in
    /// `proxied`, by index, under that address.
    pub fn add_discovery_via(&self, address: &str, proxied: Vec<SocketAddr>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound_address = listener.local_addr()?;
        let shared = Arc::clone(&self.shared);
        self.accept(listener, Arc::new(move |client| discovery::serve(&shared, client, &proxied)))?;
        Ok(bound_address)
    }

    /// Changes an endpoint's behaviour.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: Behaviour) {
        self.lock().endpoints[endpoint].set_behaviour(behaviour);
    }

    /// Changes an endpoint's health as reported by discovery: `active`, `leaving` or `left`.
    pub fn set_health(&self, endpoint: usize, health: &'static str) {
        self.shared.change_list(|state| state.change_endpoint(endpoint, |endpoint| endpoint.health = health));
    }

    /// Makes discovery report the present time of the endpoint's clock as the endpoint's start.
    pub fn set_just_started(&self, endpoint: usize) {
        self.shared.change_list(|state| {
            state.change_endpoint(endpoint, |endpoint| endpoint.started_ms = endpoint.position_ms());
        });
    }

    /// Sets the offset in milliseconds of the endpoint's clock, and thereby of its replication position. A replica that lags
    /// is simulated by a clock that is slow by the lag.
    pub fn set_clock_offset(&self, endpoint: usize, ms: i64) {
        self.lock().endpoints[endpoint].set_clock_offset(ms);
    }

    /// Makes endpoints join and leave, all in one change of discovery's list.
    pub fn change_members(&self, change: &MembershipChange) {
        self.shared.change_list(|state| state.change_members(change));
    }

    /// Makes discovery answer calls with a version with the changes since that version instead of the complete list.
    pub fn send_changes_only(&self) {
        self.lock().sends_changes_only = true;
    }

    /// Returns the total length in bytes of the lists that discovery has sent.
    pub fn list_bytes_sent(&self) -> u64 {
        self.lock().list_bytes_sent
    }

    /// Returns the number of connections that all endpoints have accepted.
    pub fn connections_accepted(&self) -> u64 {
        self.lock().connections_accepted
    }

    /// Sets whether discovery accepts calls without answering them.
    pub fn set_discovery_silent(&self, silent: bool) {
        self.lock().discovery_is_silent = silent;
        self.shared.list_changed().notify_all();
    }

    /// Makes calls that wait while discovery is silent unanswered for good, as those to an agent that forgets them.
    pub fn forget_calls_in_silence(&self) {
        self.lock().discovery_forgets_calls = true;
    }

    /// Sets how long discovery takes for the answers that are due from now on.
    pub fn set_answer_delay(&self, delay: AnswerDelay) {
        self.lock().answer_delay = delay;
    }

    /// Sets the seed from which delays of answers are drawn.
    pub fn seed_answer_delays(&self, seed: u64) {
        self.lock().seed_delays(seed);
    }

    /// Returns when each call to discovery arrived, in Unix seconds.
    pub fn discovery_calls(&self) -> Vec<f64> {
        self.lock().discovery_calls.clone()
    }

    /// Makes discovery close the connection after each answer.
    pub fn close_discovery_connections(&self) {
        self.lock().discovery_closes = true;
    }

    /// Makes every statement that names this view a write, even if its text is that of a read.
    pub fn add_view_with_side_effects(&self, view: &str) {
        self.lock().views_with_side_effects.push(view.to_string());
    }

    /// Sets the duration of each statement.
    pub fn set_statement_duration(&self, duration: Duration) {
        self.lock().statement_duration = duration;
    }

    /// Sets the time that endpoints take for the answer to a health check.
    pub fn set_health_check_duration(&self, duration: Duration) {
        self.lock().health_check_duration = duration;
    }

    /// Returns the statements that an endpoint received completely.
    pub fn received(&self, endpoint: usize) -> Vec<String> {
        self.lock().endpoints[endpoint].received.clone()
    }

    /// Returns the highest number of executions in progress at an endpoint at the same time.
    pub fn peak_concurrency(&self, endpoint: usize) -> usize {
        self.lock().endpoints[endpoint].peak_concurrency
    }

    /// Returns the executions at an endpoint, in the order in which they ended.
    pub fn executions(&self, endpoint: usize) -> Vec<Execution> {
        self.lock().endpoints[endpoint].executions.clone()
    }

    /// Returns the address at which an endpoint listens.
    pub fn endpoint_address(&self, endpoint: usize) -> SocketAddr {
        self.lock().endpoints[endpoint].address
    }

    /// Returns the number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }

    /// Serves each connection of the listener in a thread of its own.
    fn accept(&self, listener: TcpListener, handler: ConnectionHandler) -> io::Result<()> {
        let mut acceptor = lock(&self.acceptor);
        if acceptor.is_none() {
            *acceptor = Some(Acceptor::start()?);
        }
        acceptor.as_ref().map_or(Ok(()), |acceptor| acceptor.add(listener, handler))
    }
}
