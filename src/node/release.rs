//! Releases the engine memory of ended programs, and ends programs that are idle or orphaned.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::stream::{StreamExt, iter};
use tokio::time::{sleep, timeout};

use super::instance::Node;
use super::platform::{RosterEntry, RosterRole};
use crate::core::history::{EndReason, JournalRecord, ProgramRecord};
use crate::core::ids::{ProgramId, ShardId, UpstreamId, shard_of};
use crate::core::ownership::ShardPhase;

const RELEASE_INTERVAL: Duration = Duration::from_millis(500);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_ENGINES: usize = 16;
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Memory that an engine may hold for an ended program.
#[derive(Debug, Clone, PartialEq)]
struct PendingRelease {
    program: ProgramId,
    engine: UpstreamId,
}

impl Node {
    pub(crate) fn spawn_release(self: Rc<Self>) {
        let releasing = self.clone();
        actix_rt::spawn(async move {
            while !releasing.is_stopped() {
                sleep(RELEASE_INTERVAL).await;
                releasing.release_ended().await;
            }
        });
        let ending = self.clone();
        actix_rt::spawn(async move {
            while !ending.is_stopped() {
                sleep(RELEASE_INTERVAL).await;
                ending.end_obsolete_programs().await;
            }
        });
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                sleep(SWEEP_INTERVAL).await;
                self.sweep_engines().await;
            }
        });
    }

    fn is_serving(&self, shard: ShardId) -> bool {
        self.shards.borrow().phase(shard) == Some(ShardPhase::Serving)
    }

    /// Repeats each release until the engine confirms it. Engines are handled concurrently, and one
    /// that does not answer is skipped until the next round, so that it does not delay the others.
    async fn release_ended(&self) {
        let mut pending: BTreeMap<UpstreamId, Vec<PendingRelease>> = BTreeMap::new();
        for program in self.book.borrow().iter() {
            if program.ended.is_some() && self.is_serving(shard_of(program.id)) {
                for release in pending_releases(program) {
                    pending.entry(release.engine.clone()).or_default().push(release);
                }
            }
        }
        let engines = iter(pending.into_values());
        engines
            .for_each_concurrent(MAX_CONCURRENT_ENGINES, |releases| {
                self.release_on_engine(releases)
            })
            .await;
    }

    /// Stops at the first request that the engine does not confirm; journals the confirmed ones.
    async fn release_on_engine(&self, releases: Vec<PendingRelease>) {
        let epoch = self.incarnation();
        let mut confirmed = Vec::new();
        for release in releases {
            if !self.release(&release).await {
                break;
            }
            let PendingRelease { program, engine } = release;
            self.event("memory_released").program(program).upstream(&engine).log();
            confirmed.push(JournalRecord::Released { program, upstream: engine });
        }
        if epoch != self.incarnation() {
            return;
        }
        confirmed.retain(|record| self.is_serving(shard_of(record.program())));
        if !confirmed.is_empty() {
            let _ = self.journal.append(epoch, confirmed).await;
        }
    }

    /// Returns true if the engine holds no more memory for the program.
    async fn release(&self, release: &PendingRelease) -> bool {
        self.residency.borrow_mut().drop_program(&release.engine, release.program);
        let entry = self.roster.borrow().get(&release.engine).cloned();
        // An engine that has left the roster is gone, and its memory with it.
        let Some(entry) = entry else { return true };
        let request = self.engines.release(&entry.address, release.program);
        let released = matches!(timeout(RELEASE_TIMEOUT, request).await, Ok(Ok(())));
        if released {
            self.forget_program(&release.engine, release.program);
        }
        released
    }

    /// Ends programs that are idle or whose workspace is retired or whose parent has ended.
    async fn end_obsolete_programs(self: &Rc<Self>) {
        let mut obsolete: Vec<(ProgramId, EndReason)> = Vec::new();
        let mut parents: BTreeMap<ProgramId, Vec<ProgramId>> = BTreeMap::new();
        for program in self.book.borrow().iter() {
            let live = program.ended.is_none() && program.running.is_none();
            if !live || !self.is_serving(shard_of(program.id)) {
                continue;
            }
            if let Some(reason) = self.end_reason(program) {
                obsolete.push((program.id, reason));
            } else if let Some(parent) = program.parent {
                parents.entry(parent).or_default().push(program.id);
            }
        }
        let ended = self.ended_programs(parents.keys().copied().collect()).await;
        for parent in ended {
            let children = parents.remove(&parent).unwrap_or_default();
            obsolete.extend(children.into_iter().map(|child| (child, EndReason::ParentEnded)));
        }
        // Concurrently, so that many programs of a retired workspace share commits.
        let ending = obsolete.into_iter().map(|(program, reason)| self.end_here(program, reason));
        join_all(ending).await;
    }

    fn end_reason(&self, program: &ProgramRecord) -> Option<EndReason> {
        let config = self.config.borrow();
        if config.workspace(&program.workspace).is_some_and(|found| found.value.retired) {
            return Some(EndReason::WorkspaceRetired);
        }
        let definition = config.definition(&program.workspace, &program.definition)?;
        let idle = program.last_active?.elapsed();
        (idle >= definition.value.idle_limit).then_some(EndReason::Idle)
    }

    /// Filters for ended programs, local and remote. Omits those whose owner does not answer.
    async fn ended_programs(&self, programs: Vec<ProgramId>) -> Vec<ProgramId> {
        let mut ended = Vec::new();
        let mut remote: BTreeMap<ShardId, Vec<ProgramId>> = BTreeMap::new();
        for program in programs {
            if self.is_serving(shard_of(program)) {
                ended.extend(self.ended_locally(&[program]));
            } else {
                remote.entry(shard_of(program)).or_default().push(program);
            }
        }
        let queries = remote.into_iter().map(|(shard, programs)| self.query_owner(shard, programs));
        ended.extend(join_all(queries).await.into_iter().flatten());
        ended
    }

    async fn query_owner(&self, shard: ShardId, programs: Vec<ProgramId>) -> Vec<ProgramId> {
        let Some(peer) = self.shard_peer(shard) else { return Vec::new() };
        let reply = timeout(RELEASE_TIMEOUT, self.peers.ended_programs(&peer, programs)).await;
        reply.ok().and_then(Result::ok).unwrap_or_default()
    }

    /// Filters for ended programs in the shards served here. A program unknown to its shard has
    /// ended, as ids are never reused.
    pub(crate) fn ended_locally(&self, programs: &[ProgramId]) -> Vec<ProgramId> {
        let book = self.book.borrow();
        let ended = |program: &ProgramId| {
            self.is_serving(shard_of(*program))
                && book.get(*program).is_none_or(|record| record.ended.is_some())
        };
        programs.iter().copied().filter(ended).collect()
    }

    /// Finds memory that no journal record names, because the instance that sent the call died
    /// before it journaled anything of it.
    async fn sweep_engines(&self) {
        let mut engines = self.roster.borrow().all(RosterRole::Engine);
        engines.retain(|engine| self.owns_engine(&engine.id));
        iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_ENGINES, |engine| self.sweep_engine(engine))
            .await;
    }

    async fn sweep_engine(&self, engine: RosterEntry) {
        let reply = timeout(RELEASE_TIMEOUT, self.engines.held_programs(&engine.address)).await;
        let Ok(Ok(held)) = reply else { return };
        let programs = held.into_iter().map(|held| held.program).collect();
        for program in self.ended_programs(programs).await {
            let release = PendingRelease { program, engine: engine.id.clone() };
            if !self.release(&release).await {
                return;
            }
            self.event("memory_swept").program(program).upstream(&engine.id).log();
        }
    }
}

fn pending_releases(program: &ProgramRecord) -> Vec<PendingRelease> {
    let release =
        |engine: &UpstreamId| PendingRelease { program: program.id, engine: engine.clone() };
    program.holders.iter().map(release).collect()
}
