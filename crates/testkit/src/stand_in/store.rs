//! The store as a test holds it: starts endpoints and discovery, changes how they behave, tells what they received.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::sync::lock;

use super::behaviour::Behaviour;
use super::state::{Execution, State};
use super::{database, discovery};

/// A stand-in store. Clones share their endpoints and data. Its threads live as long as the process.
#[derive(Clone, Default)]
pub struct StandInStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl StandInStore {
    /// Starts an endpoint at that address and returns where it listens; the first is the primary. Fails if the address
    /// can't be bound.
    pub fn add_endpoint(&self, address: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound_to = listener.local_addr()?;
        let index = self.lock().add_endpoint(bound_to);
        self.accept(listener, move |store, client| database::serve(store, index, client));
        Ok(bound_to)
    }

    /// Starts a discovery service at that address and returns where it listens. Fails if the address can't be bound.
    pub fn add_discovery(&self, address: &str) -> io::Result<SocketAddr> {
        self.add_discovery_via(address, Vec::new())
    }

    /// The same, but it lists each endpoint that has an address in `proxied`, by index, under that one.
    pub fn add_discovery_via(&self, address: &str, proxied: Vec<SocketAddr>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound_to = listener.local_addr()?;
        let proxied: Arc<[SocketAddr]> = proxied.into();
        self.accept(listener, move |store, client| discovery::serve(store, client, &proxied));
        Ok(bound_to)
    }

    /// Changes what an endpoint does from now on.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: Behaviour) {
        self.lock().endpoints[endpoint].set_behaviour(behaviour);
    }

    /// Changes an endpoint's health as discovery tells it: `active`, `leaving` or `left`.
    pub fn set_health(&self, endpoint: usize, health: &'static str) {
        self.change_list(|state| state.endpoints[endpoint].health = health);
    }

    /// Discovery says from now on that the endpoint has just started, by the endpoint's clock.
    pub fn set_just_started(&self, endpoint: usize) {
        self.change_list(|state| {
            state.endpoints[endpoint].started_ms = state.endpoints[endpoint].position_ms();
        });
    }

    /// The endpoint's clock, and with it its position, is off by so many milliseconds from now on. A replica that is behind
    /// has a clock that is slow by its lag.
    pub fn shift_clock(&self, endpoint: usize, ms: i64) {
        self.lock().endpoints[endpoint].shift_clock(ms);
    }

    /// Whether discovery accepts calls and answers none.
    pub fn silence_discovery(&self, silent: bool) {
        self.lock().discovery_is_silent = silent;
        self.changed.notify_all();
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

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Wakes up when discovery's list or its silence changes.
    pub(super) fn changed(&self) -> &Condvar {
        &self.changed
    }

    fn change_list(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        state.version += 1;
        self.changed.notify_all();
    }

    /// Serves each connection of the listener in a thread of its own.
    fn accept(
        &self,
        listener: TcpListener,
        serve: impl Fn(&StandInStore, TcpStream) -> io::Result<()> + Send + Clone + 'static,
    ) {
        let store = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (store, serve) = (store.clone(), serve.clone());
                // An error on a connection concerns its client only.
                thread::spawn(move || serve(&store, client));
            }
        });
    }
}
