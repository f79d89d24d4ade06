//! Turns this instance has seen. Records never change, so a cached one is never out of date.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use super::{ProgramLedger, ProgramName, TurnId, TurnRecord};
use crate::core::ids::Tokens;

/// Version of a row; 0 if there is none.
pub type RowVersion = u64;

/// What the cache knows of a chain.
#[derive(Debug, Clone, PartialEq)]
pub enum ChainLookup {
    /// All turns from the oldest to the one asked for.
    Whole(Vec<Rc<TurnRecord>>),
    /// This turn is not here; the store may have it.
    Missing(TurnId),
}

#[derive(Debug)]
struct CachedTurn {
    record: Rc<TurnRecord>,
    /// The program that made it.
    program: ProgramName,
}

#[derive(Debug, Default)]
struct CachedProgram {
    turns: Vec<TurnId>,
    ledger: Option<(RowVersion, ProgramLedger)>,
    bytes: usize,
    used: u64,
}

/// A bounded cache of programs; the least recently used ones yield.
#[derive(Debug)]
pub struct TurnCache {
    /// By turn alone: a program may go on from a turn of another one.
    turns: HashMap<TurnId, CachedTurn>,
    programs: HashMap<ProgramName, CachedProgram>,
    /// Programs by last use.
    order: BTreeMap<u64, ProgramName>,
    bytes: usize,
    max_bytes: usize,
    uses: u64,
}

/// What an entry costs beyond its text, in bytes.
const ENTRY_OVERHEAD: usize = 400;

impl TurnCache {
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            programs: HashMap::new(),
            order: BTreeMap::new(),
            bytes: 0,
            max_bytes,
            uses: 0,
        }
    }

    /// The chain that ends with `turn`.
    pub fn chain(&self, turn: &TurnId) -> ChainLookup {
        let mut chain = Vec::new();
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            let Some(turn) = self.turns.get(&id) else { return ChainLookup::Missing(id) };
            chain.push(turn.record.clone());
            next = turn.record.previous.clone();
        }
        chain.reverse();
        ChainLookup::Whole(chain)
    }

    /// Adds a turn that `program` made.
    pub fn insert(&mut self, program: &ProgramName, turn: TurnId, record: Rc<TurnRecord>) {
        let size = record.bytes() + ENTRY_OVERHEAD;
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

    /// The program that made a turn, if the turn is here.
    pub fn program_of(&self, turn: &TurnId) -> Option<ProgramName> {
        self.turns.get(turn).map(|turn| turn.program.clone())
    }

    /// The ledger as it was last read or written here, with what is known of its turns that have
    /// ended since.
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

    /// Notes the ledger's newest known state; an older one changes nothing.
    pub fn set_ledger(
        &mut self,
        program: &ProgramName,
        version: RowVersion,
        ledger: ProgramLedger,
    ) {
        let cached = self.programs.entry(program.clone()).or_default();
        if cached.ledger.is_none() {
            cached.bytes += ENTRY_OVERHEAD;
            self.bytes += ENTRY_OVERHEAD;
        }
        if cached.ledger.as_ref().is_none_or(|(known, _)| *known <= version) {
            cached.ledger = Some((version, ledger));
        }
        self.touch(program);
        self.evict();
    }

    /// Whether a program's ledger is known here.
    pub fn knows_ledger(&self, program: &str) -> bool {
        self.programs.get(program).is_some_and(|cached| cached.ledger.is_some())
    }

    /// Drops all that is known of a program.
    pub fn forget(&mut self, program: &str) {
        let Some(cached) = self.programs.remove(program) else { return };
        self.order.remove(&cached.used);
        self.drop_turns(cached);
    }

    fn drop_turns(&mut self, cached: CachedProgram) {
        self.bytes -= cached.bytes;
        for turn in cached.turns {
            self.turns.remove(&turn);
        }
    }

    /// Text the cache holds, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Notes a use of a program, so that it yields later.
    pub fn touch(&mut self, program: &str) {
        let Some(cached) = self.programs.get_mut(program) else { return };
        self.uses += 1;
        self.order.remove(&cached.used);
        cached.used = self.uses;
        self.order.insert(self.uses, program.into());
    }

    fn evict(&mut self) {
        while self.bytes > self.max_bytes && self.order.len() > 1 {
            let Some((_, program)) = self.order.pop_first() else { return };
            let Some(cached) = self.programs.remove(&program) else { continue };
            self.drop_turns(cached);
        }
    }
}
