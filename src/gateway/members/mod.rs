//! Who else is there: the failure detector on its socket.

mod roles;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::quotas::QuotaMessage;
use super::settings::GatewaySettings;
use crate::core::ids::{ConfigVersion, InstanceId};
use crate::core::members::{
    GossipMessage, MemberAction, MemberInfo, MemberLoad, MemberSettings, MemberState, MemberTable,
    preferred_member,
};
use crate::core::timeline::CausalClock;
use crate::core::turns::{CoordinatorSpan, ProgramName, coordinator, coordinators};
use crate::node::peers::{decode_gossip, encode_gossip};

const TICK: Duration = Duration::from_millis(100);
/// How often an instance that misses a seed asks it for everybody.
const REJOIN: Duration = Duration::from_secs(2);
/// When an instance that has started asks the seeds that have not answered, and any member, for
/// everybody once more. Where all start at once, the seeds do not listen yet when they are asked first, and
/// know nobody when they are asked next.
const ASK_AROUND: [Duration; 5] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(700),
    Duration::from_millis(1_100),
    Duration::from_millis(1_600),
];
/// Largest datagram that is read.
const MAX_DATAGRAM: usize = 64 * 1024;
/// A member that has not refuted a suspicion for so long is no longer named to callers: their
/// attempts at it cost them a second each.
const SUSPICION: Duration = Duration::from_secs(1);

/// Instances in a caller's zone that suffice to name no others: a caller that meets a dead one
/// still has another. It keeps bytes in the zone and programs near their cached history.
const ENOUGH_NEAR: usize = 2;

/// The members of the deployment as this instance knows them.
pub(crate) struct MemberView {
    table: RefCell<MemberTable>,
    socket: UdpSocket,
    clock: RefCell<CausalClock>,
    seeds: RefCell<Vec<Box<str>>>,
    /// Version of the routes here, which travels with every message.
    config_head: Cell<ConfigVersion>,
    /// Newest version of the routes that a peer has.
    peer_config_head: Cell<ConfigVersion>,
    /// When it was first heard of.
    peer_head_since: Cell<Instant>,
    span: Cell<CoordinatorSpan>,
    /// Who takes datagrams about limits.
    quota_listener: RefCell<Option<Rc<dyn QuotaListener>>>,
}

/// Takes datagrams about limits that come on the members' socket.
pub(crate) trait QuotaListener {
    fn receive(&self, from: &str, message: QuotaMessage);
}

impl MemberView {
    pub(crate) fn new(settings: &GatewaySettings, socket: UdpSocket, seed: u64) -> Self {
        let me = MemberInfo {
            instance: settings.instance.clone(),
            incarnation: wall().as_millis() as u64,
            revision: 0,
            state: MemberState::Alive,
            zone: settings.zone.clone(),
            // Named only once the instance is ready.
            http_address: Box::default(),
            rpc_address: settings.peer_address.clone(),
            gossip_address: settings.gossip_address(&settings.peer_address),
            load: MemberLoad::default(),
        };
        let member_settings =
            MemberSettings { suspicion_timeout: SUSPICION, ..MemberSettings::default() };
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
        }
    }

    pub(crate) fn set_seeds(&self, settings: &GatewaySettings) {
        *self.seeds.borrow_mut() = seed_addresses(settings);
    }

    /// Sets who takes datagrams about limits.
    pub(crate) fn set_quota_listener(&self, listener: Rc<dyn QuotaListener>) {
        *self.quota_listener.borrow_mut() = Some(listener);
    }

    /// Sets the version of the routes in force here.
    pub(crate) fn set_config_head(&self, version: ConfigVersion) {
        self.config_head.set(version);
    }

    /// Newest version of the routes that any peer has told of, and when one first did.
    pub(crate) fn peer_config_head(&self) -> (ConfigVersion, Instant) {
        (self.peer_config_head.get(), self.peer_head_since.get())
    }

    /// Tells the others that callers may be sent here.
    pub(crate) fn mark_ready(&self, address: &str) {
        let actions = {
            let mut table = self.table.borrow_mut();
            table.set_http_address(address);
            table.push_updates(Instant::now())
        };
        self.perform(actions);
    }

    /// Tells the others that callers are better served elsewhere for now; false if nobody else serves
    /// them.
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

    /// Tells the others that callers are no longer to be sent here.
    pub(crate) fn leave(&self) {
        let actions = self.table.borrow_mut().leave(Instant::now());
        self.perform(actions);
    }

    /// Where callers may connect, this instance's zone first.
    pub(crate) fn caller_addresses(&self, zone: &str) -> Vec<Box<str>> {
        let table = self.table.borrow();
        let mut members: Vec<_> = table.iter().filter(|member| is_ready(member)).collect();
        let near = members.iter().filter(|member| *member.zone == *zone).count();
        if near >= ENOUGH_NEAR {
            members.retain(|member| *member.zone == *zone);
        }
        members.into_iter().map(|member| member.http_address.clone()).collect()
    }

    /// Peer address of the instance that coordinates a program in this zone, for a turn that has come;
    /// none if that is this one or there is none.
    pub(crate) fn coordinator(&self, program: &str) -> Option<Box<str>> {
        let mut span = self.span.get();
        span.record_turn(Instant::now());
        self.span.set(span);
        let table = self.table.borrow();
        let me = table.me();
        let near = table.iter().filter(|member| is_ready(member) && member.zone == me.zone);
        let chosen = coordinator(program, span.instances(), near.map(|member| &*member.instance))?;
        let chosen = table.iter().find(|member| *member.instance == *chosen)?;
        (chosen.instance != me.instance).then(|| chosen.rpc_address.clone())
    }

    /// Which of these programs this instance does not coordinate.
    pub(crate) fn coordinated_elsewhere<'a>(
        &self,
        programs: impl IntoIterator<Item = &'a ProgramName>,
    ) -> Vec<ProgramName> {
        let table = self.table.borrow();
        let me = table.me();
        let near = table.iter().filter(|member| is_ready(member) && member.zone == me.zone);
        let span = self.span.get().instances();
        let coordinators = coordinators(span, near.map(|member| &*member.instance));
        let others = programs.into_iter().filter(|program| {
            preferred_member(program, coordinators.iter().copied()) != Some(&*me.instance)
        });
        others.cloned().collect()
    }

    /// Changes of the members that this instance has heard of.
    pub(crate) fn changes(&self) -> u64 {
        self.table.borrow().changes()
    }

    /// Members that are alive as far as this instance knows, itself included.
    pub(crate) fn alive_count(&self) -> usize {
        let table = self.table.borrow();
        table.iter().filter(|member| member.state == MemberState::Alive).count()
    }

    fn instance(&self) -> InstanceId {
        self.table.borrow().me().instance.clone()
    }

    /// Probes and answers until the instance ends.
    pub(crate) async fn run(self: Rc<Self>) {
        actix_rt::spawn(self.clone().receive());
        let mut next_join = Instant::now();
        let begun = Instant::now();
        let mut rounds = ASK_AROUND.iter().peekable();
        loop {
            if rounds.next_if(|after| begun.elapsed() >= **after).is_some() {
                next_join = Instant::now();
                let actions = self.table.borrow_mut().request_member_list();
                self.perform(actions);
            }
            if Instant::now() >= next_join {
                self.join();
                next_join = Instant::now() + REJOIN;
            }
            let actions = self.table.borrow_mut().tick(Instant::now());
            self.perform(actions);
            sleep(TICK).await;
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                sleep(TICK).await;
                continue;
            };
            if let Some(message) = QuotaMessage::decode(&buffer[..size]) {
                self.take_quota(&from.to_string(), message);
                continue;
            }
            match decode_gossip(&buffer[..size]) {
                Ok(message) => self.take(&message),
                Err(error) => log::warn!("event=gossip_malformed error=\"{error}\""),
            }
        }
    }

    fn take_quota(&self, from: &str, message: Result<QuotaMessage, serde_json::Error>) {
        match message {
            Ok(message) => {
                if let Some(listener) = &*self.quota_listener.borrow() {
                    listener.receive(from, message);
                }
            }
            Err(error) => log::warn!("event=quota_malformed from={from} error=\"{error}\""),
        }
    }

    fn take(&self, message: &GossipMessage) {
        self.clock.borrow_mut().observe(wall(), message.stamp);
        if message.config_head > self.peer_config_head.get() {
            self.peer_config_head.set(message.config_head);
            self.peer_head_since.set(Instant::now());
        }
        let actions = {
            let mut table = self.table.borrow_mut();
            let me = table.me().clone();
            // A wall clock that was set back gave this run a number that the last one had used.
            let newer = message.updates.iter().filter(|update| update.instance == me.instance);
            if let Some(newest) = newer.map(|update| update.incarnation).max()
                && newest > me.incarnation
            {
                table.restart(newest + 1);
            }
            table.receive(message, Instant::now())
        };
        self.perform(actions);
    }

    /// Asks seeds that are not known to be alive for everybody.
    fn join(&self) {
        let actions = {
            let mut table = self.table.borrow_mut();
            let alive: Vec<Box<str>> = table
                .iter()
                .filter(|member| member.state != MemberState::Dead)
                .map(|member| member.gossip_address.clone())
                .collect();
            let seeds = self.seeds.borrow();
            let missing = seeds.iter().filter(|seed| !alive.contains(seed)).cloned();
            table.join(missing.collect::<Vec<_>>())
        };
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, mut message } => {
                    message.stamp = self.clock.borrow_mut().tick(wall());
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

    /// Sends a datagram; one that cannot be sent at once is lost, as any may be.
    fn send_datagram(&self, to: &str, datagram: &[u8]) {
        let Ok(address) = to.parse::<std::net::SocketAddr>() else { return };
        if let Err(error) = self.socket.try_send_to(datagram, address) {
            log::debug!("event=gossip_lost to={to} error=\"{error}\"");
        }
    }
}

/// Whether callers are sent to a member.
fn is_ready(member: &MemberInfo) -> bool {
    member.state == MemberState::Alive && !member.http_address.is_empty()
}

fn seed_addresses(settings: &GatewaySettings) -> Vec<Box<str>> {
    settings.seeds.iter().map(|seed| settings.gossip_address(seed)).collect()
}

fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
