//! Speeds of engines, learned from the timing of attempts.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::decay::{DecayingRatio, decay_factor};
use crate::core::ids::Tokens;

const PRIOR_TOKENS_PER_MS: f64 = 32.0;
/// Network, scheduling and the first token.
const PRIOR_FIRST_EVENT_MS: f64 = 60.0;
const PRIOR_SLOT_MS: f64 = 250.0;
/// Estimates stay within this factor of their prior.
const MAX_FACTOR: f64 = 20.0;
/// Single samples count at most this far from the estimate: a turn may be long, or have queued.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Samples averaged by a service's estimates, some seconds of one instance's turns.
const SERVICE_SAMPLES: f64 = 48.0;
/// Without samples, the weight of earlier ones declines at this rate.
const SERVICE_MEMORY: Duration = Duration::from_secs(30);
/// Prompt length that, with an empty one, represents the prior among the samples.
const PRIOR_PROMPT_TOKENS: f64 = 2_000.0;
const PRIOR_WEIGHT: f64 = 0.5;
/// An instance has only some samples per upstream before the ratio has decayed.
const RATIO_WEIGHT: f64 = 0.2;
/// A slow upstream that gets no requests yields no samples; the decay lets it be tried again.
const RATIO_DECAY: Duration = Duration::from_secs(4);

/// Timing of one completed attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptTiming {
    /// Tokens that the upstream was expected to read.
    pub missing_tokens: Tokens,
    /// The upstream had a free slot according to the load view at the choice.
    pub found_slot: bool,
    /// From the start to the first event.
    pub first_event: Duration,
    /// From the first event to the end.
    pub streaming: Duration,
}

/// Sums for a least-squares line through first-event times over prompt tokens.
#[derive(Debug, Clone, Copy, Default)]
struct LineSums {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl LineSums {
    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.tokens *= factor;
        self.millis *= factor;
        self.tokens_squared *= factor;
        self.tokens_millis *= factor;
    }

    fn add(&mut self, tokens: f64, millis: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.millis += weight * millis;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_millis += weight * tokens * millis;
    }

    /// Milliseconds per token.
    fn slope(&self) -> f64 {
        (self.weight * self.tokens_millis - self.tokens * self.millis)
            / (self.weight * self.tokens_squared - self.tokens * self.tokens)
    }
}

/// Mean speeds of a service's upstreams.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceSpeed {
    /// Time until the first event of an empty prompt without a queue.
    first_event_ms: f64,
    ms_per_token: f64,
    prompts: LineSums,
    slot_ms: f64,
    slot_weight: f64,
    updated_at: Option<Instant>,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            first_event_ms: PRIOR_FIRST_EVENT_MS,
            ms_per_token: 1.0 / PRIOR_TOKENS_PER_MS,
            prompts: LineSums::default(),
            slot_ms: PRIOR_SLOT_MS,
            slot_weight: 1.0,
            updated_at: None,
        }
    }
}

impl ServiceSpeed {
    pub(super) fn prompt_ms(&self, tokens: f64) -> f64 {
        tokens * self.ms_per_token
    }

    pub(super) fn slot_ms(&self) -> f64 {
        self.slot_ms
    }

    fn first_event_ms(&self, tokens: f64) -> f64 {
        self.first_event_ms + self.prompt_ms(tokens)
    }

    fn age_samples(&mut self, now: Instant) {
        if let Some(at) = self.updated_at.replace(now) {
            let kept = decay_factor(now.saturating_duration_since(at), SERVICE_MEMORY);
            self.prompts.scale(kept);
            self.slot_weight *= kept;
        }
    }

    fn observe_first_event(&mut self, tokens: f64, millis: f64) {
        let millis = near(millis, self.first_event_ms(tokens));
        self.prompts.scale(1.0 - 1.0 / SERVICE_SAMPLES);
        self.prompts.add(tokens, millis, 1.0);
        let mut sums = self.prompts;
        let prior_ms = PRIOR_FIRST_EVENT_MS + PRIOR_PROMPT_TOKENS / PRIOR_TOKENS_PER_MS;
        sums.add(0.0, PRIOR_FIRST_EVENT_MS, PRIOR_WEIGHT);
        sums.add(PRIOR_PROMPT_TOKENS, prior_ms, PRIOR_WEIGHT);
        self.ms_per_token = bounded(sums.slope(), 1.0 / PRIOR_TOKENS_PER_MS);
        let first_event_ms = (sums.millis - self.ms_per_token * sums.tokens) / sums.weight;
        self.first_event_ms = bounded(first_event_ms, PRIOR_FIRST_EVENT_MS);
    }

    fn observe_slot(&mut self, millis: f64) {
        self.slot_weight = (self.slot_weight + 1.0).min(SERVICE_SAMPLES);
        let step = (near(millis, self.slot_ms) - self.slot_ms) / self.slot_weight.max(1.0);
        self.slot_ms = bounded(self.slot_ms + step, PRIOR_SLOT_MS);
    }
}

/// Durations at an upstream relative to the mean of its service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UpstreamSpeed {
    prompt: DecayingRatio,
    slot: DecayingRatio,
}

impl UpstreamSpeed {
    pub(super) fn prompt_ms(&self, service: &ServiceSpeed, tokens: f64, now: Instant) -> f64 {
        service.prompt_ms(tokens) * self.prompt.value_at(now, RATIO_DECAY)
    }

    /// Time that a request occupies a slot.
    pub(super) fn slot_ms(&self, service: &ServiceSpeed, now: Instant) -> f64 {
        service.slot_ms * self.slot.value_at(now, RATIO_DECAY)
    }

    pub(super) fn observe(
        &mut self,
        service: &mut ServiceSpeed,
        timing: &AttemptTiming,
        now: Instant,
    ) {
        let tokens = timing.missing_tokens as f64;
        let first_event_ms = timing.first_event.as_secs_f64() * 1e3;
        let expected_ms = service.first_event_ms(tokens);
        service.age_samples(now);
        // The rest of the wait was spent in the queue, without a slot.
        let mut prompt_ms =
            first_event_ms.min(expected_ms * self.prompt.value_at(now, RATIO_DECAY));
        if timing.found_slot {
            prompt_ms = first_event_ms;
            observe_ratio(&mut self.prompt, first_event_ms / expected_ms, now);
            service.observe_first_event(tokens, first_event_ms);
        }
        let slot_ms = prompt_ms + timing.streaming.as_secs_f64() * 1e3;
        observe_ratio(&mut self.slot, slot_ms / service.slot_ms, now);
        service.observe_slot(slot_ms);
    }
}

fn observe_ratio(known: &mut DecayingRatio, sample: f64, now: Instant) {
    let ratio = known.value_at(now, RATIO_DECAY);
    let step = RATIO_WEIGHT * (near(sample, ratio) - ratio);
    known.set(bounded(ratio + step, 1.0), now);
}

fn near(sample: f64, estimate: f64) -> f64 {
    sample.clamp(estimate / MAX_SAMPLE_FACTOR, estimate * MAX_SAMPLE_FACTOR)
}

fn bounded(estimate: f64, prior: f64) -> f64 {
    estimate.clamp(prior / MAX_FACTOR, prior * MAX_FACTOR)
}
