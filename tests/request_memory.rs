//! Memory granted to requests in flight.

use std::collections::BTreeMap;

use merlinsaddle::core::memory::{
    MemoryBounds, MemoryDecision, MemoryLedger, MemoryRequest, MemoryStage, TicketId, WaitOutcome,
};
use proptest::prelude::*;

const MEGABYTE: usize = 1024 * 1024;
const LARGE: usize = 4 * MEGABYTE;
const SMALL: usize = 30 * 1024;
const MEMORY: usize = 130 * MEGABYTE;

fn bounds() -> MemoryBounds {
    MemoryBounds::of_process(MEMORY, MEMORY / 10)
}

fn request(rank: u8, needed: usize) -> MemoryRequest {
    MemoryRequest { rank, stage: MemoryStage::Unread, own: 0, needed, may_wait: true }
}

/// Requests until one is not granted; returns how many were.
fn fill(ledger: &mut MemoryLedger, rank: u8, needed: usize) -> usize {
    let granted = |ledger: &mut MemoryLedger| {
        let request = MemoryRequest { may_wait: false, ..request(rank, needed) };
        ledger.request(request).0 == MemoryDecision::Granted
    };
    std::iter::from_fn(|| granted(ledger).then_some(())).count()
}

fn ticket(ledger: &mut MemoryLedger, rank: u8, needed: usize) -> TicketId {
    match ledger.request(request(rank, needed)).0 {
        MemoryDecision::Waiting(ticket) => ticket,
        decision => panic!("{decision:?}"),
    }
}

#[test]
fn bounds_leave_memory_for_the_process_and_its_caches() {
    let lines = [1, 16, 64, 130, 280, 1024].map(|megabytes| {
        let memory = megabytes * MEGABYTE;
        let bounds = MemoryBounds::of_process(memory, memory / 10);
        let total = bounds.total * 100 / memory;
        let limit = |rank| bounds.limit(rank, LARGE, bounds.total / 2) * 100 / memory;
        format!(
            "{megabytes} MB: {total}% for requests, uploads {}% to {}%, {} may wait",
            limit(9),
            limit(0),
            bounds.max_waiting()
        )
    });
    insta::assert_snapshot!(lines.join("\n"), @r"
    1 MB: 25% for requests, uploads 18% to 21%, 1 may wait
    16 MB: 25% for requests, uploads 18% to 21%, 2 may wait
    64 MB: 30% for requests, uploads 22% to 26%, 9 may wait
    130 MB: 49% for requests, uploads 36% to 42%, 31 may wait
    280 MB: 58% for requests, uploads 44% to 51%, 82 may wait
    1024 MB: 65% for requests, uploads 48% to 57%, 333 may wait
    ");
}

/// Guards against uploads that leave no memory for small requests.
#[test]
fn small_requests_of_any_rank_find_room_beside_uploads() {
    let granted: Vec<String> = (0..10)
        .map(|rank| {
            let mut ledger = MemoryLedger::new(bounds());
            let uploads = fill(&mut ledger, 0, LARGE);
            fill(&mut ledger, 0, 5 * SMALL);
            format!("rank {rank}: {uploads} uploads, {} small", fill(&mut ledger, rank, SMALL))
        })
        .collect();
    insta::assert_snapshot!(granted.join("\n"), @r"
    rank 0: 13 uploads, 276 small
    rank 1: 13 uploads, 242 small
    rank 2: 13 uploads, 208 small
    rank 3: 13 uploads, 174 small
    rank 4: 13 uploads, 140 small
    rank 5: 13 uploads, 106 small
    rank 6: 13 uploads, 72 small
    rank 7: 13 uploads, 38 small
    rank 8: 13 uploads, 38 small
    rank 9: 13 uploads, 38 small
    ");
}

/// Guards against less urgent uploads that take the memory of urgent ones.
#[test]
fn urgent_uploads_find_room_beside_less_urgent_ones() {
    let mut ledger = MemoryLedger::new(bounds());
    let granted: Vec<usize> =
        [9, 5, 1, 0].iter().map(|rank| fill(&mut ledger, *rank, LARGE)).collect();
    insta::assert_debug_snapshot!(granted, @r"
    [
        11,
        0,
        2,
        0,
    ]
    ");
}

/// Guards against a wait that ends in the order of arrival only, or without end for a large request.
#[test]
fn memory_goes_to_the_most_urgent_waiting_request() {
    let mut ledger = MemoryLedger::new(bounds());
    fill(&mut ledger, 0, LARGE);
    let late = ticket(&mut ledger, 7, LARGE);
    let large = ticket(&mut ledger, 2, 3 * LARGE);
    let next = ticket(&mut ledger, 2, LARGE);
    let urgent = ticket(&mut ledger, 0, LARGE);
    let mut order = Vec::new();
    while ledger.waiting() > 0 {
        order.extend(ledger.release(LARGE));
    }
    assert_eq!(order, [urgent, large, next, late]);
}

/// Guards against a queue that grows with the load, whose unread bytes are in the kernel.
#[test]
fn full_queue_refuses_the_least_urgent() {
    let mut ledger = MemoryLedger::new(bounds());
    fill(&mut ledger, 0, LARGE);
    let waiting: Vec<TicketId> =
        (0..bounds().max_waiting()).map(|_| ticket(&mut ledger, 5, LARGE)).collect();
    let refused = MemoryDecision::Refused(WaitOutcome::QueueFull);
    assert_eq!(ledger.request(request(5, LARGE)), (refused, None));
    let (decision, displaced) = ledger.request(request(4, LARGE));
    assert!(matches!(decision, MemoryDecision::Waiting(_)), "{decision:?}");
    assert_eq!(displaced, waiting.last().copied());
    assert_eq!(ledger.waiting(), bounds().max_waiting());
}

#[test]
fn request_larger_than_any_share_is_refused_at_once() {
    let mut ledger = MemoryLedger::new(bounds());
    let refused = MemoryDecision::Refused(WaitOutcome::TooLarge);
    assert_eq!(ledger.request(request(0, bounds().total)).0, refused);
    let alone = request(9, bounds().lone_limit());
    assert_eq!(ledger.request(alone).0, MemoryDecision::Granted);
}

#[derive(Debug, Clone)]
enum Step {
    Request {
        rank: u8,
        stage: MemoryStage,
        needed: usize,
        may_wait: bool,
    },
    /// Grows one of the requests that hold memory.
    Grow {
        index: usize,
        needed: usize,
    },
    Release {
        index: usize,
    },
    Cancel {
        index: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let needed = prop_oneof![1..SMALL, SMALL..LARGE, LARGE..8 * LARGE];
    let stage = prop_oneof![Just(MemoryStage::Unread), Just(MemoryStage::Opening)];
    prop_oneof![
        4 => (0..10_u8, stage, needed.clone(), any::<bool>())
            .prop_map(|(rank, stage, needed, may_wait)| {
                Step::Request { rank, stage, needed, may_wait }
            }),
        1 => (any::<usize>(), needed).prop_map(|(index, needed)| Step::Grow { index, needed }),
        3 => any::<usize>().prop_map(|index| Step::Release { index }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Holder {
    rank: u8,
    stage: MemoryStage,
    held: usize,
}

/// Callers of the ledger, which account for what they hold themselves.
struct Load {
    ledger: MemoryLedger,
    holding: Vec<Holder>,
    waiting: BTreeMap<TicketId, Holder>,
}

impl Load {
    fn grant(&mut self, tickets: Vec<TicketId>) {
        for ticket in tickets {
            let granted = self.waiting.remove(&ticket).expect("only waiting requests are granted");
            self.holding.push(granted);
        }
    }

    fn growing(&self) -> usize {
        self.holding.iter().filter(|holder| holder.stage == MemoryStage::Opening).count()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { rank, stage, needed, may_wait } => {
                let request = MemoryRequest { rank, stage, own: 0, needed, may_wait };
                let (decision, displaced) = self.ledger.request(request);
                if let Some(displaced) = displaced {
                    let least = self.waiting.remove(&displaced).expect("it waited");
                    assert!(least.rank > rank);
                }
                let holder = Holder { rank, stage, held: needed };
                match decision {
                    MemoryDecision::Granted => self.holding.push(holder),
                    MemoryDecision::Waiting(ticket) => {
                        let earlier = self.waiting.insert(ticket, holder);
                        assert_eq!(earlier, None);
                    }
                    MemoryDecision::Refused(_) => {}
                }
            }
            Step::Grow { index, needed } if !self.holding.is_empty() => {
                let index = index % self.holding.len();
                let Holder { rank, stage, held: own } = self.holding[index];
                let stage = match stage {
                    MemoryStage::Opening => MemoryStage::Growing,
                    stage => stage,
                };
                let request = MemoryRequest { rank, stage, own, needed, may_wait: false };
                if self.ledger.request(request).0 == MemoryDecision::Granted {
                    self.holding[index].held += needed;
                }
            }
            Step::Release { index } if !self.holding.is_empty() => {
                let holder = self.holding.swap_remove(index % self.holding.len());
                if holder.stage == MemoryStage::Opening {
                    let granted = self.ledger.end_growth();
                    self.grant(granted);
                }
                let granted = self.ledger.release(holder.held);
                self.grant(granted);
            }
            Step::Cancel { index } if !self.waiting.is_empty() => {
                let tickets: Vec<TicketId> = self.waiting.keys().copied().collect();
                let ticket = tickets[index % tickets.len()];
                self.waiting.remove(&ticket);
                let granted = self.ledger.cancel(ticket);
                self.grant(granted);
            }
            Step::Grow { .. } | Step::Release { .. } | Step::Cancel { .. } => {}
        }
    }
}

proptest! {
    /// Guards against more memory being held than the bound, and against waits that nothing ends.
    #[test]
    fn load_stays_within_the_bound_and_drains(steps in prop::collection::vec(step(), 1..400)) {
        let ledger = MemoryLedger::new(bounds());
        let mut load = Load { ledger, holding: Vec::new(), waiting: BTreeMap::new() };
        for step in steps {
            load.apply(step);
            let held: usize = load.holding.iter().map(|holder| holder.held).sum();
            prop_assert_eq!(load.ledger.held(), held);
            prop_assert_eq!(load.ledger.waiting(), load.waiting.len());
            prop_assert!(held <= bounds().total);
            prop_assert!(load.growing() <= 1);
            prop_assert!(load.waiting.len() <= bounds().max_waiting());
        }
        while !load.holding.is_empty() {
            load.apply(Step::Release { index: 0 });
        }
        prop_assert_eq!((load.ledger.held(), load.waiting.len()), (0, 0));
    }
}

/// Guards against a small request that waits behind a large one for which there is no room.
#[test]
fn waiting_small_request_is_not_held_up_by_a_large_one() {
    let mut ledger = MemoryLedger::new(bounds());
    while fill(&mut ledger, 0, LARGE) > 0 {}
    fill(&mut ledger, 4, SMALL);
    let large = ticket(&mut ledger, 4, LARGE);
    let small = ticket(&mut ledger, 4, SMALL);
    let granted = ledger.release(SMALL);
    assert_eq!(granted, vec![small]);
    assert!(ledger.cancel(large).is_empty());
}

/// Guards against bodies of unknown length that are all half read and wait for each other, and against
/// one of them that holds up requests for which there is room.
#[test]
fn bodies_of_unknown_length_grow_one_at_a_time() {
    let mut ledger = MemoryLedger::new(bounds());
    let unknown = |stage, own, needed| MemoryRequest { stage, own, ..request(4, needed) };
    let opening = unknown(MemoryStage::Opening, 0, LARGE);
    assert_eq!(ledger.request(opening).0, MemoryDecision::Granted);
    let next = match ledger.request(opening).0 {
        MemoryDecision::Waiting(ticket) => ticket,
        decision => panic!("{decision:?}"),
    };
    fill(&mut ledger, 3, LARGE);
    let known = ticket(&mut ledger, 4, LARGE);
    let growing = unknown(MemoryStage::Growing, LARGE, LARGE);
    let MemoryDecision::Waiting(growing) = ledger.request(growing).0 else {
        panic!("there is no room");
    };
    let mut order: Vec<_> = (0..3).map(|_| ledger.release(LARGE)).collect();
    order.push(ledger.end_growth());
    order.push(ledger.release(LARGE));
    assert_eq!(order, [vec![], vec![growing], vec![known], vec![], vec![next]]);
}

/// Guards against answers that are cut off although they are small, or held without a bound.
#[test]
fn answers_are_held_as_far_as_there_is_memory() {
    let mut ledger = MemoryLedger::new(bounds());
    let mut answer = 0;
    while ledger.hold_answer(answer + LARGE, LARGE) {
        answer += LARGE;
    }
    assert_eq!(answer, bounds().total / LARGE * LARGE);
    let large = ledger.request(request(0, LARGE)).0;
    assert!(matches!(large, MemoryDecision::Waiting(_)), "{large:?}");
    // An answer that runs does not wait behind it, and a small one is held in any case.
    let left = bounds().total - answer;
    assert!(ledger.hold_answer(left, left));
    assert!(!ledger.hold_answer(left, 1));
    assert!(ledger.hold_answer(16 * 1024, 1));
    assert_eq!(ledger.held(), bounds().total + 1);
}
