//! Decides where a request goes after an upstream that may have run it failed.

use derive_more::Display;

use super::MAX_LOSSES;
use crate::core::upstreams::UpstreamIncarnation;

/// An upstream that got the request and may have run it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentUpstream {
    incarnation: UpstreamIncarnation,
    /// Attempts that ended without a proof that the upstream lives on. A restart may keep the id, so
    /// each counts.
    lost: usize,
    /// It refused a connection after the request was sent to it.
    is_unreachable: bool,
}

/// The upstreams of one request, from its arrival to its end. None is ever taken out: what is learned
/// later about an upstream changes how it counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SentUpstreams(Vec<SentUpstream>);

/// What a route allows after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RerunLimits {
    /// The request may run again, and its deadline has not passed.
    pub may_run_again: bool,
    /// Maximum number of upstreams that run the request, not counting those that ended under it.
    pub max_attempts: u32,
    /// Reruns that are left at the upstream that has the request already.
    pub same_upstream_reruns: u32,
}

/// What is known when the decision is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RerunCounts {
    /// Upstreams that answered, or that may still run the request.
    pub running: usize,
    /// Upstreams that were or may have been lost under this fingerprint, by this request or an earlier
    /// one of its caller.
    pub lost: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RerunDecision {
    #[display("other_upstream")]
    OtherUpstream,
    #[display("same_upstream")]
    SameUpstream,
    /// The route allows no further run.
    #[display("forbidden")]
    Forbidden,
    /// As many upstreams were lost under the request as may be.
    #[display("upstreams_lost")]
    UpstreamsLost,
}

impl SentUpstreams {
    pub fn record_sent(&mut self, incarnation: UpstreamIncarnation) {
        if !self.0.iter().any(|sent| sent.incarnation == incarnation) {
            self.0.push(SentUpstream { incarnation, lost: 0, is_unreachable: false });
        }
    }

    pub fn record_lost(&mut self, incarnation: &UpstreamIncarnation) {
        if let Some(sent) = self.find(incarnation) {
            sent.lost += 1;
        }
    }

    pub fn record_unreachable(&mut self, incarnation: &UpstreamIncarnation) {
        if let Some(sent) = self.find(incarnation) {
            sent.is_unreachable = true;
        }
    }

    fn find(&mut self, incarnation: &UpstreamIncarnation) -> Option<&mut SentUpstream> {
        self.0.iter_mut().find(|sent| sent.incarnation == *incarnation)
    }

    pub fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|sent| *sent.incarnation.id == *id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// `is_listed` tells whether an incarnation is in the list of upstreams; `lost_before` is the
    /// number of upstreams that were or may have been lost under the fingerprint, as far as it is known
    /// here.
    pub fn counts(
        &self,
        is_listed: impl Fn(&UpstreamIncarnation) -> bool,
        lost_before: usize,
    ) -> RerunCounts {
        // An upstream that answered ran the request, even if it ended afterwards.
        let has_ended = |sent: &SentUpstream| {
            sent.lost > 0 && (sent.is_unreachable || !is_listed(&sent.incarnation))
        };
        let lost: usize = self.0.iter().map(|sent| sent.lost).sum();
        RerunCounts {
            running: self.0.iter().filter(|sent| !has_ended(sent)).count(),
            lost: lost.max(lost_before),
        }
    }
}

impl RerunLimits {
    /// A lost upstream counts against [`MAX_LOSSES`] whether or not it is known to have ended, so no
    /// evidence that comes, goes or is wrong lets a request reach more than
    /// `max_attempts + MAX_LOSSES - 1` upstreams.
    pub fn decide(&self, counts: RerunCounts) -> RerunDecision {
        if !self.may_run_again {
            RerunDecision::Forbidden
        } else if counts.lost >= MAX_LOSSES {
            RerunDecision::UpstreamsLost
        } else if counts.running < self.max_attempts as usize {
            RerunDecision::OtherUpstream
        } else if self.same_upstream_reruns > 0 {
            RerunDecision::SameUpstream
        } else {
            RerunDecision::Forbidden
        }
    }
}
