//! Checks budget ledgers and rows against a model that counts every token billed.

use std::collections::BTreeMap;

use merlinsaddle::core::budget::{
    AccountRow, AttemptNumber, BudgetLedger, BudgetRow, DrawRequest, LedgerSettings, Reservation,
    ReserveOutcome,
};
use merlinsaddle::core::ids::{Tokens, WorkspaceId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const LEDGERS: usize = 3;
const LIMIT: Tokens = 1_000;

#[derive(Debug, Clone)]
enum Step {
    Reserve {
        ledger: usize,
        tokens: Tokens,
    },
    Settle {
        ledger: usize,
        percent: Tokens,
    },
    /// The ledger prepares a commit from the current row.
    Build {
        ledger: usize,
    },
    /// The table handles the prepared commit; its reply may be lost.
    Commit {
        ledger: usize,
        reply_lost: bool,
    },
    ScheduleReturns {
        ledger: usize,
    },
    /// The instance dies, and its account is closed at once with the engines' costs.
    Crash {
        ledger: usize,
        percent: Tokens,
    },
    Limit {
        tokens: Tokens,
    },
}

/// Stateless: the bill is kept beside the ledgers.
struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let ledger = 0..LEDGERS;
        prop_oneof![
            4 => (ledger.clone(), 1..200u64).prop_map(|(ledger, tokens)| Step::Reserve { ledger, tokens }),
            3 => (ledger.clone(), 0..=100u64).prop_map(|(ledger, percent)| Step::Settle { ledger, percent }),
            4 => ledger.clone().prop_map(|ledger| Step::Build { ledger }),
            4 => (ledger.clone(), any::<bool>()).prop_map(|(ledger, reply_lost)| Step::Commit { ledger, reply_lost }),
            1 => ledger.clone().prop_map(|ledger| Step::ScheduleReturns { ledger }),
            1 => (ledger, 0..=100u64).prop_map(|(ledger, percent)| Step::Crash { ledger, percent }),
            1 => (0..2 * LIMIT).prop_map(|tokens| Step::Limit { tokens }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct BuiltCommit {
    draws: Vec<DrawRequest>,
    account: AccountRow,
    /// The row to write and the version it was read at; absent if it is not written.
    row: Option<(BudgetRow, u64)>,
    seen: BudgetRow,
    applied: bool,
}

struct TestInstance {
    ledger: BudgetLedger,
    account: AccountRow,
    built: Option<BuiltCommit>,
    /// The limit when the row was last read for this ledger.
    seen_limit: Tokens,
    held: Vec<Reservation>,
    /// Drawn and spent by accounts that have been removed from the row.
    finished: Tokens,
    /// Costs by attempt, as the engines report them.
    costs: BTreeMap<AttemptNumber, Tokens>,
}

struct TestBudget {
    row: BudgetRow,
    version: u64,
    instances: Vec<TestInstance>,
    billed: Tokens,
    epoch: u64,
}

fn workspace() -> WorkspaceId {
    "w".into()
}

impl TestInstance {
    fn new(epoch: u64) -> Self {
        let settings = LedgerSettings { slice: 300, headroom: 50 };
        let ledger = BudgetLedger::new(settings, epoch);
        let (account, held) = (AccountRow::default(), Vec::new());
        Self {
            ledger,
            account,
            built: None,
            seen_limit: LIMIT,
            held,
            finished: 0,
            costs: BTreeMap::new(),
        }
    }

    fn bill(&mut self, reservation: &Reservation, percent: Tokens) -> Tokens {
        let cost = reservation.tokens * percent / 100;
        self.costs.insert(reservation.attempt, cost);
        cost
    }

    fn drawn(&self) -> Tokens {
        self.account.workspaces.get("w").map_or(0, |account| account.drawn)
    }
}

impl TestBudget {
    fn build(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.built.is_some() {
            return;
        }
        let ledger = &mut instance.ledger;
        let draws = ledger.draws();
        let change = ledger
            .pending_workspaces()
            .first()
            .and_then(|id| ledger.grant_change(id, self.row, LEDGERS));
        let row = change.as_ref().map(|change| (change.row, self.version));
        let seen = row.map_or(self.row, |(row, _)| row);
        let account = ledger.prepare_row(change.as_slice(), 0);
        instance.built = Some(BuiltCommit { draws, account, row, seen, applied: false });
    }

    fn commit(&mut self, index: usize, reply_lost: bool) {
        let instance = &mut self.instances[index];
        let Some(mut built) = instance.built.take() else { return };
        if !built.applied {
            if let Some((row, version)) = built.row {
                if version != self.version {
                    return;
                }
                self.row = row;
                self.version += 1;
            }
            if !built.account.workspaces.contains_key("w") {
                instance.finished += instance.drawn();
            }
            instance.account = built.account.clone();
            built.applied = true;
        }
        if reply_lost {
            instance.built = Some(built);
            return;
        }
        instance.seen_limit = built.seen.limit;
        let rows = BTreeMap::from([(workspace(), built.seen)]);
        instance.ledger.apply_commit(&built.account, &built.draws, &rows);
    }

    fn crash(&mut self, index: usize, percent: Tokens) {
        self.epoch += 1;
        let fresh = TestInstance::new(self.epoch);
        let mut dead = std::mem::replace(&mut self.instances[index], fresh);
        for reservation in std::mem::take(&mut dead.held) {
            self.billed += dead.bill(&reservation, percent);
        }
        let Some(account) = dead.account.workspaces.get("w").copied() else { return };
        let open: Tokens = dead.costs.range(dead.account.open_from..).map(|(_, cost)| cost).sum();
        assert!(open <= account.uncertain(), "{open} spent of {account:?}");
        self.row.drawn -= account.refundable() + account.uncertain() - open;
        self.row.spent += account.spent - account.reported + open;
        self.version += 1;
    }
}

struct BudgetTest;

impl StateMachineTest for BudgetTest {
    type SystemUnderTest = TestBudget;
    type Reference = AnySteps;

    fn init_test(_: &()) -> TestBudget {
        let row = BudgetRow { limit: LIMIT, ..BudgetRow::default() };
        let instances = (0..LEDGERS as u64).map(TestInstance::new).collect();
        TestBudget { row, version: 1, instances, billed: 0, epoch: LEDGERS as u64 }
    }

    fn apply(mut budget: TestBudget, _: &(), step: Step) -> TestBudget {
        match step {
            Step::Reserve { ledger, tokens } => {
                let instance = &mut budget.instances[ledger];
                match instance.ledger.reserve("w", tokens, 0) {
                    ReserveOutcome::Held(reservation) => instance.held.push(reservation),
                    ReserveOutcome::Exhausted => {
                        let unspent = instance.seen_limit.saturating_sub(budget.billed);
                        assert!(unspent < tokens, "{tokens} refused of {unspent}");
                    }
                    ReserveOutcome::Draw | ReserveOutcome::Scarce => {}
                }
            }
            Step::Settle { ledger, percent } => {
                let instance = &mut budget.instances[ledger];
                if !instance.held.is_empty() {
                    let reservation = instance.held.swap_remove(0);
                    let cost = instance.bill(&reservation, percent);
                    instance.ledger.settle(reservation, cost);
                    budget.billed += cost;
                }
            }
            Step::Build { ledger } => budget.build(ledger),
            Step::Commit { ledger, reply_lost } => budget.commit(ledger, reply_lost),
            Step::ScheduleReturns { ledger } => budget.instances[ledger].ledger.schedule_returns(),
            Step::Crash { ledger, percent } => budget.crash(ledger, percent),
            Step::Limit { tokens } => {
                if tokens >= budget.row.drawn {
                    budget.row.limit = tokens;
                    budget.version += 1;
                }
            }
        }
        budget
    }

    fn check_invariants(budget: &TestBudget, _: &()) {
        let row = budget.row;
        let running: Tokens = budget
            .instances
            .iter()
            .flat_map(|instance| &instance.held)
            .map(|held| held.tokens)
            .sum();
        assert!(row.drawn <= row.limit, "{row:?}");
        assert!(budget.billed + running <= row.drawn, "{} + {running}, {row:?}", budget.billed);
        assert!(row.spent <= budget.billed, "{} billed, {row:?}", budget.billed);
        // Besides live grants, only the spending of dead instances is drawn.
        let drawn = |instance: &TestInstance| instance.drawn() + instance.finished;
        let live: Tokens = budget.instances.iter().map(drawn).sum();
        let mine = |instance: &TestInstance| instance.costs.values().sum::<Tokens>();
        let dead = budget.billed - budget.instances.iter().map(mine).sum::<Tokens>();
        assert_eq!(row.drawn, live + dead, "{row:?}");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ledgers_never_exceed_the_budget(sequential 1..200 => BudgetTest);
}
