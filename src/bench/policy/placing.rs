//! What an instance knows when it has to choose an engine, and the choice.

use std::time::Duration;

use rand::seq::SliceRandom;

use super::driver::{PolicyDriver, REPORT_INTERVAL, REPORTS_KEPT};
use super::setup::{HomeChoice, LoadKnowledge, SlotControl};
use crate::core::dispatch::{ClassLoad, EngineCandidate, EngineLoad, EngineNeed};
use crate::core::ids::Tokens;

/// How long an instance believes what an owner told.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// What a call holds a slot for, where only counts are known.
const CALL_TIME: Duration = Duration::from_secs(2);

impl PolicyDriver<'_> {
    /// Chooses an engine for a program's next call.
    pub(super) fn choose(&mut self, program: usize) -> usize {
        let home = self.programs[program].home;
        let engines = self.considered(program);
        let candidates: Vec<_> =
            engines.iter().map(|engine| self.candidate(home, *engine, program)).collect();
        let run = &self.programs[program];
        let input = self.load.programs[program].calls[run.step].input;
        let prompt = run.context + Tokens::from(input);
        let newcomer = run.attained == 0 && run.parent.is_none();
        let need = EngineNeed { prompt, cold: newcomer };
        let index = self.chooser.choose(&candidates, need).expect("there are engines");
        engines[index]
    }

    fn considered(&mut self, program: usize) -> Vec<usize> {
        let listed = |engine: &usize| self.is_listed(program, *engine);
        let all: Vec<usize> = (0..self.engines.len()).filter(listed).collect();
        if self.setup.control == SlotControl::TwoChoices {
            return self.random_of(all, 2);
        }
        let Some(sample) = self.setup.sample else { return all };
        let home = self.programs[program].home;
        let shared = self.shared_key(program);
        let holds = |engine: &usize| {
            let id = &self.engine_ids[*engine];
            self.residency[home].resident(id, program as u64, &shared) > self.profile.shared
        };
        let near = |engine: &usize| self.owners[*engine] == home || holds(engine);
        let (mut engines, others): (Vec<_>, Vec<_>) = all.into_iter().partition(near);
        engines.extend(self.random_of(others, sample));
        engines
    }

    fn random_of(&mut self, mut engines: Vec<usize>, count: usize) -> Vec<usize> {
        engines.shuffle(&mut self.rng);
        engines.truncate(count);
        engines
    }

    fn candidate(&self, home: usize, engine: usize, program: usize) -> EngineCandidate {
        let shared = self.shared_key(program);
        let id = &self.engine_ids[engine];
        let local = self.setup.control == SlotControl::Owner && self.owners[engine] == home;
        let load = self.known_load(home, engine, local);
        let known = load.of(self.class(program));
        EngineCandidate {
            engine: id.clone(),
            slots: self.profile.slots,
            load: known.load,
            wait: known.wait,
            resident: self.residency[home].resident(id, program as u64, &shared),
            local,
            pressure: load.pressure,
            occupancy: if self.setup.watch_pace { load.occupancy } else { Duration::ZERO },
        }
    }

    fn known_load(&self, home: usize, engine: usize, local: bool) -> EngineLoad {
        match self.setup.control {
            SlotControl::StaticShares => self.queue_load(engine * self.profile.instances + home),
            SlotControl::Alone | SlotControl::TwoChoices => {
                let reported = self.late_report(home, engine);
                let own = self.outstanding.get(&(home, engine)).copied().unwrap_or(0);
                let both = |class: ClassLoad| self.load_of(class.load.max(own));
                let (paying, trial) = (both(reported.paying), both(reported.trial));
                EngineLoad { paying, trial, ..EngineLoad::default() }
            }
            SlotControl::Owner if local => self.queue_load(engine),
            SlotControl::Owner => self.remote_load(home, engine),
        }
    }

    fn remote_load(&self, home: usize, engine: usize) -> EngineLoad {
        let hint = self.hints.get(&(home, engine));
        let lag = REPORT_INTERVAL * self.lags[home][engine] as u32;
        let lifetime = match self.setup.knowledge {
            LoadKnowledge::Refusals | LoadKnowledge::OwnMean => HINT_LIFETIME,
            LoadKnowledge::Members | LoadKnowledge::Engines => lag,
        };
        if let Some((_, told)) = hint.filter(|(at, _)| self.now - *at < lifetime) {
            return *told;
        }
        match self.setup.knowledge {
            LoadKnowledge::Refusals => EngineLoad::default(),
            LoadKnowledge::OwnMean => self.own_mean(home),
            LoadKnowledge::Engines => self.late_report(home, engine),
            LoadKnowledge::Members => self.member_report(home, engine),
        }
    }

    /// The mean over the engines of the same owner.
    fn member_report(&self, home: usize, engine: usize) -> EngineLoad {
        let owned = (0..self.engines.len()).filter(|e| self.owners[*e] == self.owners[engine]);
        let reports = owned.map(|other| self.late_report(home, other));
        let mean = EngineLoad::mean(reports);
        EngineLoad {
            paying: self.load_of(mean.paying.load),
            trial: self.load_of(mean.trial.load),
            ..mean
        }
    }

    fn own_mean(&self, home: usize) -> EngineLoad {
        let own = (0..self.engines.len()).filter(|engine| self.owners[*engine] == home);
        EngineLoad::mean(own.map(|engine| self.queue_load(engine)))
    }

    fn late_report(&self, home: usize, engine: usize) -> EngineLoad {
        let age = self.lags[home][engine];
        let report = self.reports.len().checked_sub(age).and_then(|at| self.reports.get(at));
        report.map_or(EngineLoad::default(), |report| report[engine])
    }

    /// What a mere count of calls says.
    fn load_of(&self, load: usize) -> ClassLoad {
        let slots = self.profile.slots;
        let wait = CALL_TIME * (load + 1).saturating_sub(slots) as u32 / slots as u32;
        ClassLoad { load, wait }
    }

    fn queue_load(&self, queue: usize) -> EngineLoad {
        self.queues[queue].load(self.at(self.now))
    }

    pub(super) fn take_reports(&mut self) {
        let report = |engine: usize| match self.setup.control {
            SlotControl::Owner => self.queue_load(engine),
            _ => {
                let class = self.load_of(self.engines[engine].load());
                EngineLoad { paying: class, trial: class, ..EngineLoad::default() }
            }
        };
        let reports = (0..self.engines.len()).map(report).collect();
        self.reports.push_back(reports);
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// What a program's instance learns from an owner's answer.
    pub(super) fn hear_reply(&mut self, program: usize, queue: usize) {
        let run = &self.programs[program];
        let refused = !self.permits.contains_key(&run.permit);
        let remote = self.setup.control == SlotControl::Owner && self.owners[queue] != run.home;
        if remote && (refused || self.setup.replies) {
            let told = (self.now, self.queue_load(queue));
            self.hints.insert((run.home, queue), told);
        }
    }

    /// Lets a new program live with the owner of the engine that suits it now.
    pub(super) fn place_home(&mut self, program: usize) {
        if self.setup.home == HomeChoice::EngineOwner {
            let engine = self.choose(program);
            self.programs[program].home = self.owners[engine];
        }
    }
}
