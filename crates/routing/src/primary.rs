//! Tracks the primary of a group by events and polling, following the paper that docs/design.md quotes.
//!
//! docs/design.md ("What is kept") quotes the paper for each of these functions and numbers the departures from it:
//! 7 and 19 list the failures after which an endpoint stops counting as the primary
//! ([`PrimaryTracker::clear_primary`]), 20 explains why an endpoint that has never reported its role does not stop
//! the group from working. In short: every answer and report that contains an endpoint's role updates the primary in
//! the same call; a group polls ([`PrimaryTracker::needs_polling`], carried out by `RouterState::poll`) until every
//! member has reported its role and sends reports; writes wait while the primary is unknown.

use crate::ids::EndpointId;
use crate::interface::Role;

/// The role that one endpoint has reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoleRecord {
    role: Option<Role>,
    /// Claims to be the primary are ignored if they are not newer than this time in seconds.
    not_primary_as_of: f64,
    /// Whether the endpoint sends load reports along with its answers.
    sends_reports: bool,
}

impl RoleRecord {
    /// Whether the endpoint has never reported its role.
    pub(crate) fn is_unknown(&self) -> bool {
        self.role.is_none()
    }

    /// Records that the endpoint sends load reports along with its answers.
    pub(crate) fn record_sends_reports(&mut self) {
        self.sends_reports = true;
    }

    /// Records that the endpoint was not the primary at time `at`, which invalidates its earlier claims.
    fn record_not_primary(&mut self, at: f64) {
        self.role = Some(Role::Replica);
        self.not_primary_as_of = self.not_primary_as_of.max(at);
    }
}

/// A role reported by an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleClaim {
    pub(crate) role: Role,
    /// The time in seconds that the claim refers to: the current time for an answer, the replication position for a
    /// load report.
    pub(crate) at: f64,
    /// Whether the role came with an answer rather than with a load report.
    pub(crate) in_answer: bool,
}

/// The primary of one group, as far as it is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrimaryTracker {
    primary: Option<EndpointId>,
    /// The endpoint last accepted as primary, and the time in seconds of the claim that was accepted. Both are kept
    /// when the primary is cleared: the next claim of this endpoint is accepted again, whatever its age, unless
    /// another endpoint has made a later claim.
    claimant: Option<EndpointId>,
    claimed_at: f64,
}

impl PrimaryTracker {
    /// The primary, if it is known.
    pub(crate) fn primary(&self) -> Option<EndpointId> {
        self.primary
    }

    pub(crate) fn is_primary(&self, endpoint: EndpointId) -> bool {
        self.primary == Some(endpoint)
    }

    /// Applies a role reported by an endpoint. Of two endpoints that claim to be the primary, the one with the later
    /// claim is accepted; an excluded endpoint never becomes primary.
    pub(crate) fn observe_role(
        &mut self,
        endpoint: EndpointId,
        record: &mut RoleRecord,
        claim: RoleClaim,
        is_excluded: bool,
    ) {
        match claim.role {
            Role::Primary if claim.at > record.not_primary_as_of => {
                record.role = Some(Role::Primary);
                let is_accepted = self.claimant == Some(endpoint) || claim.at > self.claimed_at;
                if is_accepted && !is_excluded {
                    self.primary = Some(endpoint);
                    self.claimant = Some(endpoint);
                    self.claimed_at = claim.at;
                }
            }
            Role::Primary => {}
            Role::Replica => {
                // A load report from before the accepted claim does not revoke it.
                if claim.in_answer || !self.is_primary(endpoint) || claim.at > self.claimed_at {
                    self.record_not_primary(endpoint, record, claim.at);
                }
            }
        }
    }

    /// Records that the endpoint was not the primary at time `at`: it reported so, or it refused a request that a
    /// primary accepts.
    pub(crate) fn record_not_primary(&mut self, endpoint: EndpointId, record: &mut RoleRecord, at: f64) {
        record.record_not_primary(at);
        self.clear_primary(endpoint);
    }

    /// Clears the primary if it is this endpoint, which may have failed. Its next claim is accepted again.
    pub(crate) fn clear_primary(&mut self, endpoint: EndpointId) {
        if self.is_primary(endpoint) {
            self.primary = None;
        }
    }

    /// Removes all state about the endpoint. Its identifier is about to be reused for another endpoint, which has made no
    /// claims yet.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.clear_primary(endpoint);
        self.claimant = self.claimant.filter(|claimant| *claimant != endpoint);
    }

    /// Whether the group has to poll: the primary is unknown, or a member has not reported its role or sends no
    /// reports.
    pub(crate) fn needs_polling<'a>(&self, mut members: impl Iterator<Item = &'a RoleRecord>) -> bool {
        self.primary.is_none() || members.any(|member| member.is_unknown() || !member.sends_reports)
    }
}
