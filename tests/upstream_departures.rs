//! Properties of the table of upstreams over random sequences of entries, removals and outages.

use std::time::Duration;

use merlinsaddle::core::upstreams::{
    UpstreamEntry, UpstreamIncarnation, UpstreamState, UpstreamTable, UpstreamUpdate,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

/// Time that entries have to be rewritten after an outage.
const MAX_DEFERRAL: Duration = Duration::from_millis(2_300);

#[derive(Debug, Clone, Copy)]
enum Event {
    Heartbeat,
    /// A heartbeat of before, which the store applies only now.
    LateHeartbeat(u64),
    Announce,
    Remove,
    ListWithout,
    /// A row that another writer left under the id.
    Garbage,
    StoreLost,
    StoreBack,
    /// A peer reports that the store was unavailable for it.
    PeerRecovered,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Heartbeat),
        3 => (1_u64..4).prop_map(Event::LateHeartbeat),
        2 => Just(Event::Announce),
        2 => Just(Event::Remove),
        1 => Just(Event::ListWithout),
        1 => Just(Event::Garbage),
        1 => Just(Event::StoreLost),
        2 => Just(Event::StoreBack),
        1 => Just(Event::PeerRecovered),
        4 => (50_u64..1_500).prop_map(Event::Wait),
    ]
}

fn entry(state: UpstreamState, sequence: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "e".into(),
        started_at: Some(1),
        service: "llm".into(),
        address: "e:1".into(),
        zone: "zone".into(),
        slots: 8,
        state,
        sequence,
        warming: Duration::ZERO,
    }
}

/// The table with one upstream, and what is true of it.
struct Model {
    table: UpstreamTable,
    now: Instant,
    sequence: u64,
    is_readable: bool,
    has_announced: bool,
    /// Total time of readability since the first removal that no heartbeat followed.
    readable_since_removal: Option<Duration>,
}

impl Model {
    fn new() -> Self {
        let (table, now) = (UpstreamTable::default(), Instant::now());
        let mut model = Self {
            table,
            now,
            sequence: 10,
            is_readable: true,
            has_announced: false,
            readable_since_removal: None,
        };
        model.list(UpstreamState::Ready, 10);
        model
    }

    fn list(&mut self, state: UpstreamState, sequence: u64) {
        self.table.apply(UpstreamUpdate::Listed(entry(state, sequence)), self.now);
    }

    fn record_removal(&mut self) {
        self.readable_since_removal.get_or_insert(Duration::ZERO);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Heartbeat => {
                self.sequence += 1;
                self.readable_since_removal = None;
                let state = match self.has_announced {
                    true => UpstreamState::Draining,
                    false => UpstreamState::Ready,
                };
                self.list(state, self.sequence);
            }
            Event::LateHeartbeat(age) => self.list(UpstreamState::Ready, self.sequence - age),
            Event::Announce => {
                self.sequence += 1;
                self.has_announced = true;
                self.list(UpstreamState::Draining, self.sequence);
            }
            Event::Remove => {
                self.record_removal();
                self.table.apply(UpstreamUpdate::Removed("e".into()), self.now);
            }
            Event::ListWithout => {
                self.record_removal();
                self.table.replace(Vec::new(), self.now);
            }
            Event::Garbage => {
                self.table.apply(UpstreamUpdate::Undecodable("e".into()), self.now);
            }
            Event::StoreLost => {
                self.is_readable = false;
                self.table.set_store_readable(false, self.now);
            }
            Event::StoreBack => {
                self.is_readable = true;
                self.table.set_store_readable(true, self.now);
            }
            Event::PeerRecovered => self.table.record_store_recovery(self.now),
            Event::Wait(millis) => {
                let waited = Duration::from_millis(millis);
                self.now += waited;
                if let Some(readable) = self.readable_since_removal.as_mut()
                    && self.is_readable
                {
                    *readable += waited;
                }
                self.table.expire(self.now);
            }
        }
    }

    fn accepts_work(&self) -> bool {
        let incarnation = UpstreamIncarnation { id: "e".into(), started_at: Some(1) };
        self.table.accepts_work(&incarnation, self.now)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(54),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an upstream that looks ready again after it has announced its leave, or after its
    /// removal has taken effect.
    #[test]
    fn upstream_that_has_left_gets_no_work(events in prop::collection::vec(event(), 1..40)) {
        let mut model = Model::new();
        for event in events {
            model.step(event);
            if model.has_announced {
                prop_assert!(!model.accepts_work(), "it has announced its leave: {event:?}");
            }
            if model.readable_since_removal.is_some_and(|readable| readable >= MAX_DEFERRAL) {
                prop_assert!(!model.accepts_work(), "its entry is gone: {event:?}");
            }
        }
    }

    /// Guards against dropping healthy upstreams whose entries expire in an outage.
    #[test]
    fn upstream_stays_in_use_in_an_outage(events in prop::collection::vec(event(), 1..40)) {
        let mut model = Model::new();
        model.step(Event::StoreLost);
        for event in events {
            match event {
                Event::Announce | Event::StoreBack => continue,
                event => model.step(event),
            }
            prop_assert!(model.accepts_work(), "the store is lost: {event:?}");
        }
    }

    /// Guards against an upstream that gets no work although it goes on writing its entry.
    #[test]
    fn living_upstream_returns(events in prop::collection::vec(event(), 1..40)) {
        let mut model = Model::new();
        for event in events.into_iter().filter(|event| !matches!(event, Event::Announce)) {
            model.step(event);
        }
        model.step(Event::StoreBack);
        for _ in 0..2 {
            model.step(Event::Heartbeat);
        }
        prop_assert!(model.accepts_work());
    }
}
