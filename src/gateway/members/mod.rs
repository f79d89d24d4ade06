//! Runs the gossip failure detector on its socket and gives the gateway its view of the members.

mod roles;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::quotas::QuotaMessage;
use super::settings::GatewaySettings;
use crate::core::ids::{ConfigVersion, InstanceId};
use crate::core::load::LoadMessage;
use crate::core::members::{
    GossipMessage, MemberAction, MemberInfo, MemberLoad, MemberSettings, MemberState, MemberTable,
};
use crate::core::repeats::LossMessage;
use crate::core::timeline::CausalClock;
use crate::core::turns::{CoordinatorSpan, coordinator, coordinators};
use crate::node::peers::{decode_gossip, encode_gossip};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const JOIN_INTERVAL: Duration = Duration::from_secs(2);
/// Delays since the start after which the missing seeds and a random member are asked for the member
/// list again. In a mass start the seeds do not listen yet at first, and then know no members.
const MEMBER_LIST_DELAYS: [Duration; 5] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(700),
    Duration::from_millis(1_100),
    Duration::from_millis(1_600),
];
const MAX_DATAGRAM: usize = 64 * 1024;
/// Time until a suspect is dead, and no longer named to callers, whose attempts at it cost them a
/// second each.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);

/// From this number of instances in its zone, a caller is sent to these only: it has another one if
/// one is dead. Traffic stays in the zone, and programs stay close to their cached history.
const MIN_LOCAL_INSTANCES: usize = 2;

/// The members of the deployment as this instance knows them.
pub(crate) struct MemberView {
    table: RefCell<MemberTable>,
    socket: UdpSocket,
    clock: RefCell<CausalClock>,
    seeds: RefCell<Vec<Box<str>>>,
    /// Sent with each gossip message.
    config_head: Cell<ConfigVersion>,
    /// Newest version of any peer.
    peer_config_head: Cell<ConfigVersion>,
    peer_head_since: Cell<Instant>,
    span: Cell<CoordinatorSpan>,
    quota_listener: RefCell<Option<Rc<dyn QuotaListener>>>,
    load_listener: RefCell<Option<Rc<dyn LoadListener>>>,
    loss_listener: RefCell<Option<Rc<dyn LossListener>>>,
}

/// Receives the quota datagrams, which share the socket of the failure detector.
pub(crate) trait QuotaListener {
    fn receive(&self, from: &str, message: QuotaMessage);
}

/// Receives the load datagrams, which share the socket of the failure detector.
pub(crate) trait LoadListener {
    /// `size` is that of the datagram.
    fn receive(&self, from: &str, size: usize, message: LoadMessage);
}

/// Receives the datagrams on lost upstreams, which share the socket of the failure detector.
pub(crate) trait LossListener {
    fn receive(self: Rc<Self>, from: &str, message: LossMessage);
}

impl MemberView {
    pub(crate) fn new(settings: &GatewaySettings, socket: UdpSocket, seed: u64) -> Self {
        let me = MemberInfo {
            instance: settings.instance.clone(),
            incarnation: wall_time().as_millis() as u64,
            revision: 0,
            state: MemberState::Alive,
            zone: settings.zone.clone(),
            // Set when the instance becomes ready.
            http_address: Box::default(),
            rpc_address: settings.peer_address.clone(),
            gossip_address: settings.gossip_address(&settings.peer_address),
            load: MemberLoad::default(),
        };
        let member_settings =
            MemberSettings { suspicion_timeout: SUSPICION_TIMEOUT, ..MemberSettings::default() };
        let table = MemberTable::new(member_settings, me, seed, Instant::now());
        Self {
            table: RefCell::new(table),
            socket,
            clock: RefCell::default(),
            seeds: RefCell::new(seed_addresses(settings)),
            config_head: Cell::new(0),
            peer_config_head: Cell::new(0),
            peer_head_since: Cell::new(Instant::now()),
            span: Cell::default(),
            quota_listener: RefCell::default(),
            load_listener: RefCell::default(),
            loss_listener: RefCell::default(),
        }
    }

    pub(crate) fn set_seeds(&self, settings: &GatewaySettings) {
        *self.seeds.borrow_mut() = seed_addresses(settings);
    }

    pub(crate) fn set_quota_listener(&self, listener: Rc<dyn QuotaListener>) {
        *self.quota_listener.borrow_mut() = Some(listener);
    }

    pub(crate) fn set_load_listener(&self, listener: Rc<dyn LoadListener>) {
        *self.load_listener.borrow_mut() = Some(listener);
    }

    pub(crate) fn set_loss_listener(&self, listener: Rc<dyn LossListener>) {
        *self.loss_listener.borrow_mut() = Some(listener);
    }

    pub(crate) fn set_config_head(&self, version: ConfigVersion) {
        self.config_head.set(version);
    }

    /// Newest configuration version of any peer, and when it was first received.
    pub(crate) fn peer_config_head(&self) -> (ConfigVersion, Instant) {
        (self.peer_config_head.get(), self.peer_head_since.get())
    }

    pub(crate) fn mark_ready(&self, address: &str) {
        let actions = {
            let mut table = self.table.borrow_mut();
            table.set_http_address(address);
            table.push_updates(Instant::now())
        };
        self.perform(actions);
    }

    /// False if no other instance is ready; this one then stays ready.
    pub(crate) fn try_mark_unready(&self) -> bool {
        let actions = {
            let mut table = self.table.borrow_mut();
            let me = table.me().instance.clone();
            if !table.iter().any(|member| member.instance != me && is_ready(member)) {
                return false;
            }
            table.set_http_address("");
            table.push_updates(Instant::now())
        };
        self.perform(actions);
        true
    }

    pub(crate) fn leave(&self) {
        let actions = self.table.borrow_mut().leave(Instant::now());
        self.perform(actions);
    }

    /// Addresses of ready instances; only those in `zone` if there are enough of them.
    pub(crate) fn caller_addresses(&self, zone: &str) -> Vec<Box<str>> {
        let table = self.table.borrow();
        let mut members: Vec<_> = table.iter().filter(|member| is_ready(member)).collect();
        let local_count = members.iter().filter(|member| *member.zone == *zone).count();
        if local_count >= MIN_LOCAL_INSTANCES {
            members.retain(|member| *member.zone == *zone);
        }
        members.into_iter().map(|member| member.http_address.clone()).collect()
    }

    /// Counts a turn and returns the peer address of its program's coordinator in this zone; none if
    /// that is this instance or there is none.
    pub(crate) fn coordinator(&self, program: &str) -> Option<Box<str>> {
        let mut span = self.span.get();
        span.record_turn(Instant::now());
        self.span.set(span);
        let table = self.table.borrow();
        let me = table.me();
        let local = table.iter().filter(|member| is_ready(member) && member.zone == me.zone);
        let chosen = coordinator(program, span.instances(), local.map(|member| &*member.instance))?;
        let chosen = table.iter().find(|member| *member.instance == *chosen)?;
        (chosen.instance != me.instance).then(|| chosen.rpc_address.clone())
    }

    /// The instances that coordinate the programs of this zone.
    pub(crate) fn coordinators(&self) -> BTreeSet<InstanceId> {
        let table = self.table.borrow();
        let zone = &table.me().zone;
        let local = table.iter().filter(|member| is_ready(member) && member.zone == *zone);
        let span = self.span.get().instances();
        let coordinators = coordinators(span, local.map(|member| &*member.instance));
        coordinators.into_iter().map(Into::into).collect()
    }

    /// Includes this instance.
    pub(crate) fn alive_count(&self) -> usize {
        let table = self.table.borrow();
        table.iter().filter(|member| member.state == MemberState::Alive).count()
    }

    pub(crate) async fn run(self: Rc<Self>) {
        let mut next_join = Instant::now();
        let start = Instant::now();
        let mut delays = MEMBER_LIST_DELAYS.iter().peekable();
        loop {
            if delays.next_if(|after| start.elapsed() >= **after).is_some() {
                next_join = Instant::now();
                let actions = self.table.borrow_mut().request_member_list();
                self.perform(actions);
            }
            if Instant::now() >= next_join {
                self.join_missing_seeds();
                next_join = Instant::now() + JOIN_INTERVAL;
            }
            let actions = self.table.borrow_mut().tick(Instant::now());
            self.perform(actions);
            sleep(TICK_INTERVAL).await;
        }
    }

    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(TICK_INTERVAL).await;
                continue;
            };
            if let Some(message) = QuotaMessage::decode(&buffer[..size]) {
                self.handle_quota_message(&from.to_string(), message);
                continue;
            }
            if let Some(message) = LoadMessage::decode(&buffer[..size]) {
                self.handle_load_message(&from.to_string(), size, message);
                continue;
            }
            if let Some(message) = LossMessage::decode(&buffer[..size]) {
                self.handle_loss_message(&from.to_string(), message);
                continue;
            }
            match decode_gossip(&buffer[..size]) {
                Ok(message) => self.handle_gossip(&message),
                Err(error) => log::warn!("event=gossip_malformed error=\"{error}\""),
            }
        }
    }

    fn handle_quota_message(&self, from: &str, message: Result<QuotaMessage, serde_json::Error>) {
        match message {
            Ok(message) => {
                if let Some(listener) = &*self.quota_listener.borrow() {
                    listener.receive(from, message);
                }
            }
            Err(error) => log::warn!("event=quota_malformed from={from} error=\"{error}\""),
        }
    }

    fn handle_load_message(
        &self,
        from: &str,
        size: usize,
        message: Result<LoadMessage, postcard::Error>,
    ) {
        match message {
            Ok(_) if !self.is_member_address(from) => {
                log::debug!("event=load_sender_unknown from={from}");
            }
            Ok(message) => {
                if let Some(listener) = &*self.load_listener.borrow() {
                    listener.receive(from, size, message);
                }
            }
            Err(error) => log::warn!("event=load_malformed from={from} error=\"{error}\""),
        }
    }

    fn handle_loss_message(&self, from: &str, message: Result<LossMessage, postcard::Error>) {
        match message {
            Ok(_) if !self.is_member_address(from) => {
                log::debug!("event=loss_sender_unknown from={from}");
            }
            Ok(message) => {
                let listener = self.loss_listener.borrow().clone();
                if let Some(listener) = listener {
                    listener.receive(from, message);
                }
            }
            Err(error) => log::warn!("event=loss_malformed from={from} error=\"{error}\""),
        }
    }

    /// Others could report any load or loss, or have summaries sent to an address that did not ask for
    /// them.
    fn is_member_address(&self, from: &str) -> bool {
        let table = self.table.borrow();
        let mut known = table.iter().filter(|member| member.state != MemberState::Dead);
        known.any(|member| *member.gossip_address == *from)
    }

    fn handle_gossip(&self, message: &GossipMessage) {
        self.clock.borrow_mut().observe(wall_time(), message.stamp);
        if message.config_head > self.peer_config_head.get() {
            self.peer_config_head.set(message.config_head);
            self.peer_head_since.set(Instant::now());
        }
        let actions = {
            let mut table = self.table.borrow_mut();
            let me = table.me().clone();
            // After the wall clock was set back, an earlier incarnation may have a higher number.
            let mine = message.updates.iter().filter(|update| update.instance == me.instance);
            if let Some(newest) = mine.map(|update| update.incarnation).max()
                && newest > me.incarnation
            {
                table.restart(newest + 1);
            }
            table.receive(message, Instant::now())
        };
        self.perform(actions);
    }

    /// Requests the member list from the seeds that are unknown or dead.
    fn join_missing_seeds(&self) {
        let actions = {
            let mut table = self.table.borrow_mut();
            let known: Vec<Box<str>> = table
                .iter()
                .filter(|member| member.state != MemberState::Dead)
                .map(|member| member.gossip_address.clone())
                .collect();
            let seeds = self.seeds.borrow();
            let missing = seeds.iter().filter(|seed| !known.contains(seed)).cloned();
            table.join(missing.collect::<Vec<_>>())
        };
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, mut message } => {
                    message.stamp = self.clock.borrow_mut().tick(wall_time());
                    message.config_head = self.config_head.get();
                    self.send_datagram(&to, &encode_gossip(&message));
                }
                MemberAction::Answered(_) => {}
                MemberAction::Changed(member) => {
                    let (name, state) = (&member.instance, member.state);
                    log::info!("event=member_changed member={name} state={state}");
                }
            }
        }
    }

    /// The datagram is lost if it cannot be sent at once.
    fn send_datagram(&self, to: &str, datagram: &[u8]) {
        let Ok(address) = to.parse::<std::net::SocketAddr>() else { return };
        if let Err(error) = self.socket.try_send_to(datagram, address) {
            log::debug!("event=gossip_lost to={to} error=\"{error}\"");
        }
    }
}

fn is_ready(member: &MemberInfo) -> bool {
    member.state == MemberState::Alive && !member.http_address.is_empty()
}

fn seed_addresses(settings: &GatewaySettings) -> Vec<Box<str>> {
    settings.seeds.iter().map(|seed| settings.gossip_address(seed)).collect()
}

fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
