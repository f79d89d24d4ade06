//! The limiters that one instance runs for the others.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::limiter::{LimiterParams, LimiterRole, QuotaRequest, WorkspaceLimiter};
use super::view::QuotaView;
use super::{QuotaBounds, QuotaLimit, QuotaReply};
use crate::core::ids::WorkspaceId;

/// Random; the same for each repetition of a request.
pub type QuotaRequestId = u64;

/// Replies are kept so that a repeated request is not counted twice. Longer than any member repeats
/// one.
const REPLY_RETENTION: Duration = Duration::from_secs(1);
/// A limiter that has taken over grants half of its share for this time: after a network partition
/// both sides overestimate their shares until they have detected which members are lost, which
/// takes about 2 s.
const TAKEOVER_DURATION: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitSample {
    pub workspace: WorkspaceId,
    /// Requests per second.
    pub rate: f64,
    /// Requests.
    pub burst: f64,
    /// Available requests; negative if permits are delayed.
    pub level: f64,
    /// Requests refused by this instance.
    pub refused: u64,
    #[serde(rename = "chief")]
    pub is_primary: bool,
}

#[derive(Debug)]
struct LimiterEntry {
    limiter: WorkspaceLimiter,
    /// As of the last request.
    params: LimiterParams,
    taken_over: Option<Instant>,
}

impl LimiterEntry {
    /// Halves the share shortly after a takeover.
    fn effective_params(&self, now: Instant) -> LimiterParams {
        let age = self.taken_over.map(|at| now.saturating_duration_since(at));
        let role = match self.params.role {
            LimiterRole::Primary { share } if age.is_some_and(|age| age < TAKEOVER_DURATION) => {
                LimiterRole::Primary { share: share / 2.0 }
            }
            role => role,
        };
        LimiterParams { role, ..self.params }
    }
}

#[derive(Debug, Clone, Copy)]
pub struct LimiterRequest<'a> {
    pub id: QuotaRequestId,
    pub workspace: &'a WorkspaceId,
    pub quota_request: QuotaRequest,
    /// The limit in the configuration of this instance.
    pub quota: QuotaLimit,
}

#[derive(Debug)]
pub struct LimiterRegistry {
    bounds: QuotaBounds,
    by_program: bool,
    primaries: HashMap<WorkspaceId, LimiterEntry>,
    standbys: HashMap<WorkspaceId, LimiterEntry>,
    replies: HashMap<QuotaRequestId, (Instant, QuotaReply)>,
    /// The change of the view up to which transferred limiters were dropped.
    view_changed: Option<Instant>,
    /// Permits granted before this time are unknown.
    since: Instant,
}

impl LimiterRegistry {
    /// `by_program` limits first requests by the expected requests of their programs.
    pub fn new(bounds: QuotaBounds, by_program: bool, now: Instant) -> Self {
        Self {
            bounds,
            by_program,
            primaries: HashMap::new(),
            standbys: HashMap::new(),
            replies: HashMap::new(),
            view_changed: None,
            since: now,
        }
    }

    /// Empties all buckets after a pause of the process. Another member has taken over meanwhile,
    /// so bursts that accumulated here would be granted twice.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
        self.replies.clear();
        let entries = self.primaries.values_mut().chain(self.standbys.values_mut());
        entries.for_each(|entry| entry.limiter.drain(now));
    }

    /// Returns the reply, and whether this instance is the primary of the workspace.
    pub fn decide(
        &mut self,
        request: LimiterRequest<'_>,
        view: &QuotaView,
        now: Instant,
    ) -> (QuotaReply, bool) {
        self.drop_transferred(view, now);
        let role = view.role(request.workspace, now);
        let is_primary = role.is_primary();
        if let Some((_, reply)) = self.replies.get(&request.id) {
            return (*reply, is_primary);
        }
        let by_program = self.by_program;
        let entry = self.limiter(&request, role, view, now);
        let reply = entry.limiter.decide(
            request.quota_request,
            entry.effective_params(now),
            by_program,
            now,
        );
        self.replies.insert(request.id, (now, reply));
        (reply, is_primary)
    }

    /// Returns the limiter of a workspace with updated parameters, and creates it if necessary.
    fn limiter(
        &mut self,
        request: &LimiterRequest<'_>,
        role: LimiterRole,
        view: &QuotaView,
        now: Instant,
    ) -> &mut LimiterEntry {
        let params = LimiterParams { quota: request.quota, bounds: self.bounds, role };
        let taken_over = view.taken_over(request.workspace);
        // No request came since this instance became responsible, so no permit was granted.
        let (empty, entries) = match role {
            LimiterRole::Primary { .. } => {
                (self.since.max(taken_over.unwrap_or(self.since)), &mut self.primaries)
            }
            LimiterRole::Standby | LimiterRole::Observer => (now, &mut self.standbys),
        };
        let fresh = || {
            let limiter = WorkspaceLimiter::new(empty, params, now);
            LimiterEntry { limiter, params, taken_over }
        };
        let entry = entries.entry(request.workspace.clone()).or_insert_with(fresh);
        entry.params = params;
        entry
    }

    /// Permits of limiters that were dropped are ignored.
    pub fn release(&mut self, workspace: &str, request: QuotaRequest, now: Instant) {
        if let Some(entry) = self.primaries.get_mut(workspace) {
            entry.limiter.release(request, entry.effective_params(now));
        }
    }

    /// Must be called regularly. Drops transferred limiters and expired replies.
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        self.drop_transferred(view, now);
        self.replies.retain(|_, (at, _)| now.saturating_duration_since(*at) < REPLY_RETENTION);
    }

    /// Drops the limiters of workspaces that another member limits now. If they return they start
    /// empty, as the other member has granted the limit meanwhile.
    fn drop_transferred(&mut self, view: &QuotaView, now: Instant) {
        if self.view_changed == Some(view.changed()) {
            return;
        }
        self.view_changed = Some(view.changed());
        self.primaries.retain(|workspace, _| view.role(workspace, now).is_primary());
    }

    /// Sorted by workspace.
    pub fn samples(&self, now: Instant) -> Vec<LimitSample> {
        let sample = |(workspace, entry): (&WorkspaceId, &LimiterEntry)| LimitSample {
            workspace: workspace.clone(),
            rate: entry.params.quota.rate,
            burst: entry.params.quota.burst,
            level: entry.limiter.level(entry.effective_params(now), now),
            refused: entry.limiter.refused(),
            is_primary: entry.params.role.is_primary(),
        };
        let entries = self.primaries.iter().chain(&self.standbys);
        let mut samples: Vec<_> = entries.map(sample).collect();
        samples.sort_by(|a, b| (&a.workspace, b.is_primary).cmp(&(&b.workspace, a.is_primary)));
        samples
    }
}
