//! The proxies of a cluster: one on each way between two routers, and one between each router and each endpoint.

use std::io;
use std::net::{IpAddr, SocketAddr};

use crate::fault_proxy::{DatagramProxy, LinkFaults, StreamFaults, StreamProxy};

use super::ClusterError;

/// The proxies of a cluster.
pub(super) struct Network {
    /// By the router that sends and the one that is sent to; none from a router to itself.
    links: Vec<Vec<Option<DatagramProxy>>>,
    /// By router and endpoint.
    streams: Vec<Vec<StreamProxy>>,
}

impl Network {
    /// Starts the proxies, with faults drawn from `seed`.
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

    /// Where one router reaches another; none for itself.
    pub(super) fn address_of_peer(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.links[from][to].as_ref().map(DatagramProxy::address)
    }

    /// Where a router reaches the endpoints.
    pub(super) fn addresses_of_endpoints(&self, router: usize) -> Vec<SocketAddr> {
        self.streams[router].iter().map(StreamProxy::address).collect()
    }

    /// Changes what happens on one way between two routers.
    pub(super) fn change_link(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkFaults)) {
        if let Some(link) = &self.links[from][to] {
            link.change_faults(change);
        }
    }

    /// Replaces what happens on all ways between routers.
    pub(super) fn set_all_links(&self, faults: LinkFaults) {
        self.links.iter().flatten().flatten().for_each(|link| link.set_faults(faults));
    }

    /// Changes what happens between a router and an endpoint.
    pub(super) fn change_stream(
        &self,
        router: usize,
        endpoint: usize,
        change: impl FnOnce(&mut StreamFaults),
    ) {
        self.streams[router][endpoint].change_faults(change);
    }

    /// Replaces what happens between routers and endpoints.
    pub(super) fn set_all_streams(&self, faults: StreamFaults) {
        self.streams.iter().flatten().for_each(|stream| stream.change_faults(|old| *old = faults));
    }

    /// Cuts every link between routers of different sides, and mends all others; `one_way` cuts only those from a lower
    /// side to a higher one.
    pub(super) fn partition(&self, side: impl Fn(usize) -> usize, one_way: bool) {
        for from in 0..self.links.len() {
            for to in 0..self.links.len() {
                let is_cut = side(from) != side(to) && (!one_way || side(from) < side(to));
                self.change_link(from, to, |faults| faults.cut = is_cut);
            }
        }
    }
}

/// A proxy to each endpoint.
fn start_streams(endpoints: &[SocketAddr], ip: IpAddr) -> io::Result<Vec<StreamProxy>> {
    endpoints.iter().map(|endpoint| StreamProxy::start(*endpoint, ip)).collect()
}

/// A proxy from one router to each of the others.
fn start_links(from: usize, routers: &[SocketAddr], seed: u64) -> io::Result<Vec<Option<DatagramProxy>>> {
    let link = |(to, address): (usize, &SocketAddr)| {
        let seed = seed << 16 | (from << 8 | to) as u64;
        (from != to).then(|| DatagramProxy::start(*address, seed)).transpose()
    };
    routers.iter().enumerate().map(link).collect()
}
