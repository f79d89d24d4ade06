//! Keeps the number of members in the store for starting instances.
//!
//! After a mass start each instance knows only itself at first and takes itself for the limiter of
//! all workspaces. With the stored number it grants only the share that fits the members it sees.

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
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// After this time gossip, which reaches hundreds of members within some seconds, has spread all of
/// them to a started instance.
const DISCOVERY_DELAY: Duration = Duration::from_secs(10);
/// The count matters only when all instances restart, and changes slowly, as machines are added one
/// by one.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// Fraction of the stored count. Smaller changes are not worth a write.
const COUNT_TOLERANCE: f64 = 0.05;

/// Lower bound on the number of members; none until it has been read.
pub(crate) type MinMembers = Rc<Cell<Option<usize>>>;

pub(crate) struct MemberCounter {
    me: InstanceId,
    store: Rc<StoreLink>,
    peers: Rc<dyn QuotaPeers>,
    min_members: MinMembers,
}

impl MemberCounter {
    pub(crate) fn new(
        me: InstanceId,
        store: Rc<StoreLink>,
        peers: Rc<dyn QuotaPeers>,
        min_members: MinMembers,
    ) -> Self {
        Self { me, store, peers, min_members }
    }

    pub(crate) async fn run(self: Rc<Self>) {
        let (mut version, mut stored) = loop {
            match self.read().await {
                Ok(read) => break read,
                Err(_) => sleep(READ_RETRY_DELAY).await,
            }
        };
        log::info!("event=members_read count={stored}");
        self.min_members.set(Some(stored));
        sleep(DISCOVERY_DELAY).await;
        self.min_members.set(Some(0));
        loop {
            let members = self.peers.quota_members();
            let count = alive(&members).count();
            let is_changed = count.abs_diff(stored) as f64 > COUNT_TOLERANCE * stored as f64;
            if is_changed && self.is_writer(&members) {
                match self.write(count, version).await {
                    Ok(Some(new_version)) => (version, stored) = (new_version, count),
                    // Another instance wrote the count, or this write may have been applied.
                    Ok(None) | Err(_) => {
                        (version, stored) = self.read().await.unwrap_or((version, stored))
                    }
                }
            }
            sleep(COUNT_INTERVAL).await;
        }
    }

    /// Where views differ several members are writers; the version check of the store lets one
    /// succeed.
    fn is_writer(&self, members: &[QuotaMember]) -> bool {
        alive(members).map(|member| &member.instance).min() == Some(&self.me)
    }

    async fn read(&self) -> Result<(RowVersion, usize), StoreError> {
        let key = row_key();
        let range = RowRange {
            table: key.table.clone(),
            partition: key.partition.clone(),
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

    /// Returns the row's new version; none if the row has changed since `version`.
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
    RowKey { table: TABLE.into(), partition: Box::default(), key: KEY.into() }
}
