//! Converts between the published schema and core types.

use std::time::Duration;

use crate::core::config::{DefinitionSpec, EngineGroupSpec, Versioned, WorkspaceSpec};
use crate::core::dispatch::ServiceClass;
use crate::core::ids::InstanceId;
use crate::core::orders::{EngineArtifact, EngineRole};
use crate::core::timeline::{CausalStamp, TimelineEvent};
use crate::operator_capnp::{
    EngineRole as WireRole, WorkspaceClass, engine_group, event, program_definition, workspace,
};

pub type VersionedWorkspace = Versioned<WorkspaceSpec>;
pub type VersionedDefinition = Versioned<DefinitionSpec>;
pub type VersionedEngineGroup = Versioned<EngineGroupSpec>;

pub(super) fn text(reader: capnp::text::Reader<'_>) -> Result<Box<str>, capnp::Error> {
    Ok(reader.to_str()?.into())
}

pub(super) fn write_workspace(
    mut builder: workspace::Builder<'_>,
    spec: &WorkspaceSpec,
    version: u64,
) {
    builder.set_id(&*spec.id);
    builder.set_class(match spec.class {
        ServiceClass::Paying => WorkspaceClass::Paying,
        ServiceClass::Trial => WorkspaceClass::Trial,
    });
    builder.set_budget_tokens(spec.budget);
    builder.set_priority(spec.priority);
    builder.set_retired(spec.retired);
    builder.set_version(version);
}

pub(super) fn read_workspace(
    reader: workspace::Reader<'_>,
) -> Result<VersionedWorkspace, capnp::Error> {
    let value = WorkspaceSpec {
        id: text(reader.get_id()?)?,
        class: match reader.get_class()? {
            WorkspaceClass::Paying => ServiceClass::Paying,
            WorkspaceClass::Trial => ServiceClass::Trial,
        },
        budget: reader.get_budget_tokens(),
        priority: reader.get_priority(),
        retired: reader.get_retired(),
    };
    Ok(Versioned { version: reader.get_version(), value })
}

pub(super) fn write_definition(
    mut builder: program_definition::Builder<'_>,
    spec: &DefinitionSpec,
    version: u64,
) {
    builder.set_name(&*spec.name);
    builder.set_workspace(&*spec.workspace);
    builder.set_model(&*spec.model);
    builder.set_shared_prefix(&*spec.shared_prefix);
    builder.set_max_turns(spec.max_turns);
    builder.set_max_tokens(spec.max_tokens);
    builder.set_idle_seconds(spec.idle_limit.as_secs().min(u32::MAX.into()) as u32);
    builder.set_retired(spec.retired);
    builder.set_version(version);
}

pub(super) fn read_definition(
    reader: program_definition::Reader<'_>,
) -> Result<VersionedDefinition, capnp::Error> {
    let value = DefinitionSpec {
        name: text(reader.get_name()?)?,
        workspace: text(reader.get_workspace()?)?,
        model: text(reader.get_model()?)?,
        shared_prefix: text(reader.get_shared_prefix()?)?,
        max_turns: reader.get_max_turns(),
        max_tokens: reader.get_max_tokens(),
        idle_limit: Duration::from_secs(reader.get_idle_seconds().into()),
        retired: reader.get_retired(),
    };
    Ok(Versioned { version: reader.get_version(), value })
}

pub(super) fn write_engine_group(
    mut builder: engine_group::Builder<'_>,
    spec: &EngineGroupSpec,
    version: u64,
) {
    builder.set_model(&*spec.model);
    builder.set_role(match spec.role {
        EngineRole::Mixed => WireRole::Mixed,
        EngineRole::Prefill => WireRole::Prefill,
        EngineRole::Decode => WireRole::Decode,
    });
    builder.set_max_away_percent(spec.max_away_percent);
    builder.set_version(version);
    let mut list = builder.init_artifacts(spec.artifacts.len() as u32);
    for (index, artifact) in (0..).zip(&spec.artifacts) {
        let mut entry = list.reborrow().get(index);
        entry.set_name(&*artifact.name);
        entry.set_version(&*artifact.version);
    }
}

pub(super) fn read_engine_group(
    reader: engine_group::Reader<'_>,
) -> Result<VersionedEngineGroup, capnp::Error> {
    let mut artifacts = Vec::new();
    for artifact in reader.get_artifacts()?.iter() {
        let (name, version) = (text(artifact.get_name()?)?, text(artifact.get_version()?)?);
        artifacts.push(EngineArtifact { name, version });
    }
    let value = EngineGroupSpec {
        model: text(reader.get_model()?)?,
        artifacts,
        role: match reader.get_role()? {
            WireRole::Mixed => EngineRole::Mixed,
            WireRole::Prefill => EngineRole::Prefill,
            WireRole::Decode => EngineRole::Decode,
        },
        max_away_percent: reader.get_max_away_percent(),
    };
    Ok(Versioned { version: reader.get_version(), value })
}

pub(super) fn write_event(mut builder: event::Builder<'_>, event: &TimelineEvent) {
    builder.set_wall_micros(event.stamp.wall_micros);
    builder.set_counter(event.stamp.counter);
    builder.set_instance(&*event.instance);
    builder.set_kind(&*event.kind);
    builder.set_program(&*event.program);
    builder.set_workspace(&*event.workspace);
    builder.set_upstream(&*event.upstream);
    builder.set_detail(&*event.detail);
}

pub(super) fn read_event(reader: event::Reader<'_>) -> Result<TimelineEvent, capnp::Error> {
    let instance: InstanceId = text(reader.get_instance()?)?;
    Ok(TimelineEvent {
        stamp: CausalStamp { wall_micros: reader.get_wall_micros(), counter: reader.get_counter() },
        instance,
        kind: text(reader.get_kind()?)?,
        program: text(reader.get_program()?)?,
        workspace: text(reader.get_workspace()?)?,
        upstream: text(reader.get_upstream()?)?,
        detail: text(reader.get_detail()?)?,
    })
}
