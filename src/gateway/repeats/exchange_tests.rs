use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, advance, sleep};

use super::{LossExchange, LossKeepers, LossPeers};
use crate::core::members::preferred_members;
use crate::core::repeats::{
    FingerprintFields, LossMessage, MAX_LOSSES, RequestFingerprint, UpstreamLoss,
};
use crate::gateway::members::LossListener;
use crate::gateway::metrics::GatewayMetrics;

const SERVICE: &str = "llm";
const LOSS_KEEPERS: usize = 2;
/// A report and what the keeper tells of it may each arrive only when they are sent again.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Sender and recipient.
type NetworkLink = (Box<str>, Box<str>);

/// Delivers datagrams at once, except those that it drops.
#[derive(Default)]
struct LossNetwork {
    exchanges: RefCell<BTreeMap<Box<str>, Rc<LossExchange>>>,
    /// Each first, third, fifth ... datagram between two instances is lost.
    drops_first: Cell<bool>,
    sent: RefCell<BTreeMap<NetworkLink, usize>>,
    /// Instances that neither send nor receive.
    cut: RefCell<Vec<Box<str>>>,
    /// Instances that do not send.
    silent: RefCell<Vec<Box<str>>>,
}

struct NetworkPeer {
    name: Box<str>,
    network: Rc<LossNetwork>,
}

impl LossPeers for NetworkPeer {
    fn loss_keepers(&self, key: &str) -> LossKeepers {
        let exchanges = self.network.exchanges.borrow();
        let keepers = preferred_members(key, LOSS_KEEPERS, exchanges.keys().map(|name| &**name));
        let others = keepers.iter().filter(|keeper| **keeper != &*self.name);
        LossKeepers {
            is_me: keepers.contains(&&*self.name),
            others: others.map(|keeper| (*keeper).into()).collect(),
        }
    }

    fn loss_recipients(&self) -> Vec<Box<str>> {
        let exchanges = self.network.exchanges.borrow();
        exchanges.keys().filter(|name| **name != self.name).cloned().collect()
    }

    fn send_loss(&self, to: &str, datagram: &[u8]) {
        let network = &self.network;
        let count = {
            let mut sent = network.sent.borrow_mut();
            let count = sent.entry((self.name.clone(), to.into())).or_default();
            *count += 1;
            *count
        };
        let cut = network.cut.borrow();
        let is_cut = cut.iter().any(|name| **name == *to || *name == self.name)
            || network.silent.borrow().contains(&self.name);
        if is_cut || network.drops_first.get() && count % 2 == 1 {
            return;
        }
        drop(cut);
        let exchange = network.exchanges.borrow().get(to).cloned();
        let message = LossMessage::decode(datagram).expect("it has the tag").expect("it is valid");
        if let Some(exchange) = exchange {
            exchange.receive(&self.name, message);
        }
    }
}

impl LossNetwork {
    fn start(count: usize) -> Rc<Self> {
        let network = Rc::new(Self::default());
        for number in 0..count {
            let name: Box<str> = format!("i{number:02}").into();
            let peer = Rc::new(NetworkPeer { name: name.clone(), network: network.clone() });
            let meter = GatewayMetrics::new(&name).loss_meter();
            let exchange = Rc::new(LossExchange::new(peer, meter));
            network.exchanges.borrow_mut().insert(name, exchange);
        }
        network
    }

    fn exchange(&self, number: usize) -> Rc<LossExchange> {
        let exchanges = self.exchanges.borrow();
        exchanges.values().nth(number).expect("the instance exists").clone()
    }

    /// An attempt at this instance loses its upstream 50 ms after it was sent.
    async fn lose(&self, number: usize, fingerprint: RequestFingerprint, upstream: u32) {
        let sent_at = Instant::now();
        advance(Duration::from_millis(50)).await;
        let loss = UpstreamLoss { upstream, sent_at, lost_at: Instant::now() };
        self.exchange(number).record(fingerprint, SERVICE, loss);
        sleep(SETTLE_TIME).await;
    }

    fn counts(&self, fingerprint: RequestFingerprint) -> Vec<usize> {
        let exchanges = self.exchanges.borrow();
        exchanges.values().map(|exchange| exchange.count(fingerprint)).collect()
    }

    fn datagrams(&self) -> usize {
        self.sent.borrow().values().sum()
    }
}

fn fingerprint(program: &str) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintFields {
        workspace: None,
        program: Some(program),
        branch: None,
        previous: None,
        affinity: None,
        method: "POST",
        host: "",
        target: "",
        body: b"",
    })
}

/// Guards against a caller that goes from instance to instance, over a network that loses datagrams.
#[rstest]
#[case::reliable(false)]
#[case::lossy(true)]
#[actix_rt::test]
async fn all_instances_stop_after_three_losses_at_different_ones(#[case] drops_first: bool) {
    tokio::time::pause();
    for number in 0..20 {
        let network = LossNetwork::start(12);
        network.drops_first.set(drops_first);
        let fingerprint = fingerprint(&number.to_string());
        for (instance, upstream) in
            [(number % 12, 1), ((number + 5) % 12, 2), ((number + 7) % 12, 3)]
        {
            network.lose(instance, fingerprint, upstream).await;
        }
        assert_eq!(network.counts(fingerprint), [MAX_LOSSES; 12]);
    }
}

/// Guards against a mass failure whose reports grow with the number of instances.
#[actix_rt::test]
async fn single_losses_are_reported_to_the_keepers_only() {
    tokio::time::pause();
    let network = LossNetwork::start(60);
    for number in 0..50 {
        network.lose(number % 60, fingerprint(&number.to_string()), 1).await;
    }
    assert!(network.datagrams() <= 50 * 4, "{} datagrams", network.datagrams());
}

/// Guards against a count that one instance alone has.
#[actix_rt::test]
async fn count_outlives_a_keeper() {
    tokio::time::pause();
    let network = LossNetwork::start(6);
    let fingerprint = fingerprint("p");
    let names: Vec<Box<str>> = network.exchanges.borrow().keys().cloned().collect();
    let key = fingerprint.to_string();
    let keepers = preferred_members(&key, LOSS_KEEPERS, names.iter().map(|name| &**name));
    let others: Vec<usize> = (0..6).filter(|number| !keepers.contains(&&*names[*number])).collect();
    network.lose(others[0], fingerprint, 1).await;
    network.exchanges.borrow_mut().remove(keepers[0]);
    let rest: Vec<usize> = {
        let exchanges = network.exchanges.borrow();
        let place = |number: &usize| exchanges.keys().position(|name| *name == names[*number]);
        others.iter().filter_map(place).collect()
    };
    network.lose(rest[1], fingerprint, 2).await;
    network.lose(rest[2], fingerprint, 3).await;
    assert_eq!(network.counts(fingerprint), [MAX_LOSSES; 5]);
}

/// Guards against stopping what is served: each answer ends the count, everywhere.
#[rstest]
#[case::where_it_was_lost(0)]
#[case::elsewhere(3)]
#[actix_rt::test]
async fn answer_clears_the_count_at_all_instances(#[case] answered_at: usize) {
    tokio::time::pause();
    let network = LossNetwork::start(6);
    let fingerprint = fingerprint("p");
    network.lose(0, fingerprint, 1).await;
    network.lose(1, fingerprint, 2).await;
    assert_eq!(network.counts(fingerprint), [2; 6]);
    network.exchange(answered_at).record_answered(fingerprint);
    sleep(SETTLE_TIME).await;
    assert_eq!(network.counts(fingerprint), [0; 6]);
}

/// An instance that is cut off counts what it loses itself, and is told again with the next loss.
#[actix_rt::test]
async fn instance_that_was_cut_off_learns_with_the_next_loss() {
    tokio::time::pause();
    let network = LossNetwork::start(6);
    let fingerprint = fingerprint("p");
    network.cut.borrow_mut().push("i04".into());
    network.lose(0, fingerprint, 1).await;
    network.lose(1, fingerprint, 2).await;
    assert_eq!(network.counts(fingerprint)[4], 0);
    network.cut.borrow_mut().clear();
    network.lose(4, fingerprint, 3).await;
    assert_eq!(network.counts(fingerprint), [MAX_LOSSES; 6]);
}

/// Guards against a caller that is back before a keeper has told of the last loss.
#[actix_rt::test]
async fn instance_that_lost_three_upstreams_tells_all_at_once() {
    tokio::time::pause();
    let network = LossNetwork::start(6);
    let fingerprint = fingerprint("p");
    let names: Vec<Box<str>> = network.exchanges.borrow().keys().cloned().collect();
    let keepers =
        preferred_members(&fingerprint.to_string(), LOSS_KEEPERS, names.iter().map(|name| &**name));
    let loser = (0..6).find(|number| !keepers.contains(&&*names[*number])).expect("four are none");
    network.lose(loser, fingerprint, 1).await;
    network.lose(loser, fingerprint, 2).await;
    // The keepers tell nobody.
    network.silent.replace(keepers.into_iter().map(Into::into).collect());
    let loss = UpstreamLoss { upstream: 3, sent_at: Instant::now(), lost_at: Instant::now() };
    network.exchange(loser).record(fingerprint, SERVICE, loss);
    assert_eq!(network.counts(fingerprint), [MAX_LOSSES; 6]);
}
