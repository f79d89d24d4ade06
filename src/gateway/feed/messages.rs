//! Messages between a follower and its reader: a head in one line of JSON, then the values of the
//! rows.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::change_log::ChangePage;
use crate::core::ids::InstanceId;
use crate::gateway::rows::{RowKey, RowVersion, StoredRow};
use crate::util::framed::{FrameError, frame, unframe};

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WatchRequest {
    pub(super) routes_after: RowVersion,
    pub(super) upstreams_after: RowVersion,
    /// Requests the next page of all upstreams, after `upstreams_after`.
    #[serde(default)]
    pub(super) continues: bool,
    pub(super) hold_ms: u64,
}

/// A changed row, whose value follows the head of the message.
#[derive(Debug, Serialize, Deserialize)]
struct RowHead {
    /// Name of the partition.
    part: Box<str>,
    key: Box<str>,
    version: RowVersion,
    /// Size of the value; `None` if the row was removed.
    bytes: Option<usize>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TableHead {
    head: RowVersion,
    age_ms: u64,
    /// Sent for [`ChangePage::complete`].
    whole: bool,
    #[serde(default)]
    more: bool,
    rows: Vec<RowHead>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ReplyHead {
    routes: TableHead,
    upstreams: TableHead,
    returned_ms: Option<u64>,
    held_ms: u64,
    #[serde(default)]
    hops: u32,
    /// Instances of an earlier release do not send it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    path: Vec<InstanceId>,
}

#[derive(Debug)]
pub(super) struct TableChanges {
    /// The reader knows all changes up to this version.
    pub(super) head: RowVersion,
    /// Time between the reader's request to the store and this reply.
    pub(super) age: Duration,
    pub(super) page: ChangePage,
}

#[derive(Debug)]
pub(super) struct WatchReply {
    pub(super) routes: TableChanges,
    pub(super) upstreams: TableChanges,
    /// Time since the reader saw the store recover, if recent.
    pub(super) recovered: Option<Duration>,
    pub(super) held: Duration,
    /// Number of instances between the store and the reader.
    pub(super) hops: u32,
    /// The reader, and the instances between the store and it.
    pub(super) path: Vec<InstanceId>,
}

impl TableChanges {
    fn split(&self) -> (TableHead, impl Iterator<Item = &[u8]>) {
        let head = |row: &StoredRow| RowHead {
            part: row.key.partition.clone(),
            key: row.key.key.clone(),
            version: row.version,
            bytes: row.value.as_ref().map(Bytes::len),
        };
        let table = TableHead {
            head: self.head,
            age_ms: self.age.as_millis() as u64,
            whole: self.page.complete,
            more: self.page.more,
            rows: self.page.rows.iter().map(head).collect(),
        };
        (table, self.page.rows.iter().filter_map(|row| row.value.as_deref()))
    }

    fn join(table: &str, head: TableHead, values: &mut Bytes) -> Result<Self, FrameError> {
        let mut rows = Vec::with_capacity(head.rows.len());
        for row in head.rows {
            let value = match row.bytes {
                Some(bytes) if bytes > values.len() => {
                    return Err(FrameError { reason: "values are missing".into() });
                }
                Some(bytes) => Some(values.split_to(bytes)),
                None => None,
            };
            let key = RowKey { table: table.into(), partition: row.part, key: row.key };
            rows.push(StoredRow { key, value, version: row.version });
        }
        let age = Duration::from_millis(head.age_ms);
        Ok(Self {
            head: head.head,
            age,
            page: ChangePage { complete: head.whole, more: head.more, rows },
        })
    }
}

impl WatchReply {
    /// Joins pages into one reply. The first page tells whether they hold all rows, the last one is
    /// the most recent.
    pub(super) fn join(pages: Vec<Self>) -> Option<Self> {
        let complete = pages.first()?.upstreams.page.complete;
        let routes_complete = pages.first()?.routes.page.complete;
        let (mut rows, mut routes) = (Vec::new(), Vec::new());
        let mut last = None;
        for mut page in pages {
            rows.append(&mut page.upstreams.page.rows);
            routes.append(&mut page.routes.page.rows);
            last = Some(page);
        }
        let mut joined = last?;
        // A row that changed between two pages occurs twice, the newest version last.
        if complete {
            let newest: HashMap<RowKey, StoredRow> =
                rows.into_iter().map(|row| (row.key.clone(), row)).collect();
            rows = newest.into_values().filter(|row| row.value.is_some()).collect();
        }
        joined.routes.page = ChangePage { complete: routes_complete, more: false, rows: routes };
        joined.upstreams.page = ChangePage { complete, more: false, rows };
        Some(joined)
    }

    pub(super) fn encode(&self) -> Bytes {
        let (routes, route_values) = self.routes.split();
        let (upstreams, upstream_values) = self.upstreams.split();
        let returned_ms = self.recovered.map(|recovered| recovered.as_millis() as u64);
        let values: Vec<&[u8]> = route_values.chain(upstream_values).collect();
        let held_ms = self.held.as_millis() as u64;
        let (hops, path) = (self.hops, self.path.clone());
        frame(&ReplyHead { routes, upstreams, returned_ms, held_ms, hops, path }, &values)
    }

    pub(super) fn decode(
        text: &Bytes,
        routes_table: &str,
        upstreams_table: &str,
    ) -> Result<Self, FrameError> {
        let (head, mut values): (ReplyHead, Bytes) = unframe(text)?;
        let routes = TableChanges::join(routes_table, head.routes, &mut values)?;
        let upstreams = TableChanges::join(upstreams_table, head.upstreams, &mut values)?;
        let recovered = head.returned_ms.map(Duration::from_millis);
        let held = Duration::from_millis(head.held_ms);
        Ok(Self { routes, upstreams, recovered, held, hops: head.hops, path: head.path })
    }
}
