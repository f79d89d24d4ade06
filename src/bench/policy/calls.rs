//! A call in a run: asked, queued, started, finished, refused or cancelled.

use std::time::Duration;

use rand::RngExt;

use super::driver::{CallPhase, DriverEvent, HOP, PolicyDriver};
use super::engine::{EngineCall, TOKEN_TIME};
use super::setup::{PauseRule, SlotControl};
use crate::core::cache::PrefixKey;
use crate::core::dispatch::SlotRequest;
use crate::core::ids::{PermitId, Tokens};

/// How long a call waits for an engine before it is refused, as the node's default.
const CALL_DEADLINE: Duration = Duration::from_secs(30);
/// When a refused caller comes back, at the earliest.
const REFUSED_RETRY: Duration = Duration::from_secs(1);
/// Engines publish an eviction so much later, in milliseconds, and lose one in ten.
const EVENT_DELAY_MILLIS: std::ops::Range<u64> = 500..3000;
const EVENT_LOSS: f64 = 0.1;

impl PolicyDriver<'_> {
    /// Chooses an engine for a program's call and sends it to the queue there.
    pub(super) fn ask(&mut self, program: usize) {
        let engine = self.choose(program);
        self.programs[program].engine = engine;
        self.programs[program].call = Some(self.engine_call(program));
        let home = self.programs[program].home;
        let remote = self.setup.control == SlotControl::Owner && self.owners[engine] != home;
        self.report.asked += 1;
        self.report.asked_remotely += u64::from(remote);
        let delay = if remote { HOP } else { Duration::ZERO };
        self.follow_up(program, delay, DriverEvent::Enqueue(program));
    }

    fn engine_call(&self, program: usize) -> EngineCall {
        let run = &self.programs[program];
        let plan = &self.load.programs[program].calls[run.step];
        EngineCall {
            program,
            class: self.class(program),
            shared: self.shared_key(program),
            shared_tokens: self.profile.shared,
            prompt: run.context + Tokens::from(plan.input) + Tokens::from(run.received),
            output: Tokens::from(plan.output - run.received),
            imported: if run.exported { run.computed } else { 0 },
        }
    }

    /// The queue of a program's chosen engine, if the control has any.
    fn queue_of(&self, program: usize) -> Option<usize> {
        let run = &self.programs[program];
        match self.setup.control {
            SlotControl::Owner => Some(run.engine),
            SlotControl::StaticShares => Some(run.engine * self.profile.instances + run.home),
            SlotControl::Alone | SlotControl::TwoChoices => None,
        }
    }

    pub(super) fn enqueue(&mut self, program: usize) {
        if self.turn_away(program) {
            return;
        }
        let Some(queue) = self.queue_of(program) else {
            self.send(program);
            return;
        };
        self.next_permit += 1;
        let permit = self.next_permit;
        self.permits.insert(permit, program);
        self.programs[program].permit = permit;
        let run = &self.programs[program];
        let call = run.call.as_ref().expect("a call that is asked has been built");
        let workspace = &self.load.workspaces[self.load.programs[program].workspace];
        let deadline = run.asked + CALL_DEADLINE;
        let patience = self.setup.patience.map_or(deadline, |patience| self.now + patience);
        let request = SlotRequest {
            permit,
            holder: self.instance_ids[run.home].clone(),
            program: program as u64,
            workspace: workspace.id.clone(),
            class: workspace.class,
            weight: workspace.weight,
            attained: run.attained,
            tokens: (call.prompt + call.output) as u32,
            own_tokens: (call.prompt + call.output - call.shared_tokens) as u32,
            cold: run.attained == 0 && run.parent.is_none(),
            arrived: self.at(run.asked),
            deadline: self.at(deadline.min(patience)),
        };
        self.queues[queue].enqueue(request);
        self.pump(queue);
    }

    pub(super) fn granted(&mut self, queue: usize, permit: PermitId) {
        let Some(program) = self.permits.get(&permit).copied() else { return };
        let delay = self.answer_delay(program);
        self.hear_reply(program, queue);
        self.follow_up(program, delay, DriverEvent::Begin(program));
    }

    /// A call waited in vain: for its patience, or to its deadline.
    pub(super) fn expired(&mut self, queue: usize, permit: PermitId) {
        let Some(program) = self.permits.remove(&permit) else { return };
        self.hear_reply(program, queue);
        if self.now >= self.programs[program].asked + CALL_DEADLINE {
            let wait = self.queues[queue].load(self.at(self.now)).of(self.class(program)).wait;
            self.refused(program, wait);
            return;
        }
        self.report.rechoices += 1;
        let delay = self.answer_delay(program);
        self.follow_up(program, delay, DriverEvent::Ask(program));
    }

    fn refused(&mut self, program: usize, wait: Duration) {
        self.report.refusals += 1;
        let retry = wait.max(REFUSED_RETRY);
        self.programs[program].asked = self.now + retry;
        self.follow_up(program, retry, DriverEvent::Ask(program));
    }

    fn answer_delay(&self, program: usize) -> Duration {
        let run = &self.programs[program];
        let owner = self.setup.control == SlotControl::Owner;
        if owner && self.owners[run.engine] != run.home { HOP } else { Duration::ZERO }
    }

    pub(super) fn begin(&mut self, program: usize) {
        self.send(program);
    }

    fn send(&mut self, program: usize) {
        let run = &mut self.programs[program];
        run.phase = CallPhase::Sent;
        let (home, engine) = (run.home, run.engine);
        let call = run.call.clone().expect("a call that is sent has been built");
        *self.outstanding.entry((home, engine)).or_default() += 1;
        if self.is_dead(engine) {
            self.lose(program);
            return;
        }
        self.engines[engine].submit(call);
        self.drive(engine);
    }

    /// Starts what an engine has room for.
    fn drive(&mut self, engine: usize) {
        while let Some((call, start)) = self.engines[engine].start_next(self.now) {
            let program = call.program;
            self.count_prompt(&call, start.resident);
            let run = &mut self.programs[program];
            run.phase = CallPhase::Running { first_token: start.first_token, finish: start.finish };
            if !run.engines.contains(&engine) {
                run.engines.push(engine);
            }
            self.follow_up(program, start.finish - self.now, DriverEvent::Finish(program));
            self.publish_evictions(engine, start.evicted);
        }
    }

    /// Counts what is computed though some engine had computed it before.
    fn count_prompt(&mut self, call: &EngineCall, resident: Tokens) {
        let shared = self.seen_shared.entry(call.shared.clone()).or_default();
        let run = &self.programs[call.program];
        let known = run.computed.max(*shared).min(call.prompt);
        *shared = call.shared_tokens;
        self.report.prompt_tokens += call.prompt;
        if !run.exported {
            self.report.recomputed_tokens += known.saturating_sub(resident);
        }
    }

    fn publish_evictions(&mut self, engine: usize, evicted: Vec<PrefixKey>) {
        for key in evicted {
            let PrefixKey::Program(program) = key else { continue };
            let delay = Duration::from_millis(self.rng.random_range(EVENT_DELAY_MILLIS));
            if !self.rng.random_bool(EVENT_LOSS) {
                self.schedule(self.now + delay, DriverEvent::Evicted { engine, program }, 0);
            }
        }
    }

    pub(super) fn finish(&mut self, program: usize) {
        let run = &self.programs[program];
        let plan = &self.load.programs[program].calls[run.step];
        let call = run.call.clone().expect("a call that runs has been built");
        let tokens = call.prompt + call.output;
        let cost = Tokens::from(plan.input + plan.output);
        let workspace = self.load.programs[program].workspace;
        if self.profile.surge.contains(&self.now) {
            *self.report.surge_service.entry(workspace).or_default() += cost;
        }
        self.leave_engine(program, tokens);
        let run = &mut self.programs[program];
        run.context = tokens;
        run.computed = tokens;
        run.attained += tokens;
        run.phase = CallPhase::Idle;
        run.exported = false;
        let (home, engine) = (run.home, run.engine);
        let id = &self.engine_ids[engine];
        let memory = self.profile.memory;
        let residency = &mut self.residency[home];
        residency.touch(id, PrefixKey::Program(program as u64), tokens, memory);
        residency.touch(id, call.shared, call.shared_tokens, memory);
        self.go_on(program);
    }

    /// Decides about a program's prefix when its pause begins.
    pub(super) fn keep_or_drop(&mut self, program: usize) {
        let run = &self.programs[program];
        let long = self.load.programs[program].calls[run.step].long;
        let dropped = match self.setup.pause {
            PauseRule::Keep => false,
            PauseRule::DropLong | PauseRule::ExportLong => long,
            PauseRule::DropAll => true,
        };
        if !dropped {
            return;
        }
        let key = PrefixKey::Program(program as u64);
        let (home, engine) = (run.home, run.engine);
        self.programs[program].exported = self.setup.pause == PauseRule::ExportLong;
        self.engines[engine].release(&key, self.now);
        self.residency[home].drop_program(&self.engine_ids[engine], program as u64);
    }

    /// Takes a call off its engine and gives its slot back.
    pub(super) fn leave_engine(&mut self, program: usize, kept: Tokens) {
        let run = &mut self.programs[program];
        let (home, engine, permit) = (run.home, run.engine, run.permit);
        let call = run.call.take().expect("a call that runs has been built");
        self.engines[engine].finish(&call, kept, self.now);
        if let Some(count) = self.outstanding.get_mut(&(home, engine)) {
            // A call may be cancelled between its grant and its start.
            *count = count.saturating_sub(1);
        }
        self.drive(engine);
        if let Some(queue) = self.queue_of(program) {
            self.permits.remove(&permit);
            let now = self.at(self.now);
            self.queues[queue].release(permit, now);
            self.pump(queue);
        }
    }

    /// Cancels trial calls for paying work that has waited too long; they resume later.
    pub(super) fn preempt(&mut self, queue: usize) {
        let Some(limit) = self.setup.preempt_after else { return };
        let now = self.at(self.now);
        while let Some(revocation) = self.queues[queue].preempt(now, limit) {
            let Some(program) = self.permits.get(&revocation.permit).copied() else { return };
            self.cancel(program);
        }
    }

    fn cancel(&mut self, program: usize) {
        self.report.preemptions += 1;
        let run = &self.programs[program];
        let call = run.call.clone().expect("a call that holds a slot has been built");
        let mut kept = run.context;
        if let CallPhase::Running { first_token, .. } = run.phase {
            let decoding = self.now.saturating_sub(first_token);
            let generated = (decoding.as_millis() / TOKEN_TIME.as_millis()) as Tokens;
            let generated = generated.min(call.output - 1);
            if self.now >= first_token {
                kept = call.prompt + generated;
                self.programs[program].received += generated as u32;
            }
        } else {
            let engine = run.engine;
            self.engines[engine].withdraw(program);
        }
        let run = &mut self.programs[program];
        run.computed = run.computed.max(kept);
        run.phase = CallPhase::Queued;
        run.asked = self.now;
        self.leave_engine(program, kept);
        self.follow_up(program, Duration::ZERO, DriverEvent::Ask(program));
    }

    /// Without permits a call waits in the engine; its caller takes it back at the deadline.
    pub(super) fn expire_sent(&mut self) {
        if !self.queues.is_empty() {
            return;
        }
        let late: Vec<usize> = (0..self.programs.len())
            .filter(|program| {
                let run = &self.programs[*program];
                run.phase == CallPhase::Sent && self.now >= run.asked + CALL_DEADLINE
            })
            .collect();
        for program in late {
            let run = &mut self.programs[program];
            run.phase = CallPhase::Queued;
            let (home, engine) = (run.home, run.engine);
            self.engines[engine].withdraw(program);
            if let Some(count) = self.outstanding.get_mut(&(home, engine)) {
                // A call may be cancelled between its grant and its start.
                *count = count.saturating_sub(1);
            }
            self.refused(program, REFUSED_RETRY);
        }
    }
}
