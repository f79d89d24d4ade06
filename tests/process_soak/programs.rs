//! Agent programs of the site: chains of turns with tools between them, sub-agents and budgets.

use super::callers::SoakCaller;
use super::*;

/// Turns of a program that answers a question, and of one that books.
const SHORT_TURNS: usize = 3;
const LONG_TURNS: usize = 9;
const MEAN_EVENTS: u64 = 17;
const MAX_EVENTS: u64 = 68;
/// A branch of a program.
const BRANCHES: usize = 2;
const BRANCH_TURNS: usize = 2;
const MAX_ENDLESS_TURNS: usize = 20;
/// Time until a program should be finished, for each of its turns.
const TURN_GOAL: Duration = Duration::from_secs(2);
const SHARED_TOKENS: u64 = 2_560;
const EVENT_GAP_MS: u64 = 12;

struct ProgramPlan {
    id: Rc<str>,
    /// Otherwise each turn brings its complete prompt.
    has_history: bool,
    budget: u64,
    /// Events of its longest turn.
    events: u64,
    /// Whether there are branches after each turn.
    branches: Vec<bool>,
    finish: Instant,
}

impl ProgramPlan {
    fn draw(caller: &mut SoakCaller) -> Self {
        let rng = &mut caller.rng;
        let (mean, branch_share) =
            if rng.random_bool(0.75) { (SHORT_TURNS, 0.05) } else { (LONG_TURNS, 0.25) };
        let has_history = rng.random_bool(0.6);
        let is_endless = rng.random_bool(0.02);
        let turns = match is_endless {
            true => MAX_ENDLESS_TURNS,
            false => rng.random_range(mean.div_ceil(2)..=mean * 3 / 2),
        };
        let branches: Vec<bool> = (0..turns).map(|_| rng.random_bool(branch_share)).collect();
        let events = match rng.random_range(0..10) {
            0 => rng.random_range(MEAN_EVENTS..=MAX_EVENTS),
            _ => rng.random_range(MEAN_EVENTS / 2..=MEAN_EVENTS * 3 / 2),
        };
        let branch_turns =
            branches.iter().filter(|is_branched| **is_branched).count() * BRANCHES * BRANCH_TURNS;
        let planned = if is_endless { SHORT_TURNS } else { turns + branch_turns };
        // Many budgets hold no turn more than planned.
        let budget_turns = planned + rng.random_range(0..=1);
        caller.sent += 1;
        Self {
            id: format!("{}p{}", caller.name, caller.sent).into(),
            has_history,
            budget: budget_turns as u64 * events * EVENT_TOKENS,
            events,
            branches,
            finish: Instant::now() + TURN_GOAL * planned as u32,
        }
    }
}

impl SoakCaller {
    pub async fn work_at_site(&mut self) {
        if self.rng.random_bool(0.1) {
            let events = self.rng.random_range(1..MEAN_EVENTS);
            return self.call_tool(CallKind::Watch, 60, events, 60).await;
        }
        let program = ProgramPlan::draw(self);
        let mut previous = self.earlier_turn().filter(|_| program.has_history);
        for (number, is_branched) in program.branches.iter().enumerate() {
            let line = self.name.clone();
            let turn = self.take_site_turn(&program, &line, previous.as_ref()).await;
            let Some(turn) = turn else { return };
            previous =
                Some(turn.clone()).filter(|turn| program.has_history && self.may_continue(turn));
            if *is_branched {
                self.run_branches(&program, &turn).await;
            }
            if number + 1 < program.branches.len() {
                self.call_tools().await;
            }
        }
    }

    /// Turns of other programs are continued at times, and often after all processes were killed.
    fn earlier_turn(&mut self) -> Option<AnsweredTurn> {
        let share = if self.world.ledger.had_total_kill() { 0.5 } else { 0.1 };
        let shared = self.world.turns.borrow();
        if shared.is_empty() || !self.rng.random_bool(share) {
            return None;
        }
        let turn = shared[self.rng.random_range(0..shared.len())].clone();
        Some(turn).filter(|turn| self.may_continue(turn))
    }

    async fn run_branches(&mut self, program: &ProgramPlan, turn: &AnsweredTurn) {
        let mut callers: Vec<Self> = (0..BRANCHES).map(|number| self.branch(number)).collect();
        let lines = callers.iter_mut().map(|caller| async move {
            let mut previous = turn.clone();
            for _ in 0..BRANCH_TURNS {
                let line = caller.name.clone();
                let next = caller.take_site_turn(program, &line, Some(&previous)).await;
                let Some(next) = next else { return };
                previous = next;
            }
        });
        futures_util::future::join_all(lines).await;
    }

    async fn call_tools(&mut self) {
        let rng = &mut self.rng;
        let think = between(rng, 5, 80);
        let (has_read, has_book, has_cue) =
            (rng.random_bool(0.7), rng.random_bool(0.4), rng.random_bool(0.2));
        let (read, book, cue) =
            (rng.random_range(10..210), rng.random_range(40..700), rng.random_range(30..500));
        sleep(think).await;
        let calls = [
            (has_read, CallKind::Read, read),
            (has_book, CallKind::Book, book),
            (has_cue, CallKind::Cue, cue),
        ];
        for (_, kind, pause_ms) in calls.into_iter().filter(|(is_made, _, _)| *is_made) {
            if self.world.is_over.get() {
                return;
            }
            self.call_tool(kind, pause_ms, 0, 800).await;
        }
    }

    async fn call_tool(&mut self, kind: CallKind, pause_ms: u64, events: u64, bytes: usize) {
        let length = if kind.is_idempotent() { 0 } else { self.rng.random_range(100..3_600) };
        let body = vec![self.rng.random_range(b'a'..=b'z'); length];
        let draft = CallDraft {
            kind,
            expected: body.clone(),
            body,
            work: Some(CallWork { pause_ms, events, gap_ms: EVENT_GAP_MS, bytes }),
            is_chunked: length > 0 && self.rng.random_bool(0.2),
            ..Default::default()
        };
        self.send(&draft).await;
    }

    async fn take_site_turn(
        &mut self,
        program: &ProgramPlan,
        line: &str,
        previous: Option<&AnsweredTurn>,
    ) -> Option<AnsweredTurn> {
        if self.world.is_over.get() {
            return None;
        }
        let length = match self.rng.random_range(0..20) {
            0 => 31_000,
            _ => self.rng.random_range(2_000..9_000),
        };
        let input = format!("{}-{} {}", program.id, self.sent, "x".repeat(length));
        let previous = previous.filter(|_| program.has_history);
        let history = previous.map_or("", |turn| &*turn.history).to_owned() + &input;
        let most = program.events * EVENT_TOKENS;
        let shared = xxh3_64(&[self.rng.random_range(0..3_u8)]);
        let own = xxh3_64(line.as_bytes());
        let mut headers = format!(
            "Merlinsaddle-Program-Id: {}\r\nMerlinsaddle-Session-Id: {line}\r\n\
             Merlinsaddle-Token-Budget: {}\r\nMerlinsaddle-Finish-Ms: {}\r\n\
             Merlinsaddle-Token-Usage: {},{most}\r\nMerlinsaddle-Model: m\r\n\
             Merlinsaddle-Prompt-Prefix: {shared:x}:{SHARED_TOKENS},{own:x}:{}\r\n",
            program.id,
            program.budget,
            program.finish.saturating_duration_since(Instant::now()).as_millis(),
            SHARED_TOKENS + history.len() as u64 / 5,
            history.len() / 5,
        );
        if let Some(turn) = previous {
            headers += &format!("Merlinsaddle-Previous-Turn: {}\r\n", turn.id);
        }
        let events = match self.rng.random_bool(0.5) {
            true => program.events,
            false => self.rng.random_range(1..=program.events),
        };
        let pause_ms = self.rng.random_range(60..180);
        let draft = CallDraft {
            kind: if program.has_history { CallKind::Turn } else { CallKind::Prompt },
            body: input.into(),
            headers,
            expected: history.into(),
            previous: previous.map(|turn| turn.at),
            work: Some(CallWork { pause_ms, events, gap_ms: EVENT_GAP_MS, bytes: 0 }),
            is_chunked: self.rng.random_bool(0.2),
            budget: Some(TurnBudget { program: program.id.clone(), budget: program.budget, most }),
        };
        let turn = self.run_turn(&draft).await?;
        if program.has_history {
            self.share(turn.clone());
        }
        Some(turn)
    }
}
