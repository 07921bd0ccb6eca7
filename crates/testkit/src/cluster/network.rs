//! The proxies of a cluster: one for each direction between two routers, and one between each router and each endpoint.

use std::io;
use std::net::{IpAddr, SocketAddr};

use crate::fault_proxy::{DatagramProxy, LinkFaults, StreamFaults, StreamProxy};

use super::ClusterError;

/// All proxies of a cluster.
pub(super) struct Network {
    /// Links by sending and receiving router; `None` from a router to itself.
    links: Vec<Vec<Option<DatagramProxy>>>,
    /// Connection proxies by router and endpoint.
    streams: Vec<Vec<StreamProxy>>,
}

impl Network {
    /// Starts the proxies, which draw their random faults from `seed`.
    pub(super) fn start(
        routers: &[SocketAddr],
        endpoints: &[SocketAddr],
        ip: IpAddr,
        seed: u64,
    ) -> Result<Network, ClusterError> {
        let streams = routers.iter().map(|_| start_streams(endpoints, ip)).collect::<io::Result<_>>();
        let links =
            (0..routers.len()).map(|from| start_links(from, routers, seed)).collect::<io::Result<_>>();
        Ok(Network {
            links: links.map_err(ClusterError::Proxy)?,
            streams: streams.map_err(ClusterError::Proxy)?,
        })
    }

    /// Returns the address at which one router reaches another, or `None` for itself.
    pub(super) fn peer_address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.links[from][to].as_ref().map(DatagramProxy::address)
    }

    /// Returns the addresses at which a router reaches the endpoints.
    pub(super) fn endpoint_addresses(&self, router: usize) -> Vec<SocketAddr> {
        self.streams[router].iter().map(StreamProxy::address).collect()
    }

    /// Changes the faults of the link from one router to another.
    pub(super) fn change_link(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkFaults)) {
        if let Some(link) = &self.links[from][to] {
            link.change_faults(change);
        }
    }

    /// Replaces the faults of all links between routers.
    pub(super) fn set_all_links(&self, faults: LinkFaults) {
        self.links.iter().flatten().flatten().for_each(|link| link.set_faults(faults));
    }

    /// Changes the faults of the connections between a router and an endpoint.
    pub(super) fn change_stream(
        &self,
        router: usize,
        endpoint: usize,
        change: impl FnOnce(&mut StreamFaults),
    ) {
        self.streams[router][endpoint].change_faults(change);
    }

    /// Replaces the faults of all connections between routers and endpoints.
    pub(super) fn set_all_streams(&self, faults: StreamFaults) {
        self.streams.iter().flatten().for_each(|stream| stream.change_faults(|old| *old = faults));
    }

    /// Cuts the links between routers of different sides and restores all others; with `one_way`, only the links from a
    /// lower side to a higher one are cut.
    pub(super) fn partition(&self, side: impl Fn(usize) -> usize, one_way: bool) {
        for from in 0..self.links.len() {
            for to in 0..self.links.len() {
                let is_cut = side(from) != side(to) && (!one_way || side(from) < side(to));
                self.change_link(from, to, |faults| faults.cut = is_cut);
            }
        }
    }
}

/// Starts a proxy to each endpoint.
fn start_streams(endpoints: &[SocketAddr], ip: IpAddr) -> io::Result<Vec<StreamProxy>> {
    endpoints.iter().map(|endpoint| StreamProxy::start(*endpoint, ip)).collect()
}

/// Starts a proxy from one router to each of the others.
fn start_links(from: usize, routers: &[SocketAddr], seed: u64) -> io::Result<Vec<Option<DatagramProxy>>> {
    let link = |(to, address): (usize, &SocketAddr)| {
        let seed = seed << 16 | (from << 8 | to) as u64;
        (from != to).then(|| DatagramProxy::start(*address, seed)).transpose()
    };
    routers.iter().enumerate().map(link).collect()
}
