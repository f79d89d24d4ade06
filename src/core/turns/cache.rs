//! Caches turns and ledgers of programs. Records are immutable, so a cached one is never stale.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use tokio::time::Instant;

use super::{ChainEntry, ChainLookup, LoadedTurns, ProgramLedger, ProgramName, TurnId, TurnRecord};
use crate::core::ids::Tokens;

/// Version of a row; 0 if there is none.
pub type RowVersion = u64;

#[derive(Debug)]
struct CachedTurn {
    record: Rc<TurnRecord>,
    program: ProgramName,
}

#[derive(Debug, Default)]
struct CachedProgram {
    turns: Vec<TurnId>,
    ledger: Option<(RowVersion, ProgramLedger)>,
    bytes: usize,
    last_use: u64,
    /// The store holds the program until then at least; absent if that is unknown.
    retained_until: Option<Instant>,
}

/// Evicts whole programs, the least recently used first.
#[derive(Debug)]
pub struct TurnCache {
    /// By turn alone: a program may continue from a turn of another one.
    turns: HashMap<TurnId, CachedTurn>,
    programs: HashMap<ProgramName, CachedProgram>,
    by_last_use: BTreeMap<u64, ProgramName>,
    bytes: usize,
    max_bytes: usize,
    use_count: u64,
}

/// Estimated memory of an entry beyond its text.
const ENTRY_OVERHEAD_BYTES: usize = 400;

impl TurnCache {
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            programs: HashMap::new(),
            by_last_use: BTreeMap::new(),
            bytes: 0,
            max_bytes,
            use_count: 0,
        }
    }

    /// The chain that ends with `turn`.
    pub fn chain(&self, turn: &TurnId) -> ChainLookup {
        LoadedTurns::default().chain(turn, self)
    }

    /// Number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    pub fn entry(&self, turn: &TurnId) -> Option<ChainEntry> {
        let CachedTurn { record, program } = self.turns.get(turn)?;
        Some(ChainEntry { turn: turn.clone(), program: program.clone(), record: record.clone() })
    }

    pub fn insert(&mut self, program: &ProgramName, turn: TurnId, record: Rc<TurnRecord>) {
        let size = record.bytes() + ENTRY_OVERHEAD_BYTES;
        let cached = CachedTurn { record, program: program.clone() };
        if self.turns.insert(turn.clone(), cached).is_none() {
            let cached = self.programs.entry(program.clone()).or_default();
            cached.turns.push(turn);
            cached.bytes += size;
            self.bytes += size;
        }
        self.touch(program);
        self.evict();
    }

    pub fn program_of(&self, turn: &TurnId) -> Option<ProgramName> {
        self.turns.get(turn).map(|turn| turn.program.clone())
    }

    /// The newest known ledger, with the reservations settled whose turns are cached.
    pub fn ledger(&self, program: &str) -> Option<(RowVersion, ProgramLedger)> {
        let (version, mut ledger) = self.programs.get(program)?.ledger.clone()?;
        let ended: Vec<(TurnId, Tokens)> = ledger
            .reserved_turns()
            .filter_map(|turn| Some((turn.clone(), self.turns.get(turn)?.record.used)))
            .collect();
        for (turn, used) in ended {
            ledger.settle(&turn, used);
        }
        Some((version, ledger))
    }

    /// Ignores a ledger older than the cached one.
    pub fn set_ledger(
        &mut self,
        program: &ProgramName,
        version: RowVersion,
        ledger: ProgramLedger,
    ) {
        let cached = self.programs.entry(program.clone()).or_default();
        if cached.ledger.is_none() {
            cached.bytes += ENTRY_OVERHEAD_BYTES;
            self.bytes += ENTRY_OVERHEAD_BYTES;
        }
        if cached.ledger.as_ref().is_none_or(|(known, _)| *known <= version) {
            cached.ledger = Some((version, ledger));
        }
        self.touch(program);
        self.evict();
    }

    /// Records that the store holds a cached program until `until` at least.
    pub fn retain(&mut self, program: &str, until: Instant) {
        if let Some(cached) = self.programs.get_mut(program) {
            cached.retained_until = cached.retained_until.max(Some(until));
        }
    }

    /// Removes a program whose turns the store may have removed since, as it has another ledger after
    /// the known end of its retention.
    pub fn remove_doubtful(&mut self, program: &str, version: RowVersion, now: Instant) {
        let Some(cached) = self.programs.get(program) else { return };
        let is_same = cached.ledger.as_ref().is_some_and(|(known, _)| *known == version);
        if !is_same && !self.is_retained(program, now) {
            self.remove(program);
        }
    }

    /// Whether the store is known to hold the program, so that it holds the cached turns too.
    pub fn is_retained(&self, program: &str, now: Instant) -> bool {
        let cached = self.programs.get(program);
        cached.and_then(|cached| cached.retained_until).is_some_and(|until| now < until)
    }

    pub fn has_ledger(&self, program: &str) -> bool {
        self.programs.get(program).is_some_and(|cached| cached.ledger.is_some())
    }

    pub fn remove(&mut self, program: &str) {
        let Some(cached) = self.programs.remove(program) else { return };
        self.by_last_use.remove(&cached.last_use);
        self.remove_turns(cached);
    }

    fn remove_turns(&mut self, cached: CachedProgram) {
        self.bytes -= cached.bytes;
        for turn in cached.turns {
            self.turns.remove(&turn);
        }
    }

    /// Includes the estimated overhead of each entry.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Marks a program as the most recently used.
    pub fn touch(&mut self, program: &str) {
        let Some(cached) = self.programs.get_mut(program) else { return };
        self.use_count += 1;
        self.by_last_use.remove(&cached.last_use);
        cached.last_use = self.use_count;
        self.by_last_use.insert(self.use_count, program.into());
    }

    fn evict(&mut self) {
        while self.bytes > self.max_bytes && self.by_last_use.len() > 1 {
            let Some((_, program)) = self.by_last_use.pop_first() else { return };
            let Some(cached) = self.programs.remove(&program) else { continue };
            self.remove_turns(cached);
        }
    }
}
