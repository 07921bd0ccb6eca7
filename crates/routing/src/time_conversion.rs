//! Conversion of times that other processes report to the router's clock: positions, start times, the commits that
//! clients name.
//!
//! [`crate::clock_offset`] decides how far the clocks are apart.

use crate::clock_offset::{ClockOffset, OffsetChange, PositionSample, PositionSource};
use crate::interface::{EndpointUpdate, LoadReport};

/// An endpoint as it was last listed, with its start time on the clock of others.
#[derive(Clone, Copy, Debug, Default)]
struct ListedEndpoint {
    update: EndpointUpdate,
    /// When that start time was first listed, on the router's clock.
    start_listed_at: f64,
}

/// Converts reported times to the router's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeConversion {
    clock_offset: ClockOffset,
    /// Indexed by endpoint.
    listed: Vec<ListedEndpoint>,
}

impl TimeConversion {
    /// Learns from the position in a report, and returns whether times are converted differently from now on.
    pub(crate) fn observe(
        &mut self,
        now: f64,
        endpoint: usize,
        source: PositionSource,
        report: &LoadReport,
    ) -> OffsetChange {
        let sample = self.sample(endpoint, source, report);
        sample.map_or(OffsetChange::None, |sample| self.clock_offset.observe(now, &sample))
    }

    /// Returns a report with its position converted to the router's clock.
    pub(crate) fn local_report(
        &self,
        now: f64,
        endpoint: usize,
        source: PositionSource,
        report: LoadReport,
    ) -> LoadReport {
        let sample = self.sample(endpoint, source, &report);
        let lsn = sample.and_then(|sample| self.clock_offset.local_position(now, &sample));
        LoadReport { lsn, ..report }
    }

    /// Returns entries of an endpoint list with their start times converted to the router's clock.
    pub(crate) fn local_updates(&mut self, now: f64, updates: &[EndpointUpdate]) -> Vec<EndpointUpdate> {
        for update in updates {
            self.record_listing(now, update);
        }
        updates.iter().map(|update| self.local_update(update.endpoint)).collect()
    }

    /// Returns the endpoints that are listed with a start time, with that time converted to the router's clock.
    pub(crate) fn started_endpoints(&self) -> Vec<EndpointUpdate> {
        let started = self.listed.iter().filter(|listed| listed.update.started_at.is_some());
        started.map(|listed| self.local_update(listed.update.endpoint)).collect()
    }

    /// Clears the entry of an index that represents no endpoint until it is listed again.
    pub(crate) fn forget(&mut self, endpoint: usize) {
        if let Some(listed) = self.listed.get_mut(endpoint) {
            *listed = ListedEndpoint::default();
        }
    }

    /// Returns the seconds since a commit that a client identifies by its position.
    pub(crate) fn since_commit(&self, now: f64, position: f64) -> f64 {
        self.clock_offset.since_commit(now, position)
    }

    fn sample(&self, endpoint: usize, source: PositionSource, report: &LoadReport) -> Option<PositionSample> {
        let group = self.listed.get(endpoint)?.update.group;
        Some(PositionSample { endpoint, group, role: report.role, source, position: report.lsn? })
    }

    fn record_listing(&mut self, now: f64, update: &EndpointUpdate) {
        self.clock_offset.record_group(update.group);
        if update.endpoint >= self.listed.len() {
            self.listed.resize(update.endpoint + 1, ListedEndpoint::default());
        }
        let listed = &mut self.listed[update.endpoint];
        if listed.update.started_at != update.started_at {
            listed.start_listed_at = now;
        }
        listed.update = *update;
    }

    fn local_update(&self, endpoint: usize) -> EndpointUpdate {
        let ListedEndpoint { update, start_listed_at } = self.listed[endpoint];
        let local_start = |started_at| self.clock_offset.local_start(started_at, start_listed_at);
        EndpointUpdate { started_at: update.started_at.map(local_start), ..update }
    }
}
