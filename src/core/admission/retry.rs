//! Bounds the attempts at further upstreams, so that a fault does not multiply the load.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::decay::DecayingSum;
use crate::core::routing::ServiceName;

/// Further attempts per recent success.
const SUCCESS_SHARE: f64 = 0.2;
/// Further attempts per second in addition, so that a service without much load can retry.
const ATTEMPTS_PER_SECOND: f64 = 3.0;
/// Time constant with which successes and attempts are forgotten. An upstream that stops is detected
/// within it.
const MEMORY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct ServiceRetries {
    successes: DecayingSum,
    attempts: DecayingSum,
}

impl ServiceRetries {
    fn limit(&self, now: Instant) -> f64 {
        let successes = self.successes.value_at(now, MEMORY);
        successes * SUCCESS_SHARE + ATTEMPTS_PER_SECOND * MEMORY.as_secs_f64()
    }
}

/// Further attempts that each service may still make.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, ServiceRetries>,
}

impl RetryBudget {
    fn service(&mut self, service: &str) -> &mut ServiceRetries {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), ServiceRetries::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }

    pub fn record_success(&mut self, service: &str, now: Instant) {
        self.service(service).successes.add(1.0, now, MEMORY);
    }

    /// Counts an attempt that is made in any case.
    pub fn record_attempt(&mut self, service: &str, now: Instant) {
        self.service(service).attempts.add(1.0, now, MEMORY);
    }

    /// Counts a further attempt if the budget allows it.
    pub fn try_attempt(&mut self, service: &str, now: Instant) -> bool {
        let retries = self.service(service);
        let is_allowed = retries.attempts.value_at(now, MEMORY) + 1.0 <= retries.limit(now);
        if is_allowed {
            retries.attempts.add(1.0, now, MEMORY);
        }
        is_allowed
    }
}
