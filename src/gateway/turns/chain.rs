//! Loads the chain of a turn: the turn with all its predecessors.

use std::collections::BTreeSet;
use std::rc::Rc;

use derive_more::Display;
use tokio::time::Instant;

use super::TurnManager;
use super::chain_memory::ChainHold;
use super::claim::TurnClaim;
use super::rows::{CachedRows, LEDGER_KEY, PROGRAMS_TABLE, index_key, turn_key_prefix};
use crate::core::turns::{ChainEntry, ChainLookup, LoadedTurns, ProgramName, TurnId, TurnRecord};
use crate::core::workspaces::{resolved_name, unmarked_name};
use crate::gateway::rows::{RowRange, RowVersion, StoredRow};
use crate::node::platform::StoreError;

/// Rows of a page when one turn is read; most turns are one row.
const TURN_PAGE_ROWS: usize = 16;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ChainError {
    /// Confirmed by a read of the store.
    NoSuchTurn,
    /// The chain does not fit into the memory for chains, or not by the deadline.
    MemoryExhausted,
    Store(StoreError),
}

/// Why an attempt to load a chain has ended.
enum LoadError {
    Chain(ChainError),
    /// The chain needs at least this much memory, which is not free.
    Kilobytes(usize),
}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Chain(ChainError::Store(error))
    }
}

/// The records of a turn and its predecessors, whose inputs and outputs form the history that the
/// next turn continues from.
#[derive(Debug, Default)]
pub(crate) struct TurnChain {
    /// Oldest first.
    pub(crate) turns: Vec<Rc<TurnRecord>>,
    /// Author of the last turn, if it is a different program.
    pub(crate) origin: Option<ProgramName>,
    /// Ids and programs of `turns`.
    authors: Vec<(TurnId, ProgramName)>,
    _hold: Option<ChainHold>,
}

impl TurnChain {
    /// `program` is the one that continues from the chain.
    pub(super) fn new(
        program: &ProgramName,
        entries: Vec<ChainEntry>,
        hold: Option<ChainHold>,
    ) -> Self {
        let origin = entries.last().map(|last| last.program.clone());
        let origin = origin.filter(|author| author != program);
        let (turns, authors) =
            entries.into_iter().map(|entry| (entry.record, (entry.turn, entry.program))).unzip();
        Self { turns, origin, authors, _hold: hold }
    }

    /// Programs whose turns are part of the chain, without `program`.
    pub(super) fn origins(&self, program: &ProgramName) -> BTreeSet<ProgramName> {
        let origins = self.turns.iter().filter_map(|turn| turn.origin.as_ref());
        let authors = self.authors.iter().map(|(_, author)| author);
        origins.chain(authors).filter(|origin| *origin != program).cloned().collect()
    }

    /// Size of the history.
    pub(super) fn bytes(&self) -> usize {
        self.turns.iter().map(|turn| turn.bytes()).sum()
    }

    pub(super) fn includes(&self, program: &ProgramName) -> bool {
        self.authors.iter().any(|(_, author)| author == program)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (&TurnId, &ProgramName, &TurnRecord)> {
        let authors = self.authors.iter().zip(&self.turns);
        authors.map(|((turn, program), record)| (turn, program, &**record))
    }
}

/// A read of a program's rows.
#[derive(Debug, Display)]
#[display("{program}@{version}:{turns}")]
struct ProgramRead {
    program: ProgramName,
    /// The store's version at the first page.
    version: RowVersion,
    turns: usize,
}

/// The answer of the index of turns.
struct IndexRead {
    program: Option<ProgramName>,
    version: RowVersion,
}

/// What a read for a chain covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadScope {
    /// All turns of a program: one call for most chains.
    Program,
    /// One turn, of a program whose other turns do not fit the memory for chains.
    Turn,
}

/// One attempt to load the chain of a claim.
struct ChainLoad<'a> {
    claim: &'a TurnClaim,
    scope: ReadScope,
    turns: LoadedTurns,
    hold: ChainHold,
    reads: Vec<ProgramRead>,
}

pub(super) struct ProgramRows {
    pub(super) rows: Vec<StoredRow>,
    version: RowVersion,
}

impl TurnManager {
    /// The chain that ends with `turn`, for a claim that continues from it.
    ///
    /// If the memory for chains is exhausted, what was read is dropped, and the load starts over when
    /// others have ended.
    pub(super) async fn chain(
        &self,
        claim: &TurnClaim,
        turn: &TurnId,
        deadline: Instant,
    ) -> Result<TurnChain, ChainError> {
        let (mut kilobytes, mut scope) = (0, ReadScope::Program);
        loop {
            let hold = self.chain_memory.hold(kilobytes, deadline).await;
            let hold = hold.ok_or(ChainError::MemoryExhausted)?;
            match self.load_chain(claim, turn, scope, hold).await {
                Ok(chain) => return Ok(chain),
                Err(LoadError::Chain(error)) => return Err(error),
                Err(LoadError::Kilobytes(needed)) => {
                    let total = self.chain_memory.total();
                    log::info!(
                        "event=chain_memory_exhausted turn={} needed_kb={needed} total_kb={total}",
                        claim.turn
                    );
                    match scope {
                        _ if needed <= total => {
                            // The size of the rest is unknown.
                            kilobytes = (2 * needed).min(total);
                        }
                        ReadScope::Program => (kilobytes, scope) = (0, ReadScope::Turn),
                        ReadScope::Turn => return Err(ChainError::MemoryExhausted),
                    }
                }
            }
        }
    }

    async fn load_chain(
        &self,
        claim: &TurnClaim,
        turn: &TurnId,
        scope: ReadScope,
        hold: ChainHold,
    ) -> Result<TurnChain, LoadError> {
        let turns = LoadedTurns::default();
        let mut load = ChainLoad { claim, scope, turns, hold, reads: Vec::new() };
        loop {
            match self.lookup(&load.turns, turn) {
                ChainLookup::Complete(entries) => {
                    return Ok(self.complete_chain(&claim.program, entries, load.hold));
                }
                ChainLookup::Missing(missing) => self.load_turn(&mut load, &missing).await?,
                ChainLookup::Cyclic(repeated) => {
                    log::warn!("event=chain_cyclic turn={} repeated={repeated}", claim.turn);
                    let message = format!("{repeated} precedes itself").into();
                    return Err(StoreError::Malformed { message }.into());
                }
            }
        }
    }

    /// The chain from turns that were read and cached ones of programs that the store still holds.
    fn lookup(&self, loaded: &LoadedTurns, turn: &TurnId) -> ChainLookup {
        let mut cache = self.cache.borrow_mut();
        let now = Instant::now();
        loop {
            let lookup = loaded.chain(turn, &cache);
            let ChainLookup::Complete(entries) = &lookup else { return lookup };
            let is_doubtful = |entry: &&ChainEntry| {
                !loaded.contains(&entry.turn) && !cache.is_retained(&entry.program, now)
            };
            let doubtful = entries.iter().find(is_doubtful).map(|entry| entry.program.clone());
            match doubtful {
                Some(program) => cache.remove(&program),
                None => return lookup,
            }
        }
    }

    fn complete_chain(
        &self,
        program: &ProgramName,
        entries: Vec<ChainEntry>,
        hold: ChainHold,
    ) -> TurnChain {
        let chain = TurnChain::new(program, entries, Some(hold));
        let mut cache = self.cache.borrow_mut();
        chain.origins(program).iter().for_each(|origin| cache.touch(origin));
        cache.touch(program);
        chain
    }

    /// The chain that ends with `turn` if all of it is cached.
    pub(super) fn cached_chain(&self, program: &ProgramName, turn: &TurnId) -> Option<TurnChain> {
        match self.lookup(&LoadedTurns::default(), turn) {
            ChainLookup::Complete(entries) => Some(TurnChain::new(program, entries, None)),
            ChainLookup::Missing(_) | ChainLookup::Cyclic(_) => None,
        }
    }

    /// Reads the program of a turn: the one that the next turn of the chain names, the claim's own one,
    /// then the one that the index names, as a program may continue from another program's turn.
    ///
    /// A turn is absent if the index, read after the claim's own program, names none.
    async fn load_turn(&self, load: &mut ChainLoad<'_>, turn: &TurnId) -> Result<(), LoadError> {
        let named = load.turns.named_program(turn);
        for program in named.iter().chain([&load.claim.program]) {
            let is_read = load.reads.iter().any(|read| read.program == *program);
            if is_read && load.scope == ReadScope::Program {
                continue;
            }
            self.load_program(load, program, turn).await?;
            if load.turns.contains(turn) {
                return Ok(());
            }
        }
        let index = self.program_of(turn).await?;
        let Some(program) = index.program else {
            return Err(no_such_turn(load, turn, index.version));
        };
        // Read again if it was read before the index: the turn may have been stored since.
        let is_held = self.load_program(load, &program, turn).await?;
        if load.turns.contains(turn) {
            return Ok(());
        }
        let index = self.program_of(turn).await?;
        match index.program {
            None => Err(no_such_turn(load, turn, index.version)),
            Some(program) if !is_held => {
                log::info!(
                    "event=turn_swept turn={} missing={turn} program={program}",
                    load.claim.turn
                );
                Err(no_such_turn(load, turn, index.version))
            }
            Some(program) => {
                log::warn!(
                    "event=turn_uncertain turn={} missing={turn} read={} index={program}",
                    load.claim.turn,
                    ReadList(&load.reads)
                );
                let message = format!("the index names {program}, which lacks {turn}").into();
                Err(StoreError::Malformed { message }.into())
            }
        }
    }

    /// False if the program has no ledger, and so has been swept.
    async fn load_program(
        &self,
        load: &mut ChainLoad<'_>,
        program: &ProgramName,
        turn: &TurnId,
    ) -> Result<bool, LoadError> {
        let hold = &mut load.hold;
        let admit = |bytes| hold.grow(bytes).map_err(LoadError::Kilobytes);
        let read = match load.scope {
            ReadScope::Program => self.read_rows(program, admit).await?,
            ReadScope::Turn => self.read_turn_rows(program, turn, admit).await?,
        };
        let version = read.version;
        let has_ledger = read.rows.iter().any(|row| &*row.key.key == LEDGER_KEY);
        // A sweep removes the ledger first, and the rows that are left when it can.
        let rows = if has_ledger { read.rows } else { Vec::new() };
        let CachedRows { turns, unreadable } = self.cache_rows(program, rows);
        load.reads.push(ProgramRead { program: program.clone(), version, turns: turns.len() });
        turns.into_iter().for_each(|entry| load.turns.insert(entry));
        if unreadable.contains(turn) {
            let message = format!("the record of {turn} is unreadable").into();
            return Err(StoreError::Malformed { message }.into());
        }
        Ok(has_ledger)
    }

    async fn program_of(&self, turn: &TurnId) -> Result<IndexRead, StoreError> {
        let read = self.indexed_program(turn).await?;
        if read.program.is_some() {
            return Ok(read);
        }
        // Releases that did not mark names indexed the turn under a name of a workspace's form.
        let Some(unmarked) = unmarked_name(turn) else { return Ok(read) };
        let mut read = self.indexed_program(&unmarked.into()).await?;
        read.program = read.program.filter(|program| resolved_name(unmarked, program) == *turn);
        Ok(read)
    }

    /// The program that the index names for a turn.
    async fn indexed_program(&self, turn: &TurnId) -> Result<IndexRead, StoreError> {
        let key = index_key(turn);
        let range = RowRange {
            table: key.table.clone(),
            partition: key.partition.clone(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await?;
        let row = reply.rows.into_iter().find(|row| row.key == key);
        let value = row.and_then(|row| row.value);
        let program = match value.map(|value| String::from_utf8(value.to_vec())).transpose() {
            Ok(program) => program.map(Into::into),
            Err(error) => return Err(StoreError::Malformed { message: error.to_string().into() }),
        };
        Ok(IndexRead { program, version: reply.version })
    }

    /// Reads the program's ledger without its turns.
    pub(super) async fn load_ledger(&self, program: &ProgramName) -> Result<(), StoreError> {
        let range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: Some(LEDGER_KEY.into()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await?;
        let ledgers = reply.rows.into_iter().filter(|row| &*row.key.key == LEDGER_KEY);
        self.cache_rows(program, ledgers.collect());
        Ok(())
    }

    /// Reads all rows of the program into the cache.
    pub(super) async fn load(&self, program: &ProgramName) -> Result<(), StoreError> {
        let read = self.read_rows(program, |_| Ok::<_, StoreError>(())).await?;
        self.cache_rows(program, read.rows);
        Ok(())
    }

    /// Reads the program's ledger and the rows of one turn; `admit` gets the size of each page of them.
    async fn read_turn_rows<E: From<StoreError>>(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        mut admit: impl FnMut(usize) -> Result<(), E>,
    ) -> Result<ProgramRows, E> {
        let prefix = turn_key_prefix(turn);
        let mut range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: Some(LEDGER_KEY.into()),
            limit: Some(1),
        };
        let ledger = self.store.range(&range).await?;
        let mut rows = ledger.rows;
        rows.retain(|row| &*row.key.key == LEDGER_KEY);
        range.limit = Some(TURN_PAGE_ROWS);
        range.from = Some(prefix.clone());
        loop {
            let reply = self.store.range(&range).await?;
            let last = reply.rows.last().map(|last| last.key.key.clone());
            let of_turn = reply.rows.into_iter().filter(|row| row.key.key.starts_with(&*prefix));
            let page: Vec<StoredRow> = of_turn.collect();
            let values = page.iter().filter_map(|row| row.value.as_ref());
            admit(values.map(|value| value.len()).sum())?;
            rows.extend(page);
            match last.filter(|last| reply.truncated && last.starts_with(&*prefix)) {
                Some(last) => range.from = Some(format!("{last}\0").into()),
                None => return Ok(ProgramRows { rows, version: ledger.version }),
            }
        }
    }

    /// Reads all rows of the program; `admit` gets the size of each page.
    async fn read_rows<E: From<StoreError>>(
        &self,
        program: &ProgramName,
        mut admit: impl FnMut(usize) -> Result<(), E>,
    ) -> Result<ProgramRows, E> {
        let mut range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: None,
            limit: None,
        };
        let mut rows: Vec<StoredRow> = Vec::new();
        let mut version = None;
        loop {
            let reply = self.store.range(&range).await?;
            version.get_or_insert(reply.version);
            let values = reply.rows.iter().filter_map(|row| row.value.as_ref());
            admit(values.map(|value| value.len()).sum())?;
            let last = reply.rows.last().map(|last| last.key.key.clone());
            rows.extend(reply.rows);
            match last {
                _ if !reply.truncated => break,
                // The smallest key after the last one.
                Some(last) => range.from = Some(format!("{last}\0").into()),
                None => {
                    let message = "a truncated page has no rows".into();
                    return Err(StoreError::Malformed { message }.into());
                }
            }
        }
        Ok(ProgramRows { rows, version: version.unwrap_or_default() })
    }
}

#[derive(Display)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join(","))]
struct ReadList<'a>(&'a [ProgramRead]);

fn no_such_turn(load: &ChainLoad, missing: &TurnId, index_version: RowVersion) -> LoadError {
    let TurnClaim { turn, program, previous, .. } = load.claim;
    log::info!(
        "event=turn_not_found turn={turn} program={program} previous={} missing={missing} read={} \
         index=none@{index_version}",
        previous.as_deref().unwrap_or("-"),
        ReadList(&load.reads)
    );
    LoadError::Chain(ChainError::NoSuchTurn)
}
