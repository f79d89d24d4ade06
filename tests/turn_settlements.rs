//! Ledgers and settlements of several instances, some of which die, without a store.

use std::collections::{BTreeMap, BTreeSet};

use merlinsaddle::core::turns::{
    ProgramLedger, ProgramName, ReserveReply, TurnId, TurnSettlement, TurnSettlements,
};
use proptest::prelude::*;

const INSTANCES: usize = 3;
const BUDGET: u64 = 200;
/// By a clock that does not advance.
const CLAIM_EXPIRY: u64 = 1;

/// An event of one program, whose turns come to any instance and are claimed at any other.
#[derive(Debug, Clone)]
enum ProgramStep {
    /// `lost`: the reply to the ledger write is lost, and the write is made again.
    Start { instance: usize, coordinator: usize, max_tokens: u64, lost: bool },
    /// The coordinator does not answer, so the instance claims the turn itself.
    TakeOver { instance: usize, coordinator: usize, max_tokens: u64 },
    /// A coordinator reads the claims that came while it did not answer.
    Resume { coordinator: usize },
    /// The oldest turn ends; `told` if its coordinator hears of it.
    End { used: u64, told: bool },
    /// An instance writes the settlements that it knows.
    Settle { instance: usize },
    /// The next incarnation starts without state.
    Kill { instance: usize },
}

fn steps() -> impl Strategy<Value = Vec<ProgramStep>> {
    let instance = 0..INSTANCES;
    let start = (instance.clone(), instance.clone(), 1..40_u64, prop::bool::weighted(0.2));
    let step = prop_oneof![
        4 => start.prop_map(|(instance, coordinator, max_tokens, lost)| ProgramStep::Start {
            instance, coordinator, max_tokens, lost
        }),
        2 => (instance.clone(), instance.clone(), 1..40_u64).prop_map(
            |(instance, coordinator, max_tokens)| ProgramStep::TakeOver {
                instance, coordinator, max_tokens
            }
        ),
        2 => instance.clone().prop_map(|coordinator| ProgramStep::Resume { coordinator }),
        4 => (0..40_u64, any::<bool>()).prop_map(|(used, told)| ProgramStep::End { used, told }),
        2 => instance.clone().prop_map(|instance| ProgramStep::Settle { instance }),
        1 => instance.prop_map(|instance| ProgramStep::Kill { instance }),
    ];
    prop::collection::vec(step, 1..120)
}

/// One incarnation of an instance.
#[derive(Default)]
struct Instance {
    /// The version and state of the ledger when it was last read or written.
    seen: (u64, ProgramLedger),
    settlements: TurnSettlements,
}

struct RunningTurn {
    id: TurnId,
    instance: usize,
    coordinator: usize,
    max_tokens: u64,
    taken_over_until: Option<u64>,
}

/// A claim that its coordinator has not read yet.
struct LateClaim {
    id: TurnId,
    coordinator: usize,
    max_tokens: u64,
}

struct UnsettledTurn {
    unused: u64,
    known_at: BTreeSet<usize>,
}

struct World {
    program: ProgramName,
    stored: (u64, ProgramLedger),
    instances: Vec<Instance>,
    running: Vec<RunningTurn>,
    late: Vec<LateClaim>,
    turns: u64,
    /// Tokens of turns that ended whole.
    used: u64,
    /// Maximum tokens of turns whose instance died.
    orphaned: u64,
    /// Turns that ended whole and are not settled.
    unsettled: BTreeMap<TurnId, UnsettledTurn>,
    /// What such turns did not use of their maximum, where all instances that knew have died.
    lost: u64,
}

impl World {
    fn new() -> Self {
        Self {
            program: "p".into(),
            stored: Default::default(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            running: Vec::new(),
            late: Vec::new(),
            turns: 0,
            used: 0,
            orphaned: 0,
            unsettled: BTreeMap::new(),
            lost: 0,
        }
    }

    fn ledger(&self, instance: usize) -> ProgramLedger {
        let Instance { seen, settlements } = &self.instances[instance];
        let mut ledger = seen.1.clone();
        settlements.apply(&self.program, &mut ledger);
        ledger
    }

    /// Writes conditionally; reads the newest state on a conflict.
    fn write(&mut self, number: usize, ledger: ProgramLedger, lost: bool) -> bool {
        let instance = &mut self.instances[number];
        if instance.seen.0 != self.stored.0 {
            instance.seen = self.stored.clone();
            return false;
        }
        self.stored = (self.stored.0 + 1, ledger);
        self.unsettled.retain(|turn, _| self.stored.1.is_reserved(turn));
        if !lost {
            instance.settlements.remove_written(&self.program, &self.stored.1);
            instance.seen = self.stored.clone();
        }
        !lost
    }

    fn new_turn(&mut self) -> TurnId {
        self.turns += 1;
        format!("t{}", self.turns).into()
    }

    /// Returns whether the turn was refused.
    fn start(&mut self, instance: usize, coordinator: usize, max_tokens: u64, lost: bool) -> bool {
        let id = self.new_turn();
        let is_refused = !self.reserve(coordinator, &id, max_tokens, None, lost);
        if !is_refused {
            let taken_over_until = None;
            let turn = RunningTurn { id, instance, coordinator, max_tokens, taken_over_until };
            self.running.push(turn);
        }
        is_refused
    }

    /// Returns whether the turn was refused.
    fn take_over(&mut self, instance: usize, coordinator: usize, max_tokens: u64) -> bool {
        let id = self.new_turn();
        self.late.push(LateClaim { id: id.clone(), coordinator, max_tokens });
        let until = Some(CLAIM_EXPIRY);
        let is_refused = !self.reserve(instance, &id, max_tokens, until, false);
        if is_refused {
            // What its coordinator may have reserved is released.
            let settlement = TurnSettlement { used: 0, taken_over_until: until };
            let program = self.program.clone();
            self.instances[instance].settlements.insert(&program, &id, settlement);
            self.settle(instance);
            return true;
        }
        let (coordinator, taken_over_until) = (instance, until);
        self.running.push(RunningTurn { id, instance, coordinator, max_tokens, taken_over_until });
        false
    }

    fn resume(&mut self, coordinator: usize) {
        let late: Vec<LateClaim> =
            self.late.extract_if(.., |claim| claim.coordinator == coordinator).collect();
        for LateClaim { id, max_tokens, .. } in late {
            loop {
                let mut ledger = self.ledger(coordinator);
                if ledger.is_taken_over(&id)
                    || ledger.reserve(&id, max_tokens, BUDGET) != ReserveReply::Reserved
                    || self.write(coordinator, ledger, false)
                {
                    break;
                }
            }
        }
    }

    /// Returns false if the budget is exhausted.
    fn reserve(
        &mut self,
        at: usize,
        id: &TurnId,
        max_tokens: u64,
        taken_over_until: Option<u64>,
        mut lost: bool,
    ) -> bool {
        let mut is_read = false;
        loop {
            let mut ledger = self.ledger(at);
            if let Some(until) = taken_over_until {
                ledger.take_over(id, until);
            }
            if ledger.reserve(id, max_tokens, BUDGET) != ReserveReply::Reserved {
                if is_read {
                    return false;
                }
                is_read = true;
                self.instances[at].seen = self.stored.clone();
                continue;
            }
            if self.write(at, ledger, std::mem::take(&mut lost)) {
                return true;
            }
        }
    }

    fn end(&mut self, used: u64, told: bool) {
        if self.running.is_empty() {
            return;
        }
        let RunningTurn { id, instance, coordinator, max_tokens, taken_over_until } =
            self.running.remove(0);
        let used = used.min(max_tokens);
        self.used += used;
        let program = self.program.clone();
        let settles_at = if told { coordinator } else { instance };
        let known_at = BTreeSet::from([instance, settles_at]);
        self.unsettled.insert(id.clone(), UnsettledTurn { unused: max_tokens - used, known_at });
        let settlement = TurnSettlement { used, taken_over_until };
        self.instances[settles_at].settlements.insert(&program, &id, settlement);
        // The instance keeps what its coordinator may lose.
        self.instances[instance].settlements.insert(&program, &id, settlement);
        // An instance that is the only one to know waits for the write.
        if instance == settles_at {
            self.settle(instance);
        }
    }

    fn settle(&mut self, instance: usize) {
        while !self.instances[instance].settlements.is_empty() {
            let ledger = self.ledger(instance);
            self.write(instance, ledger, false);
        }
    }

    fn kill(&mut self, instance: usize) {
        self.instances[instance] = Instance::default();
        self.late.retain(|claim| claim.coordinator != instance);
        for turn in self.unsettled.values_mut() {
            turn.known_at.remove(&instance);
        }
        let forgotten = self.unsettled.extract_if(.., |_, turn| turn.known_at.is_empty());
        self.lost += forgotten.map(|(_, turn)| turn.unused).sum::<u64>();
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|turn| turn.instance == instance);
        self.orphaned += ended.iter().map(|turn| turn.max_tokens).sum::<u64>();
        self.running = running;
    }

    /// Tokens of turns that ended whole, beyond those that they used, that still seem to be in use.
    fn unsettled(&self) -> u64 {
        self.lost + self.unsettled.values().map(|turn| turn.unused).sum::<u64>()
    }

    /// Tokens that callers have received, or may still receive.
    fn max_used(&self) -> u64 {
        let running = self.running.iter().map(|turn| turn.max_tokens).sum::<u64>();
        self.used + self.orphaned + running
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 512, ..ProptestConfig::default() })]

    /// Guards against tokens used twice, and against turns refused for tokens that nobody uses, after
    /// instances die or lose replies.
    #[test]
    fn programs_get_their_budget_and_no_more(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            match step {
                ProgramStep::Start { instance, coordinator, max_tokens, lost } => {
                    let unsettled = world.unsettled();
                    let is_refused = world.start(instance, coordinator, max_tokens, lost);
                    let needed = world.max_used() + max_tokens;
                    prop_assert!(
                        !is_refused || needed + unsettled > BUDGET,
                        "refused though {needed} tokens are enough, {unsettled} not settled"
                    );
                }
                ProgramStep::TakeOver { instance, coordinator, max_tokens } => {
                    let unsettled = world.unsettled();
                    let is_refused = world.take_over(instance, coordinator, max_tokens);
                    let needed = world.max_used() + max_tokens;
                    prop_assert!(
                        !is_refused || needed + unsettled > BUDGET,
                        "refused though {needed} tokens are enough, {unsettled} not settled"
                    );
                }
                ProgramStep::Resume { coordinator } => world.resume(coordinator),
                ProgramStep::End { used, told } => world.end(used, told),
                ProgramStep::Settle { instance } => world.settle(instance),
                ProgramStep::Kill { instance } => world.kill(instance),
            }
            prop_assert!(world.max_used() <= BUDGET, "{} tokens used", world.max_used());
            prop_assert!(world.stored.1.committed() <= BUDGET);
        }
        (0..INSTANCES).for_each(|coordinator| world.resume(coordinator));
        (0..INSTANCES).for_each(|instance| world.settle(instance));
        let running = world.running.iter().map(|turn| turn.max_tokens).sum::<u64>();
        prop_assert!(world.unsettled.is_empty());
        let counted = world.used + world.orphaned + running + world.lost;
        prop_assert_eq!(world.stored.1.committed(), counted);
    }
}
