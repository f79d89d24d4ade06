//! The limits that one instance keeps for all.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::limiter::{LimiterParams, LimiterRole, QuotaRequest, WorkspaceLimiter};
use super::view::QuotaView;
use super::{QuotaBounds, QuotaLimit, QuotaReply};
use crate::core::ids::WorkspaceId;

/// Pairs a reply with its question; drawn at random.
pub type QuotaRequestId = u64;

/// How long an answer is remembered, so that a question that is repeated is not counted twice: longer
/// than any asker repeats its own.
const REPLY_RETENTION: Duration = Duration::from_secs(1);
/// How long a limiter that has taken over gives out half of its share. Where a network falls apart, it
/// takes some two seconds until each piece knows how small it is; that long the former limiter and
/// this one both give out more than their part.
const TAKEOVER_DURATION: Duration = Duration::from_secs(2);

/// A limit in force, as an operator sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitSample {
    pub workspace: WorkspaceId,
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond that at once.
    pub burst: f64,
    /// Requests that may go on now; below zero where some wait.
    pub level: f64,
    /// Requests refused here so far.
    pub refused: u64,
    /// Whether this instance limits the workspace for all.
    #[serde(rename = "chief")]
    pub is_primary: bool,
}

/// One limiter and what it was last told.
#[derive(Debug)]
struct LimiterEntry {
    limiter: WorkspaceLimiter,
    /// As the members stood when it was last asked.
    params: LimiterParams,
    /// When it took over from another one.
    taken_over: Option<Instant>,
}

impl LimiterEntry {
    /// The limit as it is applied now: half of it while another one may not know yet.
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

/// A question about one request.
#[derive(Debug, Clone, Copy)]
pub struct LimiterRequest<'a> {
    /// The same for each time it is asked.
    pub id: QuotaRequestId,
    pub workspace: &'a WorkspaceId,
    pub quota_request: QuotaRequest,
    /// The workspace's limit by the configuration in force here.
    pub quota: QuotaLimit,
}

/// Answers whoever asks. It drops a limiter when the members say that another one limits the workspace,
/// and empties all of them when the process was paused.
#[derive(Debug)]
pub struct LimiterRegistry {
    bounds: QuotaBounds,
    by_program: bool,
    primaries: HashMap<WorkspaceId, LimiterEntry>,
    standbys: HashMap<WorkspaceId, LimiterEntry>,
    replies: HashMap<QuotaRequestId, (Instant, QuotaReply)>,
    /// The members by which the chiefs were last looked through.
    view_changed: Option<Instant>,
    /// Nothing given out before is known.
    since: Instant,
}

impl LimiterRegistry {
    /// `by_program` tells whether first requests are held to what their programs need.
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

    /// Empties all buckets after a pause. Meanwhile another one has taken over, and buckets that went on
    /// filling would give out their bursts a second time.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
        self.replies.clear();
        let entries = self.primaries.values_mut().chain(self.standbys.values_mut());
        entries.for_each(|entry| entry.limiter.drain(now));
    }

    /// Decides about a request; whether this instance limits the workspace for all.
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

    /// The limiter of a workspace, with the limit as the members stand.
    fn limiter(
        &mut self,
        request: &LimiterRequest<'_>,
        role: LimiterRole,
        view: &QuotaView,
        now: Instant,
    ) -> &mut LimiterEntry {
        let params = LimiterParams { quota: request.quota, bounds: self.bounds, role };
        let taken_over = view.taken_over(request.workspace);
        // Nobody has asked since it is this one's, so nothing was given out.
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

    /// Takes back a place; one of a limiter that is no longer here is lost.
    pub fn release(&mut self, workspace: &str, request: QuotaRequest, now: Instant) {
        if let Some(entry) = self.primaries.get_mut(workspace) {
            entry.limiter.release(request, entry.effective_params(now));
        }
    }

    /// To be called often: follows the members and forgets old answers.
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        self.drop_transferred(view, now);
        self.replies.retain(|_, (at, _)| now.saturating_duration_since(*at) < REPLY_RETENTION);
    }

    /// Drops the limiters of workspaces that have gone to another member: come back later, they begin
    /// empty, as the other one gives out the limit meanwhile.
    fn drop_transferred(&mut self, view: &QuotaView, now: Instant) {
        if self.view_changed == Some(view.changed()) {
            return;
        }
        self.view_changed = Some(view.changed());
        self.primaries.retain(|workspace, _| view.role(workspace, now).is_primary());
    }

    /// The limits in force here, by name.
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
