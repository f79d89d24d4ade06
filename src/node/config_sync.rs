//! Keeps the configuration current and takes operators' changes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::instance::Node;
use super::journal::{CONFIG_HEAD_KEY, budget_key, is_indeterminate};
use super::platform::{CommitReply, RowKey, StoreError, TableTransaction, parse_row, scan_all};
use crate::core::budget::BudgetRow;
use crate::core::config::{
    ApplyOutcome, ChangeBody, ConfigChange, HeadSource, InvalidSpec, WorkspaceSpec, head_source,
};
use crate::core::ids::ConfigVersion;
use crate::core::members::GossipMessage;

/// How often an instance asks for the head. A proof is at most two intervals old where it came by
/// way of a member, which leaves time to read the table before the bound of three seconds.
const HEAD_INTERVAL: Duration = Duration::from_secs(1);
const HEAD_TICK: Duration = Duration::from_millis(100);
/// A proof this old is renewed from the table, whoever should have told.
const FALLBACK_AGE: Duration = Duration::from_millis(2200);
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
const CATCH_UP_RETRY: Duration = Duration::from_millis(250);
/// Times a change is tried again because an unrelated one got in before it.
const MAX_RACES: usize = 32;
/// Times a change is sent whose replies are lost.
const COMMIT_ATTEMPTS: usize = 8;
const COMMIT_RETRY: Duration = Duration::from_millis(250);
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);
/// Changes read from the table at a time.
const LOG_PAGE: usize = 256;

const OBJECT_PREFIX: &str = "config/object/";

fn log_key(version: ConfigVersion) -> RowKey {
    format!("config/log/{version:012}").into()
}

fn object_key(body: &ChangeBody) -> RowKey {
    format!("{OBJECT_PREFIX}{}", body.key()).into()
}

/// An operator's change that was not taken.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeError {
    /// Another change to the same object was first.
    Conflict {
        current: ConfigVersion,
        message: Box<str>,
    },
    Invalid(Box<str>),
    /// Nothing changed.
    Unavailable {
        retry_after: Duration,
    },
    /// The table's reply was lost.
    Unknown {
        message: Box<str>,
    },
}

impl From<InvalidSpec> for ChangeError {
    fn from(fault: InvalidSpec) -> Self {
        Self::Invalid(fault.to_string().into())
    }
}

/// A read that failed has changed nothing, whatever became of its reply.
impl From<StoreError> for ChangeError {
    fn from(_: StoreError) -> Self {
        Self::Unavailable { retry_after: UNAVAILABLE_RETRY }
    }
}

impl Node {
    /// Starts the tasks that learn the head and fetch the changes up to it.
    pub(crate) fn spawn_config_sync(self: Rc<Self>) {
        let following = self.clone();
        actix_rt::spawn(async move {
            let mut next = Instant::now();
            while !following.is_stopped() {
                if Instant::now() >= next || following.config_age() >= FALLBACK_AGE {
                    next = Instant::now() + HEAD_INTERVAL;
                    following.refresh_head().await;
                }
                sleep(HEAD_TICK).await;
            }
        });
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                self.config_changed.notified().await;
                if self.catch_up().await.is_err() {
                    sleep(CATCH_UP_RETRY).await;
                    self.config_changed.notify_one();
                }
            }
        });
    }

    /// How long ago the configuration here was certainly the newest.
    fn config_age(&self) -> Duration {
        self.config.borrow().age(Instant::now()).unwrap_or(Duration::MAX)
    }

    /// Asks for the head where this instance gets it from: the table, or a member that reads it.
    ///
    /// The member may be cut off or know no more than this instance; then the proof grows old, and
    /// the table is read before the bound on its age is reached.
    async fn refresh_head(&self) {
        if let HeadSource::Member(source) = self.head_source()
            && self.config_age() < FALLBACK_AGE
        {
            // Somebody has read the table a moment ago: it answers.
            self.journal.set_read_failing(false);
            let actions = self.members.borrow_mut().ping(&source, Instant::now());
            self.perform(actions);
            return;
        }
        let read_at = Instant::now();
        let answer = self.read_head().await;
        self.journal.set_read_failing(answer.is_err());
        if let Ok(head) = answer {
            self.saw_config_head(head, read_at);
        }
    }

    fn head_source(&self) -> HeadSource {
        let members = self.members.borrow();
        head_source(&self.settings.instance, members.serving().map(|member| &member.instance))
    }

    /// Takes in what a datagram says of the head.
    ///
    /// The age in an answer counts from the moment the question left here: how long the answer was
    /// on its way, or lay unread while this process was paused, is not known. An unasked message
    /// proves nothing for that reason; its head only tells that there is something to fetch.
    pub(crate) fn hear_config(&self, message: &GossipMessage, asked: Option<Instant>) {
        if let (Some(asked), Some(age)) = (asked, message.head_age)
            && let Some(at) = asked.checked_sub(age)
        {
            self.config.borrow_mut().observe_head(message.config_head, at);
        }
        self.config.borrow_mut().raise_head(message.config_head);
        if self.config.borrow().version() < message.config_head {
            *self.config_announcer.borrow_mut() = Some(message.from.clone());
            self.config_changed.notify_one();
        }
    }

    /// Fetches missing changes from the member that announced them, else from the table.
    async fn catch_up(&self) -> Result<(), StoreError> {
        let before = self.config_version();
        if let Some(announcer) = self.config_announcer.take() {
            self.fetch_changes(&announcer).await;
        }
        if self.config.borrow().is_behind() {
            self.sync_config().await?;
        }
        if self.config_version() > before {
            self.announce_config();
        }
        Ok(())
    }

    async fn fetch_changes(&self, announcer: &str) {
        let peer = self.members.borrow().get(announcer).cloned();
        let Some(peer) = peer else { return };
        let fetching = self.peers.changes_since(&peer, self.config_version());
        if let Ok(Ok(changes)) = timeout(FETCH_TIMEOUT, fetching).await {
            for change in changes {
                self.apply_change(&change);
            }
        }
    }

    /// Tells a few members of a new version at once; they fetch it and tell others in turn.
    fn announce_config(&self) {
        let actions = self.members.borrow_mut().push_updates(Instant::now());
        self.perform(actions);
    }

    /// The newest change in force at this instance.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.borrow().version()
    }

    /// Loads the newest configuration as a whole.
    pub(crate) async fn load_config(&self) -> Result<(), StoreError> {
        let read_at = Instant::now();
        let head = self.read_head().await?;
        for found in scan_all(&*self.table, OBJECT_PREFIX).await? {
            let change: ConfigChange = parse_row(&found.row)?;
            self.config.borrow_mut().load(change.version, &change.body);
        }
        self.config.borrow_mut().finish_load(head);
        self.saw_config_head(head, read_at);
        Ok(())
    }

    async fn read_head(&self) -> Result<ConfigVersion, StoreError> {
        let found = self.table.read(&[CONFIG_HEAD_KEY.into()]).await?.pop().flatten();
        found.map_or(Ok(0), |row| parse_row(&row))
    }

    /// Notes that the head was `head` at `at`.
    pub(crate) fn saw_config_head(&self, head: ConfigVersion, at: Instant) {
        self.config.borrow_mut().observe_head(head, at);
        if self.config.borrow().is_behind() {
            self.config_changed.notify_one();
        }
    }

    /// Reads the head and the changes up to it.
    pub(crate) async fn sync_config(&self) -> Result<(), StoreError> {
        let read_at = Instant::now();
        let head = self.read_head().await?;
        while self.config.borrow().version() < head {
            let after = log_key(self.config.borrow().version());
            let rows = self.table.scan("config/log/", Some(&after), LOG_PAGE).await?;
            let before = self.config.borrow().version();
            for found in rows {
                let change: ConfigChange = parse_row(&found.row)?;
                self.apply_change(&change);
            }
            if self.config.borrow().version() == before {
                break;
            }
        }
        self.config.borrow_mut().observe_head(head, read_at);
        Ok(())
    }

    /// Changes for a peer that lags.
    pub(crate) fn changes_since(&self, version: ConfigVersion) -> Vec<ConfigChange> {
        self.config.borrow().changes_since(version).unwrap_or_default()
    }

    pub(crate) fn apply_change(&self, change: &ConfigChange) {
        self.observe_stamp(change.stamp);
        if self.config.borrow_mut().apply(change) == ApplyOutcome::Applied {
            self.event("config_applied").detail(format!("version={}", change.version)).log();
        }
    }

    /// Makes an operator's change, if the object still has the version the operator read.
    pub async fn change_config(
        &self,
        body: ChangeBody,
        expected: ConfigVersion,
    ) -> Result<ConfigVersion, ChangeError> {
        body.check()?;
        for _ in 0..MAX_RACES {
            self.sync_config().await?;
            let current = self.config.borrow().object_version(&body);
            if current != expected {
                let message = conflict_message(&body, current, expected);
                return Err(ChangeError::Conflict { current, message });
            }
            self.check_references(&body)?;
            if let Some(version) = self.try_change(&body).await? {
                return Ok(version);
            }
        }
        Err(ChangeError::Unavailable { retry_after: UNAVAILABLE_RETRY })
    }

    fn check_references(&self, body: &ChangeBody) -> Result<(), ChangeError> {
        if let ChangeBody::EngineGroup(spec) = body {
            return self.check_model(&spec.model);
        }
        let ChangeBody::Definition(spec) = body else { return Ok(()) };
        let config = self.config.borrow();
        let workspace = config.workspace(&spec.workspace).filter(|found| !found.value.retired);
        if workspace.is_none() {
            let message = format!("workspace '{}' does not exist or is retired", spec.workspace);
            return Err(ChangeError::Invalid(message.into()));
        }
        self.check_model(&spec.model)
    }

    fn check_model(&self, model: &str) -> Result<(), ChangeError> {
        if self.settings.model(model).is_none() {
            let message = format!("model is '{model}', which no setting names");
            return Err(ChangeError::Invalid(message.into()));
        }
        Ok(())
    }

    /// One attempt; `None` if another change got in between.
    async fn try_change(&self, body: &ChangeBody) -> Result<Option<ConfigVersion>, ChangeError> {
        let head_row = self.table.read(&[CONFIG_HEAD_KEY.into()]).await?.pop().flatten();
        let head_version = head_row.as_ref().map_or(0, |row| row.version);
        let head: ConfigVersion = head_row.map_or(Ok(0), |row| parse_row(&row))?;
        if head != self.config.borrow().version() {
            return Ok(None);
        }
        let change = ConfigChange { version: head + 1, stamp: self.stamp(), body: body.clone() };
        let mut transaction = TableTransaction::default()
            .check(CONFIG_HEAD_KEY, head_version)
            .put(CONFIG_HEAD_KEY, &change.version)
            .put(log_key(change.version), &change)
            .put(object_key(body), &change);
        if let ChangeBody::Workspace(spec) = body {
            transaction = self.budget_change(transaction, spec).await?;
        }
        if !self.commit_change(&change, &transaction).await? {
            return Ok(None);
        }
        self.apply_change(&change);
        self.announce_config();
        self.event("config_accepted").detail(format!("version={}", change.version)).log();
        Ok(Some(change.version))
    }

    /// Commits a change, repeating it to the letter until its fate is known; false if another
    /// change got in between.
    ///
    /// A lost reply leaves open whether the change stands. Told that it failed, its operator would
    /// make it again and meet a conflict with himself. Versions only rise, so a conflict dooms all
    /// attempts alike, and the log then tells whose change stands.
    async fn commit_change(
        &self,
        change: &ConfigChange,
        transaction: &TableTransaction,
    ) -> Result<bool, ChangeError> {
        let mut lost = false;
        let mut last = StoreError::Unavailable;
        for _ in 0..COMMIT_ATTEMPTS {
            self.metrics.store_write();
            match self.table.commit(transaction).await {
                Ok(CommitReply::Committed) => return Ok(true),
                Ok(CommitReply::Conflict(_)) if !lost => return Ok(false),
                Ok(CommitReply::Conflict(_)) => match self.read_change(change.version).await {
                    Ok(stands) => return Ok(stands.as_ref() == Some(change)),
                    Err(error) => last = error,
                },
                Err(error) => {
                    lost |= is_indeterminate(&error);
                    last = error;
                }
            }
            if !lost {
                break;
            }
            sleep(COMMIT_RETRY).await;
        }
        if lost {
            Err(ChangeError::Unknown { message: last.to_string().into() })
        } else {
            Err(last.into())
        }
    }

    async fn read_change(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<ConfigChange>, StoreError> {
        let found = self.table.read(&[log_key(version)]).await?.pop().flatten();
        found.map(|row| parse_row(&row)).transpose()
    }

    /// Adds the budget's row to the change of a workspace: limit and draws must never disagree.
    async fn budget_change(
        &self,
        transaction: TableTransaction,
        spec: &WorkspaceSpec,
    ) -> Result<TableTransaction, ChangeError> {
        let key = budget_key(&spec.id);
        let found = self.table.read(std::slice::from_ref(&key)).await?.pop().flatten();
        let version = found.as_ref().map_or(0, |row| row.version);
        let row: BudgetRow = found.map_or(Ok(BudgetRow::default()), |row| parse_row(&row))?;
        if spec.budget < row.drawn {
            let message = format!(
                "budget_tokens is '{}', but must be at least {}, which is drawn already",
                spec.budget, row.drawn
            );
            return Err(ChangeError::Invalid(message.into()));
        }
        let next = BudgetRow { limit: spec.budget, ..row };
        Ok(transaction.check(key.clone(), version).put(key, &next))
    }
}

fn conflict_message(
    body: &ChangeBody,
    current: ConfigVersion,
    expected: ConfigVersion,
) -> Box<str> {
    let key = body.key();
    match (current, expected) {
        (0, _) => format!("{key} does not exist"),
        (_, 0) => format!("{key} exists already, at version {current}"),
        _ => format!("{key} is at version {current}, not {expected}"),
    }
    .into()
}
