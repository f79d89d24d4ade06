//! The load of upstreams as one instance knows it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{LoadKey, UpstreamLoad};

/// Older counts say little: a turn at an engine takes some hundred milliseconds.
const MAX_AGE: Duration = Duration::from_millis(300);

/// Attempts of this instance, and those of the others at the time of the last summary.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    own: HashMap<LoadKey, UpstreamLoad>,
    others: HashMap<LoadKey, UpstreamLoad>,
    updated_at: Option<Instant>,
}

impl LoadView {
    /// `None` without a recent summary.
    pub fn load(&self, key: LoadKey, now: Instant) -> Option<UpstreamLoad> {
        if !self.is_fresh(now) {
            return None;
        }
        let others = self.others.get(&key).copied().unwrap_or_default();
        Some(others + self.own(key))
    }

    /// Attempts of this instance alone.
    pub fn own(&self, key: LoadKey) -> UpstreamLoad {
        self.own.get(&key).copied().unwrap_or_default()
    }

    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_AGE)
    }

    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.updated_at.map(|at| now.saturating_duration_since(at))
    }

    /// Replaces the counts of the other instances.
    pub fn set_others(&mut self, others: HashMap<LoadKey, UpstreamLoad>, now: Instant) {
        self.others = others;
        self.updated_at = Some(now);
    }

    /// Forgets the counts of the other instances.
    pub fn clear_others(&mut self) {
        self.others.clear();
        self.updated_at = None;
    }

    pub fn started(&mut self, key: LoadKey) {
        let load = self.own.entry(key).or_default();
        load.running += 1;
        load.waiting += 1;
    }

    pub fn first_byte(&mut self, key: LoadKey) {
        if let Some(load) = self.own.get_mut(&key) {
            load.waiting = load.waiting.saturating_sub(1);
        }
    }

    /// `waited` if the attempt ended without a first byte.
    pub fn ended(&mut self, key: LoadKey, waited: bool) {
        let Some(load) = self.own.get_mut(&key) else { return };
        load.running = load.running.saturating_sub(1);
        if waited {
            load.waiting = load.waiting.saturating_sub(1);
        }
        if load.is_zero() {
            self.own.remove(&key);
        }
    }

    /// Replaces the upstreams that this instance reports as failed.
    pub fn set_failing(&mut self, failing: &[(LoadKey, u32)]) {
        self.own.values_mut().for_each(|load| load.failing = 0);
        for (key, weight) in failing {
            self.own.entry(*key).or_default().failing = *weight;
        }
        self.own.retain(|_, load| !load.is_zero());
    }

    /// Upstreams that any instance reports as failed.
    pub fn failing_keys(&self) -> impl Iterator<Item = LoadKey> + '_ {
        let all = self.own.iter().chain(&self.others);
        all.filter(|(_, load)| load.failing > 0).map(|(key, _)| *key)
    }

    /// Own counts that are not zero.
    pub fn own_counts(&self) -> impl Iterator<Item = (LoadKey, UpstreamLoad)> + '_ {
        self.own.iter().map(|(key, load)| (*key, *load))
    }
}
