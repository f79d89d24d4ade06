//! How many members the deployment has, kept in the store for those that start.
//!
//! Where all instances start at once, each knows itself first and the others after a second or two. Each
//! would take itself for the limiter of all workspaces and give out every limit in whole; with the
//! number of members at hand it gives out a part that fits what it sees.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::QuotaPeers;
use crate::core::ids::InstanceId;
use crate::core::quotas::{LimiterStatus, QuotaMember};
use crate::gateway::rows::{CommitReply, RowKey, RowRange, RowTransaction, RowVersion};
use crate::gateway::store::StoreLink;
use crate::node::platform::StoreError;

const TABLE: &str = "gateways";
const KEY: &str = "members";
/// Pause after a failed question of an instance that starts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// After this an instance knows the others by itself: news of a member reaches hundreds within some
/// seconds.
const LEARNED: Duration = Duration::from_secs(10);
/// How often the number is looked at. It matters when all start anew, and changes by machines that are
/// added one by one.
const PACE: Duration = Duration::from_secs(5);
/// Part by which the number must differ to be written: a write for each member that comes or goes
/// would tell nothing that matters.
const CHANGE: f64 = 0.05;

/// Number of members at least; none while it was not read.
pub(crate) type MinMembers = Rc<Cell<Option<usize>>>;

/// Reads the number of members at the start and keeps it up to date.
pub(crate) struct MemberCounter {
    me: InstanceId,
    store: Rc<StoreLink>,
    peers: Rc<dyn QuotaPeers>,
    least: MinMembers,
}

impl MemberCounter {
    pub(crate) fn new(
        me: InstanceId,
        store: Rc<StoreLink>,
        peers: Rc<dyn QuotaPeers>,
        least: MinMembers,
    ) -> Self {
        Self { me, store, peers, least }
    }

    /// Runs until the instance ends.
    pub(crate) async fn run(self) {
        let (mut version, mut stored) = loop {
            match self.read().await {
                Ok(read) => break read,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        };
        log::info!("event=members_read count={stored}");
        self.least.set(Some(stored));
        sleep(LEARNED).await;
        self.least.set(Some(0));
        loop {
            let members = self.peers.quota_members();
            let count = alive(&members).count();
            let differs = count.abs_diff(stored) as f64 > CHANGE * stored as f64;
            if differs && self.is_writer(&members) {
                match self.write(count, version).await {
                    Ok(Some(newer)) => (version, stored) = (newer, count),
                    // Somebody else wrote it, or may have.
                    Ok(None) | Err(_) => {
                        (version, stored) = self.read().await.unwrap_or((version, stored))
                    }
                }
            }
            sleep(PACE).await;
        }
    }

    /// One member writes for all; two that both think so are told apart by the store.
    fn is_writer(&self, members: &[QuotaMember]) -> bool {
        alive(members).map(|member| &member.instance).min() == Some(&self.me)
    }

    async fn read(&self) -> Result<(RowVersion, usize), StoreError> {
        let key = row_key();
        let range = RowRange {
            table: key.table.clone(),
            part: key.part.clone(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await?;
        let Some(row) = reply.rows.into_iter().find(|row| row.key == key) else {
            return Ok((0, 0));
        };
        let text = row.value.as_deref().map(String::from_utf8_lossy);
        let count = text.as_ref().and_then(|text| text.parse().ok()).unwrap_or_else(|| {
            log::error!("event=members_unreadable version={}", row.version);
            0
        });
        Ok((row.version, count))
    }

    /// Writes the number if nobody else has; the row's new version.
    async fn write(
        &self,
        count: usize,
        version: RowVersion,
    ) -> Result<Option<RowVersion>, StoreError> {
        let transaction = RowTransaction {
            checks: vec![(row_key(), version)],
            puts: vec![(row_key(), count.to_string().into())],
            removals: Vec::new(),
        };
        log::info!("event=members_counted count={count}");
        match self.store.commit(&transaction).await? {
            CommitReply::Committed(version) => Ok(Some(version)),
            CommitReply::Conflict(_) => Ok(None),
        }
    }
}

fn alive(members: &[QuotaMember]) -> impl Iterator<Item = &QuotaMember> {
    members.iter().filter(|member| member.status == LimiterStatus::Alive)
}

fn row_key() -> RowKey {
    RowKey { table: TABLE.into(), part: Box::default(), key: KEY.into() }
}
