//! Tokens that instances hold ahead of a program's turns, without a store.

use std::collections::BTreeMap;

use merlinsaddle::core::turns::{
    PREALLOCATED_TURNS, ProgramLedger, ReserveReply, TokenAllowance, TurnId,
};
use proptest::prelude::*;

const HOLDERS: usize = 3;
const BUDGET: u64 = 200;

/// What happens to one of several instances that hold tokens of the same program.
#[derive(Debug, Clone)]
enum HolderStep {
    /// A turn comes; the reply to the write that it may need is lost where `true`.
    Start { holder: usize, most: u64, is_ahead: bool, lost: bool },
    /// Its oldest turn ends.
    End { holder: usize, used: u64 },
    /// It gives back what it does not use.
    GiveBack { holder: usize },
    /// It dies; the next life knows nothing.
    Kill { holder: usize },
}

fn steps() -> impl Strategy<Value = Vec<HolderStep>> {
    let holder = 0..HOLDERS;
    let start = (holder.clone(), 1..40_u64, any::<bool>(), prop::bool::weighted(0.2));
    let step = prop_oneof![
        4 => start.prop_map(|(holder, most, is_ahead, lost)| HolderStep::Start {
            holder, most, is_ahead, lost
        }),
        3 => (holder.clone(), 0..40_u64).prop_map(|(holder, used)| HolderStep::End { holder, used }),
        1 => holder.clone().prop_map(|holder| HolderStep::GiveBack { holder }),
        1 => holder.prop_map(|holder| HolderStep::Kill { holder }),
    ];
    prop::collection::vec(step, 1..120)
}

/// One life of an instance.
struct Holder {
    allowance: TokenAllowance,
    /// The ledger as it was last seen, and its version.
    seen: (u64, ProgramLedger),
    turns: BTreeMap<TurnId, u64>,
}

/// The store's ledger, the instances, and what callers may have been handed.
struct World {
    stored: (u64, ProgramLedger),
    holders: Vec<Holder>,
    lives: u64,
    turns: u64,
    /// Tokens handed out by turns that have ended.
    handed: u64,
    /// Most tokens of turns whose instance died.
    orphaned: u64,
}

impl World {
    fn new() -> Self {
        let stored = (0, ProgramLedger::default());
        let mut world =
            Self { stored, holders: Vec::new(), lives: 0, turns: 0, handed: 0, orphaned: 0 };
        for _ in 0..HOLDERS {
            let holder = world.new_life();
            world.holders.push(holder);
        }
        world
    }

    fn new_life(&mut self) -> Holder {
        self.lives += 1;
        let allowance = TokenAllowance::new(format!("life-{}", self.lives).into());
        Holder { allowance, seen: (0, ProgramLedger::default()), turns: BTreeMap::new() }
    }

    /// Writes on condition that nobody else has; in a conflict the newest state is learned.
    fn write(&mut self, holder: usize, ledger: ProgramLedger, lost: bool) -> bool {
        let holder = &mut self.holders[holder];
        if holder.seen.0 != self.stored.0 {
            holder.seen = self.stored.clone();
            return false;
        }
        self.stored = (self.stored.0 + 1, ledger);
        if !lost {
            holder.seen = self.stored.clone();
        }
        !lost
    }

    fn start(&mut self, number: usize, most: u64, is_ahead: bool, lost: bool) {
        self.turns += 1;
        let turn: TurnId = format!("t{}", self.turns).into();
        for _ in 0..2 {
            let holder = &mut self.holders[number];
            let demand = holder.allowance.demand(&turn, most);
            let name = holder.allowance.name().clone();
            if holder.seen.1.reserved(&name) < demand.min_tokens {
                let mut ledger = holder.seen.1.clone();
                let ahead = if is_ahead { most * PREALLOCATED_TURNS } else { 0 };
                let reply = ledger.extend(&name, demand, ahead, BUDGET);
                if reply != ReserveReply::Reserved {
                    return;
                }
                if !self.write(number, ledger, lost) {
                    continue;
                }
            }
            let holder = &mut self.holders[number];
            holder.allowance.start(&turn, most);
            holder.turns.insert(turn, most);
            return;
        }
    }

    fn end(&mut self, number: usize, used: u64) {
        let holder = &mut self.holders[number];
        let Some((turn, most)) = holder.turns.pop_first() else { return };
        let used = used.min(most);
        assert!(holder.allowance.end(&turn, used));
        self.handed += used;
    }

    fn give_back(&mut self, number: usize) {
        if !self.holders[number].allowance.is_idle() {
            return;
        }
        let fresh = self.new_life();
        let former = std::mem::replace(&mut self.holders[number].allowance, fresh.allowance);
        while self.holders[number].seen.1.reserved(former.name()) > 0 {
            let mut ledger = self.holders[number].seen.1.clone();
            ledger.settle(former.name(), former.committed());
            if self.write(number, ledger, false) {
                return;
            }
        }
    }

    fn kill(&mut self, number: usize) {
        let fresh = self.new_life();
        let former = std::mem::replace(&mut self.holders[number], fresh);
        self.orphaned += former.turns.values().sum::<u64>();
    }

    /// Tokens that callers have, or may yet be handed.
    fn at_most_handed(&self) -> u64 {
        let running = self.holders.iter().flat_map(|holder| holder.turns.values()).sum::<u64>();
        self.handed + self.orphaned + running
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 512, ..ProptestConfig::default() })]

    /// Guards against tokens handed out twice by instances that die, lose replies or return tokens.
    #[test]
    fn holders_never_hand_out_more_than_the_budget(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            match step {
                HolderStep::Start { holder, most, is_ahead, lost } => {
                    world.start(holder, most, is_ahead, lost);
                }
                HolderStep::End { holder, used } => world.end(holder, used),
                HolderStep::GiveBack { holder } => world.give_back(holder),
                HolderStep::Kill { holder } => world.kill(holder),
            }
            prop_assert!(world.at_most_handed() <= BUDGET, "{} handed out", world.at_most_handed());
            prop_assert!(world.stored.1.committed() <= BUDGET);
        }
    }
}

/// Guards against a first holder that leaves a second one nothing while the budget is far from spent.
#[test]
fn tokens_ahead_leave_half_of_the_rest() {
    let mut ledger = ProgramLedger::default();
    let allowance = TokenAllowance::new("a".into());
    let demand = allowance.demand(&"t".into(), 20);
    assert_eq!(ledger.extend(allowance.name(), demand, 1_000, 100), ReserveReply::Reserved);
    assert_eq!(ledger.reserved(allowance.name()), 60);
}
