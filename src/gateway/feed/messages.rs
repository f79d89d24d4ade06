//! What a follower and a reader of news say to each other: a line of JSON, then the rows' values.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::table_log::NewsPage;
use crate::gateway::rows::{RowKey, RowVersion, StoredRow};
use crate::util::framed::{FrameError, frame, unframe};

/// What a follower knows already.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct NewsQuestion {
    pub(super) routes_after: RowVersion,
    pub(super) upstreams_after: RowVersion,
    /// Whether it goes on reading all upstreams from there, page by page.
    #[serde(default)]
    pub(super) continues: bool,
    /// How long the reader may hold the question while there is nothing new.
    pub(super) hold_ms: u64,
}

/// A changed row; its value, if it has one, follows the head.
#[derive(Debug, Serialize, Deserialize)]
struct RowHead {
    part: Box<str>,
    key: Box<str>,
    version: RowVersion,
    /// Absent where the row was removed.
    bytes: Option<usize>,
}

/// News of one table.
#[derive(Debug, Serialize, Deserialize)]
struct TableHead {
    head: RowVersion,
    age_ms: u64,
    whole: bool,
    #[serde(default)]
    more: bool,
    rows: Vec<RowHead>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ReplyHead {
    routes: TableHead,
    upstreams: TableHead,
    /// How long ago the reader saw the store return, if that was lately.
    returned_ms: Option<u64>,
    held_ms: u64,
    /// Instances between the store and the reader.
    #[serde(default)]
    hops: u32,
}

/// What a reader knows of one table.
#[derive(Debug)]
pub(super) struct TableNews {
    /// All changes up to here are known to the reader.
    pub(super) head: RowVersion,
    /// How long before the reply the store was asked.
    pub(super) age: Duration,
    pub(super) page: NewsPage,
}

/// A reader's answer.
#[derive(Debug)]
pub(super) struct NewsReply {
    pub(super) routes: TableNews,
    pub(super) upstreams: TableNews,
    pub(super) returned: Option<Duration>,
    /// How long the reader held the question.
    pub(super) held: Duration,
    /// Instances between the store and the reader.
    pub(super) hops: u32,
}

impl TableNews {
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
            whole: self.page.whole,
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
            page: NewsPage { whole: head.whole, more: head.more, rows },
        })
    }
}

impl NewsReply {
    /// Several pages as one reply; the first says whether they are all rows, the last up to when.
    pub(super) fn join(pages: Vec<Self>) -> Option<Self> {
        let whole = pages.first()?.upstreams.page.whole;
        let whole_routes = pages.first()?.routes.page.whole;
        let (mut rows, mut routes) = (Vec::new(), Vec::new());
        let mut last = None;
        for mut page in pages {
            rows.append(&mut page.upstreams.page.rows);
            routes.append(&mut page.routes.page.rows);
            last = Some(page);
        }
        let mut joined = last?;
        // A row that changed meanwhile comes again, the newest last.
        if whole {
            let newest: HashMap<RowKey, StoredRow> =
                rows.into_iter().map(|row| (row.key.clone(), row)).collect();
            rows = newest.into_values().filter(|row| row.value.is_some()).collect();
        }
        joined.routes.page = NewsPage { whole: whole_routes, more: false, rows: routes };
        joined.upstreams.page = NewsPage { whole, more: false, rows };
        Some(joined)
    }

    pub(super) fn encode(&self) -> Bytes {
        let (routes, route_values) = self.routes.split();
        let (upstreams, upstream_values) = self.upstreams.split();
        let returned_ms = self.returned.map(|returned| returned.as_millis() as u64);
        let values: Vec<&[u8]> = route_values.chain(upstream_values).collect();
        let held_ms = self.held.as_millis() as u64;
        let hops = self.hops;
        frame(&ReplyHead { routes, upstreams, returned_ms, held_ms, hops }, &values)
    }

    /// Reads a reply about these tables.
    pub(super) fn decode(
        text: &Bytes,
        routes_table: &str,
        upstreams_table: &str,
    ) -> Result<Self, FrameError> {
        let (head, mut values): (ReplyHead, Bytes) = unframe(text)?;
        let routes = TableNews::join(routes_table, head.routes, &mut values)?;
        let upstreams = TableNews::join(upstreams_table, head.upstreams, &mut values)?;
        let returned = head.returned_ms.map(Duration::from_millis);
        let held = Duration::from_millis(head.held_ms);
        Ok(Self { routes, upstreams, returned, held, hops: head.hops })
    }
}
