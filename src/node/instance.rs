//! State and lifecycle of one instance.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::calls::LiveCall;
use super::engines::SlotScheduler;
use super::journal::{JournalWriter, UNFENCED_VERSION, incarnation_key, run_journal};
use super::metrics::{NodeMetrics, NodeSample};
use super::ownership::{JournalTail, SegmentIndex};
use super::peers::{PeerNetwork, TimedPeers};
use super::platform::{
    CommitReply, ObjectStore, RosterSource, StoreError, TableStore, TableTransaction,
    TimedPlatform, parse_row,
};
use super::programs::StartKey;
use super::roster::RosterView;
use super::upstream::{EngineClient, ServiceClient};
use crate::config::NodeSettings;
use crate::core::budget::{BudgetLedger, LedgerSettings, Reservation};
use crate::core::cache::{PrefixKey, ResidencyMap};
use crate::core::config::ConfigView;
use crate::core::history::ProgramBook;
use crate::core::ids::{
    CallNumber, Incarnation, InstanceId, ProgramId, ShardId, Tokens, format_program_id,
};
use crate::core::members::{MemberInfo, MemberLoad, MemberSettings, MemberState, MemberTable};
use crate::core::outcome::{CallOutcome, UnknownCall};
use crate::core::ownership::{IncarnationRow, ShardOwner, ShardTable};
use crate::core::repeats::LossTable;
use crate::core::timeline::{CausalClock, CausalStamp, EventRing, TimelineEvent};

/// Settings and dependencies of a node; tests pass fakes.
pub struct NodeParts {
    pub settings: NodeSettings,
    pub table: Rc<dyn TableStore>,
    pub objects: Rc<dyn ObjectStore>,
    pub roster: Rc<dyn RosterSource>,
    pub engines: Rc<dyn EngineClient>,
    pub services: Rc<dyn ServiceClient>,
    pub peers: Rc<dyn PeerNetwork>,
    /// Offset added to the wall clock, for tests with clock skew.
    pub skew: Duration,
    pub seed: u64,
}

impl NodeParts {
    /// Adds timeouts to the platform and to peers.
    fn timed(self) -> Self {
        Self {
            table: TimedPlatform::new(self.table),
            objects: TimedPlatform::new(self.objects),
            roster: TimedPlatform::new(self.roster),
            peers: TimedPeers::new(self.peers),
            ..self
        }
    }
}

/// A running instance, shared by its tasks on one thread.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) table: Rc<dyn TableStore>,
    pub(crate) objects: Rc<dyn ObjectStore>,
    pub(crate) roster_source: Rc<dyn RosterSource>,
    pub(crate) engines: Rc<dyn EngineClient>,
    pub(crate) services: Rc<dyn ServiceClient>,
    pub(crate) peers: Rc<dyn PeerNetwork>,
    pub(crate) members: RefCell<MemberTable>,
    pub(crate) shards: RefCell<ShardTable>,
    pub(crate) book: RefCell<ProgramBook>,
    pub(crate) ledger: RefCell<BudgetLedger>,
    pub(crate) config: RefCell<ConfigView>,
    pub(crate) residency: RefCell<ResidencyMap>,
    pub(crate) slot_scheduler: RefCell<SlotScheduler>,
    pub(crate) roster: RefCell<RosterView>,
    pub(crate) journal: JournalWriter,
    pub(crate) metrics: NodeMetrics,
    pub(crate) live: RefCell<BTreeMap<(ProgramId, CallNumber), Rc<LiveCall>>>,
    pub(crate) calls_changed: Notify,
    /// Segment objects referenced by the last checkpoints of the served shards.
    pub(crate) segments: RefCell<SegmentIndex>,
    /// Keys of starts in progress.
    pub(crate) starting: RefCell<BTreeSet<StartKey>>,
    pub(crate) shards_changed: Notify,
    pub(crate) config_changed: Notify,
    /// The member that last announced a newer configuration.
    pub(crate) config_announcer: RefCell<Option<InstanceId>>,
    /// Wakes the task that claims and hands over shards.
    pub(crate) ownership_hint: Notify,
    pub(crate) suspects: RefCell<BTreeMap<Incarnation, JournalTail>>,
    /// Engines that restarted under calls of the programs served here.
    pub(crate) losses: RefCell<LossTable>,
    pub(crate) program_counter: Cell<u64>,
    pub(crate) draining: Cell<bool>,
    /// Callers' requests in progress, including forwarded ones.
    pub(super) open_requests: Cell<u32>,
    /// Time of the last owner lookup made for a call, by shard.
    pub(crate) owners_read: RefCell<BTreeMap<ShardId, Instant>>,
    pub(super) stopped: Cell<bool>,
    incarnation: Cell<Incarnation>,
    clock: RefCell<CausalClock>,
    events: RefCell<EventRing>,
    started: Instant,
    wall_start: Duration,
}

/// Row with the highest incarnation number allocated to any instance.
const INCARNATION_COUNTER: &str = "incarnation-counter";
const EVENT_CAPACITY: usize = 20_000;
const START_RETRY_DELAY: Duration = Duration::from_millis(200);

pub async fn start_node(parts: NodeParts) -> Result<Rc<Node>, StoreError> {
    let parts = parts.timed();
    let incarnation = allocate_incarnation(&*parts.table, &parts.settings.instance).await?;
    let node = Rc::new(Node::new(parts, incarnation));
    node.journal.reset(incarnation);
    node.load_config().await?;
    node.refresh_roster().await;
    node.event("instance_started").detail(format!("incarnation={incarnation}")).log();
    actix_rt::spawn(run_journal(node.clone()));
    node.clone().spawn_gossip();
    node.clone().spawn_roster();
    node.clone().spawn_config_sync();
    node.clone().spawn_ownership();
    node.clone().spawn_slot_scheduler();
    node.clone().spawn_release();
    node.clone().spawn_grant_review();
    node.clone().spawn_audit();
    node.clone().spawn_orders();
    node.clone().spawn_checkpoints();
    Ok(node)
}

/// Allocates the next incarnation number.
///
/// A lost reply may leave a number unused. None is used twice, as the counter's row is written
/// conditionally.
async fn allocate_incarnation(
    table: &dyn TableStore,
    instance: &InstanceId,
) -> Result<Incarnation, StoreError> {
    loop {
        let found = table.read(&[INCARNATION_COUNTER.into()]).await?.pop().flatten();
        let (last, version) = match &found {
            Some(row) => (parse_row::<Incarnation>(row)?, row.version),
            None => (0, 0),
        };
        let next = last + 1;
        let row = IncarnationRow { instance: instance.clone(), fenced_by: None };
        let transaction = TableTransaction::default()
            .check(INCARNATION_COUNTER, version)
            .put(INCARNATION_COUNTER, &next)
            .put(incarnation_key(next), &row);
        match table.commit(&transaction).await {
            Ok(CommitReply::Committed) => return Ok(next),
            Ok(CommitReply::Conflict(_)) | Err(StoreError::ReplyLost) => {}
            Err(error) => return Err(error),
        }
    }
}

fn ledger_settings(settings: &NodeSettings) -> LedgerSettings {
    LedgerSettings {
        slice: settings.limits.budget_slice_tokens,
        headroom: settings.limits.budget_headroom_tokens,
    }
}

impl Node {
    fn new(parts: NodeParts, incarnation: Incarnation) -> Self {
        let settings = parts.settings;
        let local = MemberInfo {
            instance: settings.instance.clone(),
            incarnation,
            revision: 0,
            state: MemberState::Alive,
            zone: settings.zone.clone(),
            http_address: settings.http_address.clone(),
            rpc_address: settings.rpc_address.clone(),
            gossip_address: settings.gossip_address.clone(),
            load: MemberLoad::default(),
        };
        let now = Instant::now();
        let members = MemberTable::new(MemberSettings::default(), local, parts.seed, now);
        let ledger = ledger_settings(&settings);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            table: parts.table,
            objects: parts.objects,
            roster_source: parts.roster,
            engines: parts.engines,
            services: parts.services,
            peers: parts.peers,
            members: RefCell::new(members),
            shards: RefCell::new(ShardTable::new(settings.shards)),
            book: RefCell::default(),
            ledger: RefCell::new(BudgetLedger::new(ledger, incarnation)),
            config: RefCell::default(),
            residency: RefCell::default(),
            slot_scheduler: RefCell::new(SlotScheduler::new(incarnation, parts.seed)),
            roster: RefCell::default(),
            journal: JournalWriter::default(),
            metrics: NodeMetrics::new(&settings.instance),
            live: RefCell::default(),
            calls_changed: Notify::new(),
            starting: RefCell::default(),
            segments: RefCell::default(),
            shards_changed: Notify::new(),
            config_changed: Notify::new(),
            config_announcer: RefCell::default(),
            ownership_hint: Notify::new(),
            suspects: RefCell::default(),
            losses: RefCell::default(),
            program_counter: Cell::new(0),
            draining: Cell::new(false),
            open_requests: Cell::new(0),
            owners_read: RefCell::default(),
            stopped: Cell::new(false),
            incarnation: Cell::new(incarnation),
            clock: RefCell::default(),
            events: RefCell::new(EventRing::new(EVENT_CAPACITY)),
            started: now,
            wall_start: wall + parts.skew,
            settings,
        }
    }

    pub fn instance(&self) -> &InstanceId {
        &self.settings.instance
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation.get()
    }

    pub(crate) fn identity(&self) -> ShardOwner {
        let instance = self.settings.instance.clone();
        ShardOwner { instance, incarnation: self.incarnation() }
    }

    /// Wall clock time since the Unix epoch; instances' clocks may differ.
    pub(crate) fn wall(&self) -> Duration {
        self.wall_start + self.started.elapsed()
    }

    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn stamp(&self) -> CausalStamp {
        self.clock.borrow_mut().tick(self.wall())
    }

    pub(crate) fn observe_stamp(&self, remote: CausalStamp) -> CausalStamp {
        self.clock.borrow_mut().observe(self.wall(), remote)
    }

    pub(crate) fn event(&self, kind: &'static str) -> EventBuilder<'_> {
        let event = TimelineEvent {
            stamp: self.stamp(),
            instance: self.settings.instance.clone(),
            kind: kind.into(),
            program: Box::default(),
            workspace: Box::default(),
            upstream: Box::default(),
            detail: Box::default(),
        };
        EventBuilder { node: self, event }
    }

    /// Recent events in ascending order of time.
    pub fn events_since(&self, after_micros: u64) -> Vec<TimelineEvent> {
        self.events.borrow().since(after_micros)
    }

    /// Members in order of their names, including this instance.
    pub fn member_list(&self) -> Vec<MemberInfo> {
        self.members.borrow().iter().cloned().collect()
    }

    pub fn serving_shards(&self) -> Vec<ShardId> {
        self.shards.borrow().serving().collect()
    }

    /// Number of shards that an instance owns in this instance's view.
    pub(crate) fn owned_shard_count(&self, instance: &str) -> u32 {
        let shards = self.shards.borrow();
        let owned = (0..shards.shards())
            .filter(|shard| shards.owner(*shard).is_some_and(|owner| &*owner.instance == instance));
        owned.count() as u32
    }

    /// The instance to forward a shard's calls to, unless it is this one or its incarnation ended.
    pub(crate) fn shard_peer(&self, shard: ShardId) -> Option<MemberInfo> {
        let owner = self.shards.borrow().owner(shard).cloned()?;
        let members = self.members.borrow();
        let member = members.get(&owner.instance)?;
        let reachable = member.state != MemberState::Dead
            && member.incarnation == owner.incarnation
            && owner.instance != self.settings.instance;
        reachable.then(|| member.clone())
    }

    pub(crate) fn settle(&self, reservation: Reservation, used: Tokens) {
        self.ledger.borrow_mut().settle(reservation, used);
    }

    pub(crate) fn record_computed_prefix(&self, engine: &str, key: PrefixKey, tokens: Tokens) {
        let roster = self.roster.borrow();
        let Some(entry) = roster.get(engine) else { return };
        let Some(model) = self.settings.model(&entry.group) else { return };
        self.residency.borrow_mut().touch(engine, key, tokens, model.cache_tokens);
    }

    pub(crate) fn sample_metrics(&self) {
        let totals = self.ledger.borrow().totals();
        self.metrics.sample(NodeSample {
            drawn: totals.drawn,
            spent: totals.spent,
            programs: self.book.borrow().len() as u64,
            shards: self.serving_shards().len() as u64,
            store_outage: self.journal.outage_duration().unwrap_or_default(),
        });
    }

    /// Stops serving at once; [`Node::step_down`] follows.
    ///
    /// Until a new incarnation is allocated, table rows may still name this one as owner. Shards
    /// must not be adopted on that basis: their programs may have continued elsewhere, and callers
    /// would see a history without its last turns.
    pub(crate) fn mark_fenced(&self) {
        self.shards.borrow_mut().clear_phases();
        self.journal.set_fenced();
    }

    /// Restarts as a new incarnation after this one has been fenced.
    ///
    /// Another instance has taken over the shards, so the state in memory may be stale. Running
    /// calls end with an unknown outcome; callers find the result at the new owner.
    pub(crate) async fn step_down(self: &Rc<Self>) {
        self.event("instance_fenced").detail(format!("incarnation={}", self.incarnation())).log();
        self.mark_fenced();
        self.book.borrow_mut().clear();
        for call in std::mem::take(&mut *self.live.borrow_mut()).into_values() {
            call.finish(CallOutcome::Unknown(UnknownCall {
                message: "the program has moved to another instance".into(),
                retryable: true,
            }));
        }
        let incarnation = loop {
            match allocate_incarnation(&*self.table, &self.settings.instance).await {
                Ok(incarnation) => break incarnation,
                Err(_) => sleep(START_RETRY_DELAY).await,
            }
        };
        self.incarnation.set(incarnation);
        self.journal.reset(incarnation);
        *self.ledger.borrow_mut() = BudgetLedger::new(ledger_settings(&self.settings), incarnation);
        self.members.borrow_mut().restart(self.incarnation());
        self.shards_changed.notify_waiters();
    }

    /// Stops all tasks without a handover, as a crash would.
    pub fn halt(&self) {
        self.stopped.set(true);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Incarnations of shard owners that are dead, replaced, or were never seen.
    pub(crate) fn ended_incarnations(&self) -> BTreeSet<Incarnation> {
        let shards = self.shards.borrow();
        let members = self.members.borrow();
        let members_known = self.started.elapsed() > Duration::from_secs(3);
        let mut ended = BTreeSet::new();
        for shard in 0..shards.shards() {
            let Some(owner) = shards.owner(shard) else { continue };
            let gone = match members.get(&owner.instance) {
                Some(info) => {
                    info.incarnation > owner.incarnation || info.state == MemberState::Dead
                }
                None => members_known,
            };
            if gone && owner.incarnation != self.incarnation() {
                ended.insert(owner.incarnation);
            }
        }
        ended
    }

    /// Adds a check that fails the transaction once this incarnation has been fenced.
    pub(crate) fn fenced(&self, transaction: TableTransaction) -> TableTransaction {
        transaction.check(incarnation_key(self.incarnation()), UNFENCED_VERSION)
    }
}

pub(crate) struct EventBuilder<'a> {
    node: &'a Node,
    event: TimelineEvent,
}

impl EventBuilder<'_> {
    pub(crate) fn program(mut self, program: ProgramId) -> Self {
        self.event.program = format_program_id(program);
        self
    }

    pub(crate) fn workspace(mut self, workspace: &str) -> Self {
        self.event.workspace = workspace.into();
        self
    }

    pub(crate) fn upstream(mut self, upstream: &str) -> Self {
        self.event.upstream = upstream.into();
        self
    }

    pub(crate) fn detail(mut self, detail: impl Into<Box<str>>) -> Self {
        self.event.detail = detail.into();
        self
    }

    /// Writes the event to the log and to the ring of recent events.
    pub(crate) fn log(self) {
        let event = self.event;
        log::info!("{event}");
        self.node.events.borrow_mut().push(event);
    }
}
