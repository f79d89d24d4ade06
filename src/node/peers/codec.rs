//! Wire encoding of gossip datagrams and permit requests in Cap'n Proto.

use std::time::Duration;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use super::PermitRequest;
use crate::core::dispatch::ServiceClass;
use crate::core::members::{GossipBody, GossipMessage, MemberInfo, MemberLoad, MemberState};
use crate::core::timeline::CausalStamp;
use crate::peer_capnp::{MemberState as WireState, gossip, member_update, permit_request, stamp};

/// A message is allocated by the size that it announces, before it is read. Those of a datagram are
/// smaller by far.
const MAX_GOSSIP_WORDS: usize = 128 * 1024;

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_GOSSIP_WORDS));
    options
}

pub(crate) fn encode_gossip(message: &GossipMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<gossip::Builder<'_>>();
    write_stamp(root.reborrow().init_stamp(), message.stamp);
    root.set_from(&*message.from);
    root.set_from_address(&*message.from_address);
    root.set_config_head(message.config_head);
    root.set_head_age_millis(message.head_age.map_or(0, age_to_wire));
    root.set_sequence(message.sequence);
    let mut updates = root.reborrow().init_updates(message.updates.len() as u32);
    for (index, update) in (0..).zip(&message.updates) {
        write_update(updates.reborrow().get(index), update);
    }
    match &message.body {
        GossipBody::Ping => root.set_ping(()),
        GossipBody::Ack => root.set_ack(()),
        GossipBody::IndirectPing(target) => root.set_indirect_ping(&**target),
        GossipBody::Join => root.set_join(()),
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder).expect("writing to a Vec cannot fail");
    bytes
}

pub(crate) fn decode_gossip(bytes: &[u8]) -> Result<GossipMessage, capnp::Error> {
    let reader = serialize_packed::read_message(bytes, reader_options())?;
    let root = reader.get_root::<gossip::Reader<'_>>()?;
    let body = match root.which()? {
        gossip::Ping(()) => GossipBody::Ping,
        gossip::Ack(()) => GossipBody::Ack,
        gossip::IndirectPing(target) => GossipBody::IndirectPing(read_text(target?)?),
        gossip::Join(()) => GossipBody::Join,
    };
    let updates = root.get_updates()?.iter().map(read_update).collect::<Result<_, _>>()?;
    Ok(GossipMessage {
        stamp: read_stamp(root.get_stamp()?),
        from: read_text(root.get_from()?)?,
        from_address: read_text(root.get_from_address()?)?,
        config_head: root.get_config_head(),
        head_age: age_from_wire(root.get_head_age_millis()),
        sequence: root.get_sequence(),
        updates,
        body,
    })
}

/// Encodes an age in milliseconds plus one; 0 is reserved for "none". Rounds up, since an
/// underestimated age would be unsound.
fn age_to_wire(age: Duration) -> u32 {
    let millis = age.as_micros().div_ceil(1000) + 1;
    millis.try_into().unwrap_or(u32::MAX)
}

fn age_from_wire(millis: u32) -> Option<Duration> {
    millis.checked_sub(1).map(|millis| Duration::from_millis(millis.into()))
}

pub(super) fn write_stamp(mut builder: stamp::Builder<'_>, value: CausalStamp) {
    builder.set_wall_micros(value.wall_micros);
    builder.set_counter(value.counter);
}

pub(super) fn read_stamp(reader: stamp::Reader<'_>) -> CausalStamp {
    CausalStamp { wall_micros: reader.get_wall_micros(), counter: reader.get_counter() }
}

pub(super) fn read_text(reader: capnp::text::Reader<'_>) -> Result<Box<str>, capnp::Error> {
    Ok(reader.to_str()?.into())
}

pub(super) fn write_permit(mut wire: permit_request::Builder<'_>, request: &PermitRequest) {
    wire.set_permit(request.permit);
    wire.set_holder(&*request.holder);
    wire.set_program(request.program);
    wire.set_workspace(&*request.workspace);
    wire.set_engine(&*request.engine);
    wire.set_paying(request.class == ServiceClass::Paying);
    wire.set_weight(request.weight);
    wire.set_attained(request.attained);
    wire.set_tokens(request.tokens);
    wire.set_own_tokens(request.own_tokens);
    wire.set_newcomer(request.cold);
    wire.set_wait_millis(request.wait.as_millis().min(u32::MAX.into()) as u32);
}

pub(super) fn read_permit(wire: permit_request::Reader<'_>) -> Result<PermitRequest, capnp::Error> {
    Ok(PermitRequest {
        permit: wire.get_permit(),
        holder: read_text(wire.get_holder()?)?,
        program: wire.get_program(),
        workspace: read_text(wire.get_workspace()?)?,
        engine: read_text(wire.get_engine()?)?,
        class: if wire.get_paying() { ServiceClass::Paying } else { ServiceClass::Trial },
        weight: wire.get_weight(),
        attained: wire.get_attained(),
        tokens: wire.get_tokens(),
        own_tokens: wire.get_own_tokens(),
        cold: wire.get_newcomer(),
        wait: Duration::from_millis(wire.get_wait_millis().into()),
    })
}

fn write_update(mut builder: member_update::Builder<'_>, update: &MemberInfo) {
    builder.set_instance(&*update.instance);
    builder.set_incarnation(update.incarnation);
    builder.set_revision(update.revision);
    builder.set_state(match update.state {
        MemberState::Alive => WireState::Alive,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Dead => WireState::Dead,
        MemberState::LeavingSuspect => WireState::Doubted,
    });
    builder.set_zone(&*update.zone);
    builder.set_http_address(&*update.http_address);
    builder.set_rpc_address(&*update.rpc_address);
    builder.set_gossip_address(&*update.gossip_address);
    builder.set_trial_load(update.load.trial);
    builder.set_paying_load(update.load.paying);
    builder.set_pressure(update.load.pressure);
    builder.set_hold_millis(update.load.hold_millis);
}

fn read_update(reader: member_update::Reader<'_>) -> Result<MemberInfo, capnp::Error> {
    Ok(MemberInfo {
        instance: read_text(reader.get_instance()?)?,
        incarnation: reader.get_incarnation(),
        revision: reader.get_revision(),
        state: match reader.get_state()? {
            WireState::Alive => MemberState::Alive,
            WireState::Suspect => MemberState::Suspect,
            WireState::Leaving => MemberState::Leaving,
            WireState::Dead => MemberState::Dead,
            WireState::Doubted => MemberState::LeavingSuspect,
        },
        zone: read_text(reader.get_zone()?)?,
        http_address: read_text(reader.get_http_address()?)?,
        rpc_address: read_text(reader.get_rpc_address()?)?,
        gossip_address: read_text(reader.get_gossip_address()?)?,
        load: MemberLoad {
            paying: reader.get_paying_load(),
            trial: reader.get_trial_load(),
            pressure: reader.get_pressure(),
            hold_millis: reader.get_hold_millis(),
        },
    })
}
