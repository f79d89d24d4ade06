//! RPC server for operators' tools.

use std::rc::Rc;

use tokio::time::Instant;

use super::SCHEMA_VERSION;
use super::wire::{
    read_definition, read_engine_group, read_workspace, text, write_definition, write_engine_group,
    write_event, write_workspace,
};
use crate::core::config::ChangeBody;
use crate::core::ids::{ConfigVersion, format_program_id, parse_program_id};
use crate::core::outcome::{CallRefusal, RequestFailure};
use crate::node::config_sync::ChangeError;
use crate::node::instance::Node;
use crate::node::peers::StartRequest;
use crate::operator_capnp::{change, change_result, operator};

pub(super) struct OperatorServer {
    node: Rc<Node>,
}

impl OperatorServer {
    pub(super) fn new(node: Rc<Node>) -> Self {
        Self { node }
    }
}

fn read_change(reader: change::Reader<'_>) -> Result<ChangeBody, capnp::Error> {
    Ok(match reader.which()? {
        change::Workspace(workspace) => ChangeBody::Workspace(read_workspace(workspace?)?.value),
        change::Definition(definition) => {
            ChangeBody::Definition(read_definition(definition?)?.value)
        }
        change::EngineGroup(group) => ChangeBody::EngineGroup(read_engine_group(group?)?.value),
    })
}

fn write_result(
    mut builder: change_result::Builder<'_>,
    result: Result<ConfigVersion, ChangeError>,
) {
    match result {
        Ok(version) => builder.set_accepted(version),
        Err(ChangeError::Conflict { current, message }) => {
            let mut conflict = builder.init_conflict();
            conflict.set_current_version(current);
            conflict.set_message(&*message);
        }
        Err(ChangeError::Invalid(message)) => builder.set_invalid(&*message),
        Err(ChangeError::Unavailable { retry_after }) => {
            builder.set_unavailable(retry_after.as_millis() as u32);
        }
        Err(ChangeError::Unknown { message }) => builder.set_unknown(&*message),
    }
}

fn failure_text(failure: &RequestFailure) -> String {
    match failure {
        RequestFailure::NotRun(refusal) => refusal_text(refusal),
        RequestFailure::Unknown(unknown) => unknown.to_string(),
    }
}

fn refusal_text(refusal: &CallRefusal) -> String {
    match refusal.retry_after {
        Some(wait) => format!("{refusal}; retry in {} ms", wait.as_millis()),
        None => refusal.to_string(),
    }
}

impl operator::Server for OperatorServer {
    async fn status(
        self: Rc<Self>,
        _params: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> Result<(), capnp::Error> {
        let node = &self.node;
        let mut status = results.get().init_status();
        status.set_schema_version(SCHEMA_VERSION);
        status.set_instance(&**node.instance());
        let config = node.config.borrow();
        status.set_config_version(config.version());
        let bound = node.settings.limits.max_config_age();
        status.set_current(config.is_current(Instant::now(), bound));
        status.set_draining(node.draining.get());
        Ok(())
    }

    async fn change(
        self: Rc<Self>,
        params: operator::ChangeParams,
        mut results: operator::ChangeResults,
    ) -> Result<(), capnp::Error> {
        let change = params.get()?.get_change()?;
        let body = read_change(change)?;
        let result = self.node.change_config(body, change.get_expected_version()).await;
        write_result(results.get().init_result(), result);
        Ok(())
    }

    async fn list_workspaces(
        self: Rc<Self>,
        _params: operator::ListWorkspacesParams,
        mut results: operator::ListWorkspacesResults,
    ) -> Result<(), capnp::Error> {
        let config = self.node.config.borrow();
        let found: Vec<_> = config.workspaces().collect();
        let mut list = results.get().init_workspaces(found.len() as u32);
        for (index, workspace) in (0..).zip(found) {
            write_workspace(list.reborrow().get(index), &workspace.value, workspace.version);
        }
        Ok(())
    }

    async fn list_definitions(
        self: Rc<Self>,
        _params: operator::ListDefinitionsParams,
        mut results: operator::ListDefinitionsResults,
    ) -> Result<(), capnp::Error> {
        let config = self.node.config.borrow();
        let found: Vec<_> = config.definitions().collect();
        let mut list = results.get().init_definitions(found.len() as u32);
        for (index, definition) in (0..).zip(found) {
            write_definition(list.reborrow().get(index), &definition.value, definition.version);
        }
        Ok(())
    }

    async fn list_engine_groups(
        self: Rc<Self>,
        _params: operator::ListEngineGroupsParams,
        mut results: operator::ListEngineGroupsResults,
    ) -> Result<(), capnp::Error> {
        let config = self.node.config.borrow();
        let found: Vec<_> = config.engine_groups().collect();
        let mut list = results.get().init_groups(found.len() as u32);
        for (index, group) in (0..).zip(found) {
            write_engine_group(list.reborrow().get(index), &group.value, group.version);
        }
        Ok(())
    }

    async fn start_program(
        self: Rc<Self>,
        params: operator::StartProgramParams,
        mut results: operator::StartProgramResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = text(params.get_start_key()?)?;
        let request = StartRequest {
            workspace: text(params.get_workspace()?)?,
            definition: text(params.get_definition()?)?,
            start_key: (!key.is_empty()).then_some(key),
            parent: None,
        };
        match self.node.start_program(request).await {
            Ok(program) => results.get().set_id(&*format_program_id(program)),
            Err(failure) => results.get().set_error(&*failure_text(&failure)),
        }
        Ok(())
    }

    async fn list_programs(
        self: Rc<Self>,
        _params: operator::ListProgramsParams,
        mut results: operator::ListProgramsResults,
    ) -> Result<(), capnp::Error> {
        let programs = self.node.programs_here();
        let mut list = results.get().init_programs(programs.len() as u32);
        for (index, program) in (0..).zip(&programs) {
            let mut entry = list.reborrow().get(index);
            entry.set_id(&*program.program);
            entry.set_workspace(&*program.workspace);
            entry.set_definition(&*program.definition);
            entry.set_turns(program.turns.len() as u32);
            entry.set_tokens(program.tokens);
            entry.set_ended(program.ended.is_some());
            entry.set_owner(&*program.owner);
        }
        Ok(())
    }

    async fn show_program(
        self: Rc<Self>,
        params: operator::ShowProgramParams,
        mut results: operator::ShowProgramResults,
    ) -> Result<(), capnp::Error> {
        let id = text(params.get()?.get_id()?)?;
        let program = match parse_program_id(&id) {
            Ok(program) => program,
            Err(error) => {
                results.get().set_error(error.to_string());
                return Ok(());
            }
        };
        match self.node.show_program(program).await {
            Ok(history) => results.get().set_history(&*history),
            Err(refusal) => results.get().set_error(refusal_text(&refusal)),
        }
        Ok(())
    }

    async fn end_program(
        self: Rc<Self>,
        params: operator::EndProgramParams,
        mut results: operator::EndProgramResults,
    ) -> Result<(), capnp::Error> {
        let id = text(params.get()?.get_id()?)?;
        let program = match parse_program_id(&id) {
            Ok(program) => program,
            Err(error) => {
                results.get().set_error(error.to_string());
                return Ok(());
            }
        };
        if let Err(failure) = self.node.end_program(program).await {
            results.get().set_error(failure_text(&failure));
        }
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        _params: operator::MembersParams,
        mut results: operator::MembersResults,
    ) -> Result<(), capnp::Error> {
        let members = self.node.member_list();
        let mut list = results.get().init_members(members.len() as u32);
        for (index, member) in (0..).zip(&members) {
            let mut entry = list.reborrow().get(index);
            entry.set_instance(&*member.instance);
            entry.set_incarnation(member.incarnation);
            entry.set_zone(&*member.zone);
            entry.set_state(member.state.to_string());
            entry.set_http_address(&*member.http_address);
            entry.set_rpc_address(&*member.rpc_address);
            entry.set_shards(self.node.owned_shard_count(&member.instance));
        }
        Ok(())
    }

    async fn timeline(
        self: Rc<Self>,
        params: operator::TimelineParams,
        mut results: operator::TimelineResults,
    ) -> Result<(), capnp::Error> {
        let events = self.node.events_since(params.get()?.get_after_micros());
        let mut list = results.get().init_events(events.len() as u32);
        for (index, event) in (0..).zip(&events) {
            write_event(list.reborrow().get(index), event);
        }
        Ok(())
    }
}
