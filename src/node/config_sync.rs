//! Keeps the instance's configuration up to date and commits operators' changes.

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

/// Interval of requests for the head. A proof that comes through a member is up to two intervals
/// old, which leaves time to read the table within the bound of three seconds.
const HEAD_POLL_INTERVAL: Duration = Duration::from_secs(1);
const HEAD_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which the proof is renewed from the table, also where a member is the source.
const TABLE_FALLBACK_AGE: Duration = Duration::from_millis(2200);
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
const CATCH_UP_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Bounds the retries after unrelated changes were committed first.
const MAX_CHANGE_ATTEMPTS: usize = 32;
/// Bounds the retries after lost replies.
const MAX_COMMIT_ATTEMPTS: usize = 8;
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(250);
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);
const LOG_PAGE_ROWS: usize = 256;

const OBJECT_PREFIX: &str = "config/object/";

fn log_key(version: ConfigVersion) -> RowKey {
    format!("config/log/{version:012}").into()
}

fn object_key(body: &ChangeBody) -> RowKey {
    format!("{OBJECT_PREFIX}{}", body.key()).into()
}

/// Failure of an operator's change.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeError {
    /// The object is not at the version that the operator expected.
    Conflict {
        current: ConfigVersion,
        message: Box<str>,
    },
    Invalid(Box<str>),
    /// Nothing was changed.
    Unavailable {
        retry_after: Duration,
    },
    /// The table's reply was lost; the change may be committed.
    Unknown {
        message: Box<str>,
    },
}

impl From<InvalidSpec> for ChangeError {
    fn from(fault: InvalidSpec) -> Self {
        Self::Invalid(fault.to_string().into())
    }
}

/// For failed reads only: they change nothing, even if the reply was lost.
impl From<StoreError> for ChangeError {
    fn from(_: StoreError) -> Self {
        Self::Unavailable { retry_after: UNAVAILABLE_RETRY_DELAY }
    }
}

impl Node {
    /// Starts the tasks that poll the head and fetch the changes up to it.
    pub(crate) fn spawn_config_sync(self: Rc<Self>) {
        let poller = self.clone();
        actix_rt::spawn(async move {
            let mut next = Instant::now();
            while !poller.is_stopped() {
                if Instant::now() >= next || poller.config_age() >= TABLE_FALLBACK_AGE {
                    next = Instant::now() + HEAD_POLL_INTERVAL;
                    poller.refresh_head().await;
                }
                sleep(HEAD_TICK_INTERVAL).await;
            }
        });
        actix_rt::spawn(async move {
            while !self.is_stopped() {
                self.config_changed.notified().await;
                if self.catch_up().await.is_err() {
                    sleep(CATCH_UP_RETRY_DELAY).await;
                    self.config_changed.notify_one();
                }
            }
        });
    }

    /// Time since the local configuration was last proven to be the newest.
    fn config_age(&self) -> Duration {
        self.config.borrow().age(Instant::now()).unwrap_or(Duration::MAX)
    }

    /// Requests the head from this instance's source: the table, or a member that reads it.
    ///
    /// If the member is partitioned or out of date, the proof ages until the table is read instead.
    async fn refresh_head(&self) {
        if let HeadSource::Member(source) = self.head_source()
            && self.config_age() < TABLE_FALLBACK_AGE
        {
            // A member has just read the table, so it is available.
            self.journal.set_read_failing(false);
            let actions = self.members.borrow_mut().ping(&source, Instant::now());
            self.perform(actions);
            return;
        }
        let read_at = Instant::now();
        let answer = self.read_head().await;
        self.journal.set_read_failing(answer.is_err());
        if let Ok(head) = answer {
            self.observe_config_head(head, read_at);
        }
    }

    fn head_source(&self) -> HeadSource {
        let members = self.members.borrow();
        head_source(&self.settings.instance, members.serving().map(|member| &member.instance))
    }

    /// Observes the head in a datagram, and wakes the fetching task if it is newer.
    ///
    /// The age in an answer counts from the time its ping was sent, since the answer may have been
    /// delayed in the network or by a pause of this process. Other messages prove no age.
    pub(crate) fn observe_config(&self, message: &GossipMessage, ping_sent: Option<Instant>) {
        if let (Some(ping_sent), Some(age)) = (ping_sent, message.head_age)
            && let Some(at) = ping_sent.checked_sub(age)
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
        if let Some(source) = self.config_announcer.take() {
            self.fetch_changes(&source).await;
        }
        if self.config.borrow().is_behind() {
            self.sync_config().await?;
        }
        if self.config_version() > before {
            self.announce_config();
        }
        Ok(())
    }

    async fn fetch_changes(&self, source: &str) {
        let peer = self.members.borrow().get(source).cloned();
        let Some(peer) = peer else { return };
        let fetching = self.peers.changes_since(&peer, self.config_version());
        if let Ok(Ok(changes)) = timeout(FETCH_TIMEOUT, fetching).await {
            for change in changes {
                self.apply_change(&change);
            }
        }
    }

    /// Announces a new version to a few members, which fetch it and announce it in turn.
    fn announce_config(&self) {
        let actions = self.members.borrow_mut().push_updates(Instant::now());
        self.perform(actions);
    }

    /// Version of the newest change applied at this instance.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.borrow().version()
    }

    /// Loads the complete configuration from the table.
    pub(crate) async fn load_config(&self) -> Result<(), StoreError> {
        let read_at = Instant::now();
        let head = self.read_head().await?;
        for found in scan_all(&*self.table, OBJECT_PREFIX).await? {
            let change: ConfigChange = parse_row(&found.row)?;
            self.config.borrow_mut().load(change.version, &change.body);
        }
        self.config.borrow_mut().finish_load(head);
        self.observe_config_head(head, read_at);
        Ok(())
    }

    async fn read_head(&self) -> Result<ConfigVersion, StoreError> {
        let found = self.table.read(&[CONFIG_HEAD_KEY.into()]).await?.pop().flatten();
        found.map_or(Ok(0), |row| parse_row(&row))
    }

    pub(crate) fn observe_config_head(&self, head: ConfigVersion, at: Instant) {
        self.config.borrow_mut().observe_head(head, at);
        if self.config.borrow().is_behind() {
            self.config_changed.notify_one();
        }
    }

    pub(crate) async fn sync_config(&self) -> Result<(), StoreError> {
        let read_at = Instant::now();
        let head = self.read_head().await?;
        while self.config.borrow().version() < head {
            let after = log_key(self.config.borrow().version());
            let rows = self.table.scan("config/log/", Some(&after), LOG_PAGE_ROWS).await?;
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

    /// Changes after `version`; empty if they are no longer kept.
    pub(crate) fn changes_since(&self, version: ConfigVersion) -> Vec<ConfigChange> {
        self.config.borrow().changes_since(version).unwrap_or_default()
    }

    pub(crate) fn apply_change(&self, change: &ConfigChange) {
        self.observe_stamp(change.stamp);
        if self.config.borrow_mut().apply(change) == ApplyOutcome::Applied {
            self.event("config_applied").detail(format!("version={}", change.version)).log();
        }
    }

    /// Commits an operator's change if the object is still at version `expected`.
    pub async fn change_config(
        &self,
        body: ChangeBody,
        expected: ConfigVersion,
    ) -> Result<ConfigVersion, ChangeError> {
        body.check()?;
        for _ in 0..MAX_CHANGE_ATTEMPTS {
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
        Err(ChangeError::Unavailable { retry_after: UNAVAILABLE_RETRY_DELAY })
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

    /// Returns `None` if another change was committed first.
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

    /// Commits a change, repeating it unchanged while its outcome is unknown; false if another
    /// change was committed first.
    ///
    /// Reporting a lost reply as a failure would make the operator repeat the change and conflict
    /// with the first attempt. After a conflict no attempt can succeed, as versions only increase;
    /// the log then shows which change was committed.
    async fn commit_change(
        &self,
        change: &ConfigChange,
        transaction: &TableTransaction,
    ) -> Result<bool, ChangeError> {
        let mut reply_lost = false;
        let mut last_error = StoreError::Unavailable;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            self.metrics.record_store_write();
            match self.table.commit(transaction).await {
                Ok(CommitReply::Committed) => return Ok(true),
                Ok(CommitReply::Conflict(_)) if !reply_lost => return Ok(false),
                Ok(CommitReply::Conflict(_)) => match self.read_change(change.version).await {
                    Ok(committed) => return Ok(committed.as_ref() == Some(change)),
                    Err(error) => last_error = error,
                },
                Err(error) => {
                    reply_lost |= is_indeterminate(&error);
                    last_error = error;
                }
            }
            if !reply_lost {
                break;
            }
            sleep(COMMIT_RETRY_DELAY).await;
        }
        if reply_lost {
            Err(ChangeError::Unknown { message: last_error.to_string().into() })
        } else {
            Err(last_error.into())
        }
    }

    async fn read_change(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<ConfigChange>, StoreError> {
        let found = self.table.read(&[log_key(version)]).await?.pop().flatten();
        found.map(|row| parse_row(&row)).transpose()
    }

    /// Updates the budget row in the same transaction, so that its limit stays at or above the
    /// tokens drawn.
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
