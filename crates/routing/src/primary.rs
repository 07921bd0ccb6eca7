//! Tracking a group's primary by event and poll: the mechanism of the paper.
//!
//! docs/design.md ("What is kept") sets the paper's words beside these functions, and numbers the departures: 7 and 19
//! say which losses take the role ([`PrimaryTracker::unseat`]), 20 why an endpoint that was never heard of keeps no group
//! from working. In short: every answer and report that tells an endpoint's role moves the primary in the call that brings
//! it; a group polls ([`PrimaryTracker::polls`], carried out by `RouterState::poll`) until every member has told its role and
//! sends reports; writes wait while no primary is known.

use crate::ids::EndpointId;
use crate::interface::Role;

/// What one endpoint says of its role.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoleRecord {
    role: Option<Role>,
    /// Claims of being primary that are not newer than this are disregarded.
    denied_at: f64,
    /// It sends reports beside its answers.
    sends_reports: bool,
}

impl RoleRecord {
    /// Whether the endpoint has never told its role.
    pub(crate) fn is_unknown(&self) -> bool {
        self.role.is_none()
    }

    /// The endpoint sends reports beside its answers.
    pub(crate) fn record_sends_reports(&mut self) {
        self.sends_reports = true;
    }

    /// The endpoint is no primary at that time; what it claimed before counts no more.
    fn deny(&mut self, at: f64) {
        self.role = Some(Role::Replica);
        self.denied_at = self.denied_at.max(at);
    }
}

/// A role that an endpoint has told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleClaim {
    pub(crate) role: Role,
    /// The time of which it speaks: an answer speaks of now, a report of its position.
    pub(crate) at: f64,
    /// It came with an answer.
    pub(crate) in_answer: bool,
}

/// The primary of one group, as far as it is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrimaryTracker {
    primary: Option<EndpointId>,
    /// The endpoint last believed to be primary, and by a claim of which time. It outlives the primary: its next claim is
    /// believed again, whatever its age, unless another one claimed later.
    claimant: Option<EndpointId>,
    claimed_at: f64,
}

impl PrimaryTracker {
    /// The primary, if one is known.
    pub(crate) fn primary(&self) -> Option<EndpointId> {
        self.primary
    }

    /// Whether that endpoint is the primary.
    pub(crate) fn is_primary(&self, endpoint: EndpointId) -> bool {
        self.primary == Some(endpoint)
    }

    /// An endpoint tells its role. Of two claimants the later one is believed; an excluded one never becomes primary.
    pub(crate) fn hear(
        &mut self,
        endpoint: EndpointId,
        record: &mut RoleRecord,
        claim: RoleClaim,
        is_excluded: bool,
    ) {
        match claim.role {
            Role::Primary if claim.at > record.denied_at => {
                record.role = Some(Role::Primary);
                let is_believed = self.claimant == Some(endpoint) || claim.at > self.claimed_at;
                if is_believed && !is_excluded {
                    self.primary = Some(endpoint);
                    self.claimant = Some(endpoint);
                    self.claimed_at = claim.at;
                }
            }
            Role::Primary => {}
            Role::Replica => {
                // A report from before the claim undoes nothing.
                if claim.in_answer || !self.is_primary(endpoint) || claim.at > self.claimed_at {
                    self.deny(endpoint, record, claim.at);
                }
            }
        }
    }

    /// The endpoint is no primary at that time, by its own report or as it refused what a primary takes.
    pub(crate) fn deny(&mut self, endpoint: EndpointId, record: &mut RoleRecord, at: f64) {
        record.deny(at);
        self.unseat(endpoint);
    }

    /// The endpoint may have been lost as a primary; its next claim is believed again.
    pub(crate) fn unseat(&mut self, endpoint: EndpointId) {
        if self.is_primary(endpoint) {
            self.primary = None;
        }
    }

    /// The endpoint's identifier is about to stand for another one, whose claims are those of a stranger.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.unseat(endpoint);
        self.claimant = self.claimant.filter(|claimant| *claimant != endpoint);
    }

    /// Whether the group polls: it has no primary, or a member has not told its role or sends no reports.
    pub(crate) fn polls<'a>(&self, mut members: impl Iterator<Item = &'a RoleRecord>) -> bool {
        self.primary.is_none() || members.any(|member| member.is_unknown() || !member.sends_reports)
    }
}
