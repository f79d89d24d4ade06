//! Orders in which an engine's queue is served.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::time::Instant;

use super::slots::{ServiceClass, SlotRequest};
use crate::core::ids::{Tokens, WorkspaceId};

pub trait QueuePolicy {
    /// Index into `waiting`, or `None` if it is empty.
    fn pick(&self, waiting: &[SlotRequest], now: Instant) -> Option<usize>;

    /// Called for every grant.
    fn record_grant(&mut self, _request: &SlotRequest) {}
}

/// Orders by class, the workspace's weighted service and the program's attained service. Aging and
/// a minimum rate of trial grants prevent starvation.
#[derive(Debug, Default)]
pub struct LeastAttainedService {
    /// Weighted service of each workspace.
    service: BTreeMap<WorkspaceId, f64>,
    /// Weighted service at which a new workspace starts.
    floor: f64,
    /// Since the last grant to trial work.
    paying_grants: u32,
}

/// One grant in twenty goes to waiting trial work, however much paying work waits. Promotion by age
/// instead would promote the entire backlog of a surge, or nothing where deadlines are shorter than
/// the age.
const PAYING_GRANTS_PER_TRIAL: u32 = 19;
/// Deducted from a program's attained service for each second that its call waits.
const AGING_TOKENS_PER_SECOND: Tokens = 200;

impl LeastAttainedService {
    fn service(&self, workspace: &str) -> f64 {
        self.service.get(workspace).copied().unwrap_or(self.floor).max(self.floor)
    }
}

impl QueuePolicy for LeastAttainedService {
    fn pick(&self, waiting: &[SlotRequest], now: Instant) -> Option<usize> {
        let trial_turn = self.paying_grants >= PAYING_GRANTS_PER_TRIAL;
        let rank = |index: &usize| {
            let request = &waiting[*index];
            let waited = now.saturating_duration_since(request.arrived);
            let aging_credit = waited.as_millis() as Tokens * AGING_TOKENS_PER_SECOND / 1000;
            let service = (self.service(&request.workspace) * 1000.0) as u64;
            let attained = request.attained.saturating_sub(aging_credit);
            let after = (request.class == ServiceClass::Paying) == trial_turn;
            (after, service, attained, request.arrived)
        };
        (0..waiting.len()).min_by_key(rank)
    }

    fn record_grant(&mut self, request: &SlotRequest) {
        self.paying_grants = match request.class {
            ServiceClass::Paying => self.paying_grants.saturating_add(1),
            ServiceClass::Trial => 0,
        };
        let service = self.service(&request.workspace);
        self.floor = self.floor.max(service.min(self.floor + 1.0));
        let cost = f64::from(request.tokens.max(1)) / f64::from(request.weight.max(1));
        self.service.insert(request.workspace.clone(), service + cost);
        let lowest = self.service.values().copied().fold(f64::INFINITY, f64::min);
        self.floor = self.floor.max(lowest);
    }
}

/// Baseline.
#[derive(Debug, Default)]
pub struct FirstComeFirstServed;

impl QueuePolicy for FirstComeFirstServed {
    fn pick(&self, waiting: &[SlotRequest], _now: Instant) -> Option<usize> {
        (0..waiting.len()).min_by_key(|index| (waiting[*index].arrived, waiting[*index].permit))
    }
}

/// Baseline that ignores programs: paying before trial, then the shortest call.
#[derive(Debug, Default)]
pub struct ShortestCallFirst;

impl QueuePolicy for ShortestCallFirst {
    fn pick(&self, waiting: &[SlotRequest], _now: Instant) -> Option<usize> {
        let rank = |index: &usize| {
            let request = &waiting[*index];
            (request.class, request.tokens, Reverse(request.weight), request.arrived)
        };
        (0..waiting.len()).min_by_key(rank)
    }
}
