//! Which of discovery's lists are acted on. Answers to several calls may overtake each other, and discovery may begin to count
//! its versions anew.

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The list is to be acted on.
    Apply,
    /// The list is older than the one that was acted on.
    Superseded,
    /// Discovery's versions have begun anew, and the list names only changes: the complete list is requested.
    Incomplete,
}

/// The list that was last acted on.
#[derive(Clone, Copy, Debug)]
struct AppliedList {
    version: u64,
    /// Position of the last request that had been sent when the list was read.
    read_after: u64,
}

/// The order of discovery's lists. Requests are numbered in the order in which they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListOrder {
    applied: Option<AppliedList>,
    /// Number of the last request that had been sent when discovery's versions began anew, if they did: answers up to it have
    /// versions of the former count.
    versions_began_after: u64,
}

impl ListOrder {
    /// Returns the version of the list in use, if there is one.
    pub(crate) fn version(&self) -> Option<u64> {
        self.applied.map(|list| list.version)
    }

    /// Decides what becomes of a list of this version, complete or not, that answers the request numbered `request`; `last_request`
    /// is the last one that has been sent. A request that was sent before the list in use was read may be answered from before that
    /// list. If a later one is answered with a lower version, discovery's versions have begun anew.
    pub(crate) fn judge(
        &mut self,
        version: u64,
        is_complete: bool,
        request: u64,
        last_request: u64,
    ) -> Verdict {
        if request <= self.versions_began_after {
            return Verdict::Superseded;
        }
        if let Some(list) = self.applied.filter(|list| version < list.version) {
            if request <= list.read_after {
                return Verdict::Superseded;
            }
            self.versions_began_after = last_request;
            if !is_complete {
                self.applied = None;
                return Verdict::Incomplete;
            }
        }
        if self.version() != Some(version) {
            self.applied = Some(AppliedList { version, read_after: last_request });
        }
        Verdict::Apply
    }
}
