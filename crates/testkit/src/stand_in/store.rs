//! The store as a test holds it: starts endpoints and discovery, changes how they behave, tells what they received.

use std::io;
use std::net::{SocketAddr, TcpListener, ToSocketAddrs};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::sync::lock;

use super::acceptor::{Acceptor, Serve};
use super::behaviour::Behaviour;
use super::membership::MembershipChange;
use super::shared_state::SharedState;
use super::state::{Execution, State};
use super::{database, discovery};

/// The replica set of endpoints that are added without one.
pub(crate) const DEFAULT_GROUP: u64 = 1;

/// A stand-in store. Clones share their endpoints and data. Its threads live as long as the process.
#[derive(Clone, Default)]
pub struct StandInStore {
    shared: Arc<SharedState>,
    /// Started with the first listener.
    acceptor: Arc<Mutex<Option<Acceptor>>>,
}

impl StandInStore {
    /// Starts an endpoint at that address and returns where it listens; the first is the primary. Fails if the address
    /// can't be bound.
    pub fn add_endpoint(&self, address: &str) -> io::Result<SocketAddr> {
        let endpoint = self.add_member(address, DEFAULT_GROUP)?;
        Ok(self.endpoint_address(endpoint))
    }

    /// Starts an endpoint of that replica set and returns its index; the first of each is the primary. Fails if the
    /// address can't be bound.
    pub fn add_member(&self, address: impl ToSocketAddrs, group: u64) -> io::Result<usize> {
        self.start_endpoint(address, group, true)
    }

    /// The same, but discovery does not list it until it joins by [`change_members`](Self::change_members).
    pub fn add_successor(&self, address: impl ToSocketAddrs, group: u64) -> io::Result<usize> {
        self.start_endpoint(address, group, false)
    }

    fn start_endpoint(&self, address: impl ToSocketAddrs, group: u64, is_listed: bool) -> io::Result<usize> {
        let listener = TcpListener::bind(address)?;
        let endpoint = self.lock().add_endpoint(listener.local_addr()?, group, is_listed);
        let shared = Arc::clone(&self.shared);
        self.accept(listener, Arc::new(move |client| database::serve(&shared, endpoint, client)))?;
        Ok(endpoint)
    }

    /// Closes all listeners, of endpoints and of discovery; connections go on.
    pub fn stop_listening(&self) {
        if let Some(acceptor) = lock(&self.acceptor).as_ref() {
            acceptor.close_all();
        }
    }

    /// Starts a discovery service at that address and returns where it listens. Fails if the address can't be bound.
    pub fn add_discovery(&self, address: &str) -> io::Result<SocketAddr> {
        self.add_discovery_via(address, Vec::new())
    }

    /// The same, but it lists each endpoint that has an address in `proxied`, by index, under that one.
    pub fn add_discovery_via(&self, address: &str, proxied: Vec<SocketAddr>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound_to = listener.local_addr()?;
        let shared = Arc::clone(&self.shared);
        self.accept(listener, Arc::new(move |client| discovery::serve(&shared, client, &proxied)))?;
        Ok(bound_to)
    }

    /// Changes what an endpoint does from now on.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: Behaviour) {
        self.lock().endpoints[endpoint].set_behaviour(behaviour);
    }

    /// Changes an endpoint's health as discovery tells it: `active`, `leaving` or `left`.
    pub fn set_health(&self, endpoint: usize, health: &'static str) {
        self.shared.change_list(|state| state.change_endpoint(endpoint, |endpoint| endpoint.health = health));
    }

    /// Discovery says from now on that the endpoint has just started, by the endpoint's clock.
    pub fn set_just_started(&self, endpoint: usize) {
        self.shared.change_list(|state| {
            state.change_endpoint(endpoint, |endpoint| endpoint.started_ms = endpoint.position_ms());
        });
    }

    /// The endpoint's clock, and with it its position, is off by so many milliseconds from now on. A replica that is behind
    /// has a clock that is slow by its lag.
    pub fn shift_clock(&self, endpoint: usize, ms: i64) {
        self.lock().endpoints[endpoint].shift_clock(ms);
    }

    /// Endpoints join and leave, all in one change of the list.
    pub fn change_members(&self, change: &MembershipChange) {
        self.shared.change_list(|state| state.change_members(change));
    }

    /// From now on discovery answers a call that names a version with what has changed since, not with the whole list.
    pub fn send_changes_only(&self) {
        self.lock().sends_changes_only = true;
    }

    /// How many bytes of lists discovery has sent.
    pub fn list_bytes_sent(&self) -> u64 {
        self.lock().list_bytes_sent
    }

    /// How many connections all endpoints have accepted.
    pub fn connections_accepted(&self) -> u64 {
        self.lock().connections_accepted
    }

    /// Whether discovery accepts calls and answers none.
    pub fn silence_discovery(&self, silent: bool) {
        self.lock().discovery_is_silent = silent;
        self.shared.list_changed().notify_all();
    }

    /// Discovery closes the connection after each answer from now on.
    pub fn close_discovery(&self) {
        self.lock().discovery_closes = true;
    }

    /// From now on a statement that names this view writes, whatever it looks like.
    pub fn hide_write(&self, view: &str) {
        self.lock().writing_views.push(view.to_string());
    }

    /// From now on each statement takes that long.
    pub fn set_statement_duration(&self, duration: Duration) {
        self.lock().statement_duration = duration;
    }

    /// The statements that an endpoint received whole.
    pub fn received(&self, endpoint: usize) -> Vec<String> {
        self.lock().endpoints[endpoint].received.clone()
    }

    /// The most executions that were under way at an endpoint at once.
    pub fn peak_concurrency(&self, endpoint: usize) -> usize {
        self.lock().endpoints[endpoint].peak_concurrency
    }

    /// What an endpoint executed, in the order in which it ended.
    pub fn executions(&self, endpoint: usize) -> Vec<Execution> {
        self.lock().endpoints[endpoint].executions.clone()
    }

    /// Where an endpoint listens.
    pub fn endpoint_address(&self, endpoint: usize) -> SocketAddr {
        self.lock().endpoints[endpoint].address
    }

    /// How many endpoints there are.
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }

    /// Has each connection of the listener served in a thread of its own.
    fn accept(&self, listener: TcpListener, serve: Serve) -> io::Result<()> {
        let mut acceptor = lock(&self.acceptor);
        if acceptor.is_none() {
            *acceptor = Some(Acceptor::start()?);
        }
        acceptor.as_ref().map_or(Ok(()), |acceptor| acceptor.add(listener, serve))
    }
}
