//! Token allowances of several instances against one ledger, without a store.

use std::collections::BTreeMap;

use merlinsaddle::core::turns::{
    PREALLOCATED_TURNS, ProgramLedger, ReserveReply, TokenAllowance, TurnId,
};
use proptest::prelude::*;

const HOLDERS: usize = 3;
const BUDGET: u64 = 200;

/// An event at one of several instances that hold tokens of the same program.
#[derive(Debug, Clone)]
enum HolderStep {
    /// `lost`: the reply to the ledger write is lost, if the turn needs one.
    Start { holder: usize, max_tokens: u64, is_ahead: bool, lost: bool },
    /// The oldest turn ends.
    End { holder: usize, used: u64 },
    /// An idle holder returns its unused tokens.
    Return { holder: usize },
    /// The next incarnation starts without state.
    Kill { holder: usize },
}

fn steps() -> impl Strategy<Value = Vec<HolderStep>> {
    let holder = 0..HOLDERS;
    let start = (holder.clone(), 1..40_u64, any::<bool>(), prop::bool::weighted(0.2));
    let step = prop_oneof![
        4 => start.prop_map(|(holder, max_tokens, is_ahead, lost)| HolderStep::Start {
            holder, max_tokens, is_ahead, lost
        }),
        3 => (holder.clone(), 0..40_u64).prop_map(|(holder, used)| HolderStep::End { holder, used }),
        1 => holder.clone().prop_map(|holder| HolderStep::Return { holder }),
        1 => holder.prop_map(|holder| HolderStep::Kill { holder }),
    ];
    prop::collection::vec(step, 1..120)
}

/// One incarnation of an instance.
struct Holder {
    allowance: TokenAllowance,
    /// The version and state of the ledger when it was last read or written.
    seen: (u64, ProgramLedger),
    turns: BTreeMap<TurnId, u64>,
}

struct World {
    stored: (u64, ProgramLedger),
    holders: Vec<Holder>,
    incarnations: u64,
    turns: u64,
    /// Tokens used by turns that have ended.
    used: u64,
    /// Maximum tokens of turns whose instance died.
    orphaned: u64,
}

impl World {
    fn new() -> Self {
        let stored = (0, ProgramLedger::default());
        let mut world =
            Self { stored, holders: Vec::new(), incarnations: 0, turns: 0, used: 0, orphaned: 0 };
        for _ in 0..HOLDERS {
            let holder = world.new_incarnation();
            world.holders.push(holder);
        }
        world
    }

    fn new_incarnation(&mut self) -> Holder {
        self.incarnations += 1;
        let allowance = TokenAllowance::new(format!("allowance-{}", self.incarnations).into());
        Holder { allowance, seen: (0, ProgramLedger::default()), turns: BTreeMap::new() }
    }

    /// Writes conditionally; reads the newest state on a conflict.
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

    fn start(&mut self, number: usize, max_tokens: u64, is_ahead: bool, lost: bool) {
        self.turns += 1;
        let turn: TurnId = format!("t{}", self.turns).into();
        for _ in 0..2 {
            let holder = &mut self.holders[number];
            let demand = holder.allowance.demand(&turn, max_tokens);
            let name = holder.allowance.name().clone();
            if holder.seen.1.reserved(&name) < demand.min_tokens {
                let mut ledger = holder.seen.1.clone();
                let ahead = if is_ahead { max_tokens * PREALLOCATED_TURNS } else { 0 };
                let reply = ledger.extend(&name, demand, ahead, BUDGET);
                if reply != ReserveReply::Reserved {
                    return;
                }
                if !self.write(number, ledger, lost) {
                    continue;
                }
            }
            let holder = &mut self.holders[number];
            holder.allowance.start(&turn, max_tokens);
            holder.turns.insert(turn, max_tokens);
            return;
        }
    }

    fn end(&mut self, number: usize, used: u64) {
        let holder = &mut self.holders[number];
        let Some((turn, max_tokens)) = holder.turns.pop_first() else { return };
        let used = used.min(max_tokens);
        assert!(holder.allowance.end(&turn, used));
        self.used += used;
    }

    fn return_unused(&mut self, number: usize) {
        if !self.holders[number].allowance.is_idle() {
            return;
        }
        let fresh = self.new_incarnation();
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
        let fresh = self.new_incarnation();
        let former = std::mem::replace(&mut self.holders[number], fresh);
        self.orphaned += former.turns.values().sum::<u64>();
    }

    /// Tokens that callers have received, or may still receive.
    fn max_used(&self) -> u64 {
        let running = self.holders.iter().flat_map(|holder| holder.turns.values()).sum::<u64>();
        self.used + self.orphaned + running
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 512, ..ProptestConfig::default() })]

    /// Guards against tokens used twice after instances die, lose replies or return tokens.
    #[test]
    fn holders_never_use_more_than_the_budget(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            match step {
                HolderStep::Start { holder, max_tokens, is_ahead, lost } => {
                    world.start(holder, max_tokens, is_ahead, lost);
                }
                HolderStep::End { holder, used } => world.end(holder, used),
                HolderStep::Return { holder } => world.return_unused(holder),
                HolderStep::Kill { holder } => world.kill(holder),
            }
            prop_assert!(world.max_used() <= BUDGET, "{} tokens used", world.max_used());
            prop_assert!(world.stored.1.committed() <= BUDGET);
        }
    }
}

/// Guards against an instance that reserves all of an unspent budget ahead.
#[test]
fn preallocation_leaves_half_of_the_unreserved_budget() {
    let mut ledger = ProgramLedger::default();
    let allowance = TokenAllowance::new("a".into());
    let demand = allowance.demand(&"t".into(), 20);
    assert_eq!(ledger.extend(allowance.name(), demand, 1_000, 100), ReserveReply::Reserved);
    assert_eq!(ledger.reserved(allowance.name()), 60);
}
