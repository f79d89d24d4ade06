//! Grants memory to requests in flight, in the order of their rank and arrival.

use std::collections::BTreeMap;

use derive_more::Display;

use super::MemoryBounds;

pub type TicketId = u64;

/// An answer up to this size is held in any case.
const SMALL_ANSWER_BYTES: usize = 16 * 1024;
/// Place of the body that grows, before all others of its rank.
const GROWING_TICKET: TicketId = 0;

/// How far the body of a request has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryStage {
    /// Its length is known or small, and the kernel holds the bytes that have come.
    Unread,
    /// Its length is not known. Only one large body of this kind grows at a time, as several that are
    /// half read would wait for each other.
    Opening,
    /// The body that grows.
    Growing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryRequest {
    /// 0 is the most urgent.
    pub rank: u8,
    pub stage: MemoryStage,
    /// Bytes that the request holds already.
    pub own: usize,
    /// Bytes that it needs in addition.
    pub needed: usize,
    /// The request can be refused later, so it may wait.
    pub may_wait: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryDecision {
    Granted,
    Waiting(TicketId),
    Refused(WaitOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WaitOutcome {
    #[display("granted")]
    Granted,
    /// Exceeds what any request gets.
    #[display("too_large")]
    TooLarge,
    #[display("no_time")]
    NoTime,
    /// All places to wait have requests that are at least as urgent.
    #[display("queue_full")]
    QueueFull,
    #[display("timed_out")]
    TimedOut,
    /// Stopped sending its body while others wait for memory.
    #[display("stalled")]
    Stalled,
}

impl WaitOutcome {
    pub fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::TooLarge => "too_large",
            Self::NoTime => "no_time",
            Self::QueueFull => "queue_full",
            Self::TimedOut => "timed_out",
            Self::Stalled => "stalled",
        }
    }
}

/// Waiting requests are ordered by rank, then by arrival.
type WaitKey = (u8, TicketId);

#[derive(Debug)]
pub struct MemoryLedger {
    bounds: MemoryBounds,
    held: usize,
    waiting: BTreeMap<WaitKey, MemoryRequest>,
    /// A body of unknown length has been granted its opening and has not ended its growth.
    is_growing: bool,
    last_ticket: TicketId,
}

impl MemoryLedger {
    pub fn new(bounds: MemoryBounds) -> Self {
        Self { bounds, held: 0, waiting: BTreeMap::new(), is_growing: false, last_ticket: 0 }
    }

    pub fn bounds(&self) -> MemoryBounds {
        self.bounds
    }

    /// Bytes held by all requests.
    pub fn held(&self) -> usize {
        self.held
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a request. A waiting one that has to leave its place to this one is returned too.
    pub fn request(&mut self, request: MemoryRequest) -> (MemoryDecision, Option<TicketId>) {
        if request.own + request.needed > self.bounds.lone_limit() {
            return (MemoryDecision::Refused(WaitOutcome::TooLarge), None);
        }
        if !self.is_behind_others(&request) && self.fits(&request) {
            self.grant(&request);
            return (MemoryDecision::Granted, None);
        }
        if !request.may_wait {
            return (MemoryDecision::Refused(WaitOutcome::NoTime), None);
        }
        let mut displaced = None;
        if request.stage == MemoryStage::Growing {
            self.waiting.insert((request.rank, GROWING_TICKET), request);
            return (MemoryDecision::Waiting(GROWING_TICKET), None);
        }
        if self.waiting.len() >= self.bounds.max_waiting() {
            let last = self.waiting.last_key_value().map(|(key, _)| *key);
            match last.filter(|(rank, _)| *rank > request.rank) {
                Some(key) => {
                    self.waiting.remove(&key);
                    displaced = Some(key.1);
                }
                None => return (MemoryDecision::Refused(WaitOutcome::QueueFull), None),
            }
        }
        self.last_ticket += 1;
        self.waiting.insert((request.rank, self.last_ticket), request);
        (MemoryDecision::Waiting(self.last_ticket), displaced)
    }

    fn grant(&mut self, request: &MemoryRequest) {
        self.held += request.needed;
        self.is_growing |= request.stage == MemoryStage::Opening;
    }

    /// Small requests have their reserve and do not queue behind large ones. The body that grows holds
    /// memory that others wait for, so it goes before those of its rank.
    fn is_behind_others(&self, request: &MemoryRequest) -> bool {
        let first = self.waiting.first_key_value().map(|(key, _)| key.0);
        let is_first = |rank| match request.stage {
            MemoryStage::Growing => rank < request.rank,
            MemoryStage::Unread | MemoryStage::Opening => rank <= request.rank,
        };
        !self.bounds.is_small(request.own + request.needed) && first.is_some_and(is_first)
    }

    fn must_wait_for_growth(&self, request: &MemoryRequest) -> bool {
        request.stage == MemoryStage::Opening && self.is_growing
    }

    fn fits(&self, request: &MemoryRequest) -> bool {
        if self.must_wait_for_growth(request) {
            return false;
        }
        let own = request.own + request.needed;
        let others = self.held.saturating_sub(request.own);
        others + own <= self.bounds.limit(request.rank, own, others)
    }

    /// Holds `more` bytes for an answer that then has `own`. Answers do not wait behind requests, as they
    /// end the sooner; returns false if all of the memory is held, unless the answer is small.
    pub fn hold_answer(&mut self, own: usize, more: usize) -> bool {
        let is_held = own <= SMALL_ANSWER_BYTES || self.held + more <= self.bounds.total;
        if is_held {
            self.held += more;
        }
        is_held
    }

    /// Returns the waiting requests that are granted now.
    pub fn release(&mut self, bytes: usize) -> Vec<TicketId> {
        self.held = self.held.checked_sub(bytes).expect("only what is held is released");
        self.grant_waiting()
    }

    /// The body that grew has been read, or given up. Returns the waiting requests that are granted now.
    pub fn end_growth(&mut self) -> Vec<TicketId> {
        self.is_growing = false;
        self.grant_waiting()
    }

    /// Removes a waiting request. Returns those that are granted now.
    pub fn cancel(&mut self, ticket: TicketId) -> Vec<TicketId> {
        self.waiting.retain(|(_, waiting), _| *waiting != ticket);
        self.grant_waiting()
    }

    /// In order: a large request that does not fit yet would otherwise be overtaken by other large ones
    /// without end. Small ones have a reserve of their own.
    fn grant_waiting(&mut self) -> Vec<TicketId> {
        let mut granted = Vec::new();
        let mut is_large_blocked = false;
        let keys: Vec<_> = self.waiting.keys().copied().collect();
        for key in keys {
            let request = self.waiting[&key];
            let is_large = !self.bounds.is_small(request.own + request.needed);
            if (is_large && is_large_blocked) || !self.fits(&request) {
                // One that waits for the growth of another leaves its memory to others.
                is_large_blocked |= is_large && !self.must_wait_for_growth(&request);
                continue;
            }
            self.waiting.remove(&key);
            self.grant(&request);
            granted.push(key.1);
        }
        granted
    }
}
