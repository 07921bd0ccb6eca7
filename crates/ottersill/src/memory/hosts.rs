//! The hosts that discovery has named, with the connections kept to each. A host once named stays known, as the
//! module counts on it; the list names few over a lifetime.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use ottersill_core::interface::{Listed, Standing};

use crate::wire::discovery::{Entry, List};
use crate::wire::socket_failure::{ConnectFailure, LocalFailures};

pub struct Host {
    pub name: String,
    /// Of its name, by which the members of a fleet speak of it.
    pub label: u64,
    pub dial: Option<SocketAddr>,
    pub listed: Listed,
    /// Lines that stand idle, the last used at the end; a line leaves when it is used, closed or idles too long.
    pub idle: Vec<usize>,
    /// Connections that broke since the last line on that in the log, and when that was.
    pub broken: u64,
    pub logged_at: f64,
    local_failures: LocalFailures,
}

#[derive(Default)]
pub struct Hosts {
    pub all: Vec<Host>,
    by_name: HashMap<String, usize>,
    groups: HashMap<u64, usize>,
    sites: Vec<String>,
    /// When a connection to any host was last begun without a failure.
    connect_begun_at: f64,
}

impl Hosts {
    pub fn new(sites: Vec<String>) -> Hosts {
        Hosts { sites, ..Hosts::default() }
    }

    /// The group's index, if a list has named it.
    pub fn group(&self, number: u64) -> Option<usize> {
        self.groups.get(&number).copied()
    }

    pub fn connect_begun(&mut self, host: usize, now: f64) {
        self.connect_begun_at = now;
        self.all[host].local_failures = LocalFailures::default();
    }

    /// Whether that counts against the host: a lack of this machine does so only where it stays for this host alone, for
    /// `at_least` seconds.
    pub fn connect_failed(&mut self, host: usize, now: f64, at_least: f64, failure: &ConnectFailure) -> bool {
        match failure {
            ConnectFailure::Remote(_) => true,
            ConnectFailure::Local(_) => {
                self.all[host].local_failures.note(now, at_least, self.connect_begun_at)
            }
        }
    }

    /// Takes a list in, and gives what the module is to hear of it: entries as told, and, where the list is
    /// whole, those that it lacks as gone. Beside them the hosts that are to be dialled elsewhere from now on.
    pub fn take(&mut self, list: &List) -> (Vec<Listed>, Vec<usize>) {
        let mut seen = vec![false; self.all.len()];
        let (mut told, mut moved) = (Vec::with_capacity(list.hosts.len()), Vec::new());
        for entry in &list.hosts {
            let listed = self.listed(entry);
            if let Some(seen) = seen.get_mut(listed.host) {
                *seen = true;
            }
            let host = &mut self.all[listed.host];
            let dial = entry.dial.parse().ok();
            // A host that has left may be listed without an address; what is out there goes on.
            if dial.is_some() && dial != host.dial {
                moved.extend(host.dial.map(|_| listed.host));
                host.dial = dial;
                host.local_failures = LocalFailures::default();
            }
            host.listed = listed;
            told.push(listed);
        }
        if list.whole {
            let missing = seen.iter().zip(&self.all).filter(|(seen, _)| !**seen);
            told.extend(missing.map(|(_, host)| Listed { standing: Standing::Gone, ..host.listed }));
        }
        (told, moved)
    }

    fn listed(&mut self, entry: &Entry) -> Listed {
        let next = self.groups.len();
        let group = *self.groups.entry(entry.block).or_insert(next);
        let host = self.by_name.get(entry.host.as_str()).copied().unwrap_or(self.all.len());
        let mut order = DefaultHasher::new();
        entry.host.hash(&mut order);
        let listed = Listed {
            host,
            order: order.finish(),
            group,
            site: self.sites.iter().position(|site| *site == entry.site),
            size: entry.share,
            standing: entry.health.into(),
            started_at: (entry.born_ms > 0.0).then_some(entry.born_ms / 1000.0),
        };
        if host == self.all.len() {
            self.by_name.insert(entry.host.clone(), host);
            let name = entry.host.clone();
            let label = ottersill_fleet::terms::label(&name);
            self.all.push(Host {
                name,
                label,
                dial: None,
                listed,
                idle: Vec::new(),
                broken: 0,
                logged_at: 0.0,
                local_failures: LocalFailures::default(),
            });
        }
        listed
    }
}
