//! RPC client for operators' tools.

use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::wire::{
    VersionedDefinition, VersionedEngineGroup, VersionedWorkspace, read_definition,
    read_engine_group, read_event, read_workspace, text, write_definition, write_engine_group,
    write_workspace,
};
use crate::core::config::ChangeBody;
use crate::core::ids::ConfigVersion;
use crate::core::timeline::TimelineEvent;
use crate::operator_capnp::{change_result, operator};
use crate::util::rpc::{RpcConnection, connect_rpc};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug, Display, Error, From)]
pub enum ClientError {
    #[display("cannot connect to {address}")]
    #[from(skip)]
    Unreachable { address: Box<str> },
    #[display("request timed out")]
    #[from(skip)]
    Timeout,
    #[display("conflict: {message}; the current version is {current}")]
    #[from(skip)]
    Conflict { current: ConfigVersion, message: Box<str> },
    #[display("refused: {message}")]
    #[from(skip)]
    Refused { message: Box<str> },
    #[display("not changed: the platform's table is unavailable; retry in {retry_millis} ms")]
    #[from(skip)]
    Unavailable { retry_millis: u32 },
    #[display("unknown whether the change took effect: {message}")]
    #[from(skip)]
    Unknown { message: Box<str> },
    #[display("RPC failed: {_0}")]
    Rpc(capnp::Error),
}

/// A member, in the view of the connected instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberLine {
    pub instance: Box<str>,
    pub incarnation: u64,
    pub zone: Box<str>,
    pub state: Box<str>,
    pub http_address: Box<str>,
    pub rpc_address: Box<str>,
    pub shards: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProgramLine {
    pub program: Box<str>,
    pub workspace: Box<str>,
    pub definition: Box<str>,
    pub turns: u32,
    pub tokens: u64,
    pub ended: bool,
    pub owner: Box<str>,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusLine {
    pub schema_version: u32,
    pub instance: Box<str>,
    pub config_version: ConfigVersion,
    pub current: bool,
    pub draining: bool,
}

pub struct OperatorClient {
    client: operator::Client,
}

impl OperatorClient {
    pub async fn connect(address: &str) -> Result<Self, ClientError> {
        let unreachable = || ClientError::Unreachable { address: address.into() };
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(Ok(stream)) = connecting.await else { return Err(unreachable()) };
        let RpcConnection { client, system } = connect_rpc(stream);
        actix_rt::spawn(system);
        Ok(Self { client })
    }

    pub async fn status(&self) -> Result<StatusLine, ClientError> {
        let response = with_timeout(self.client.status_request().send().promise).await?;
        let status = response.get()?.get_status()?;
        Ok(StatusLine {
            schema_version: status.get_schema_version(),
            instance: text(status.get_instance()?)?,
            config_version: status.get_config_version(),
            current: status.get_current(),
            draining: status.get_draining(),
        })
    }

    /// Changes an object if its version is still `expected`; 0 creates it.
    pub async fn change(
        &self,
        body: &ChangeBody,
        expected: ConfigVersion,
    ) -> Result<ConfigVersion, ClientError> {
        let mut call = self.client.change_request();
        let mut change = call.get().init_change();
        change.set_expected_version(expected);
        match body {
            ChangeBody::Workspace(spec) => write_workspace(change.init_workspace(), spec, 0),
            ChangeBody::Definition(spec) => write_definition(change.init_definition(), spec, 0),
            ChangeBody::EngineGroup(spec) => {
                write_engine_group(change.init_engine_group(), spec, 0);
            }
        }
        let response = with_timeout(call.send().promise).await?;
        let result = response.get()?.get_result()?;
        match result.which().map_err(capnp::Error::from)? {
            change_result::Accepted(version) => Ok(version),
            change_result::Conflict(conflict) => {
                let conflict = conflict?;
                let message = text(conflict.get_message()?)?;
                Err(ClientError::Conflict { current: conflict.get_current_version(), message })
            }
            change_result::Invalid(message) => {
                Err(ClientError::Refused { message: text(message?)? })
            }
            change_result::Unavailable(retry_millis) => {
                Err(ClientError::Unavailable { retry_millis })
            }
            change_result::Unknown(message) => {
                Err(ClientError::Unknown { message: text(message?)? })
            }
        }
    }

    pub async fn workspaces(&self) -> Result<Vec<VersionedWorkspace>, ClientError> {
        let response = with_timeout(self.client.list_workspaces_request().send().promise).await?;
        let list = response.get()?.get_workspaces()?;
        Ok(list.iter().map(read_workspace).collect::<Result<_, _>>()?)
    }

    pub async fn definitions(&self) -> Result<Vec<VersionedDefinition>, ClientError> {
        let response = with_timeout(self.client.list_definitions_request().send().promise).await?;
        let list = response.get()?.get_definitions()?;
        Ok(list.iter().map(read_definition).collect::<Result<_, _>>()?)
    }

    pub async fn engine_groups(&self) -> Result<Vec<VersionedEngineGroup>, ClientError> {
        let response =
            with_timeout(self.client.list_engine_groups_request().send().promise).await?;
        let list = response.get()?.get_groups()?;
        Ok(list.iter().map(read_engine_group).collect::<Result<_, _>>()?)
    }

    pub async fn start_program(
        &self,
        workspace: &str,
        definition: &str,
        start_key: &str,
    ) -> Result<Box<str>, ClientError> {
        let mut call = self.client.start_program_request();
        call.get().set_workspace(workspace);
        call.get().set_definition(definition);
        call.get().set_start_key(start_key);
        let response = with_timeout(call.send().promise).await?;
        let results = response.get()?;
        check_error(results.get_error()?)?;
        Ok(text(results.get_id()?)?)
    }

    /// Lists the programs of the connected instance's shards.
    pub async fn programs(&self) -> Result<Vec<ProgramLine>, ClientError> {
        let response = with_timeout(self.client.list_programs_request().send().promise).await?;
        let mut lines = Vec::new();
        for program in response.get()?.get_programs()?.iter() {
            lines.push(ProgramLine {
                program: text(program.get_id()?)?,
                workspace: text(program.get_workspace()?)?,
                definition: text(program.get_definition()?)?,
                turns: program.get_turns(),
                tokens: program.get_tokens(),
                ended: program.get_ended(),
                owner: text(program.get_owner()?)?,
            });
        }
        Ok(lines)
    }

    /// Returns a program with its history, as JSON.
    pub async fn show_program(&self, id: &str) -> Result<Box<str>, ClientError> {
        let mut call = self.client.show_program_request();
        call.get().set_id(id);
        let response = with_timeout(call.send().promise).await?;
        let results = response.get()?;
        check_error(results.get_error()?)?;
        Ok(text(results.get_history()?)?)
    }

    pub async fn end_program(&self, id: &str) -> Result<(), ClientError> {
        let mut call = self.client.end_program_request();
        call.get().set_id(id);
        let response = with_timeout(call.send().promise).await?;
        check_error(response.get()?.get_error()?)
    }

    pub async fn members(&self) -> Result<Vec<MemberLine>, ClientError> {
        let response = with_timeout(self.client.members_request().send().promise).await?;
        let mut lines = Vec::new();
        for member in response.get()?.get_members()?.iter() {
            lines.push(MemberLine {
                instance: text(member.get_instance()?)?,
                incarnation: member.get_incarnation(),
                zone: text(member.get_zone()?)?,
                state: text(member.get_state()?)?,
                http_address: text(member.get_http_address()?)?,
                rpc_address: text(member.get_rpc_address()?)?,
                shards: member.get_shards(),
            });
        }
        Ok(lines)
    }

    /// Lists recent events of the connected instance.
    pub async fn timeline(&self, after_micros: u64) -> Result<Vec<TimelineEvent>, ClientError> {
        let mut call = self.client.timeline_request();
        call.get().set_after_micros(after_micros);
        let response = with_timeout(call.send().promise).await?;
        let events = response.get()?.get_events()?;
        Ok(events.iter().map(read_event).collect::<Result<_, _>>()?)
    }
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, ClientError> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(answer) => Ok(answer?),
        Err(_) => Err(ClientError::Timeout),
    }
}

fn check_error(error: capnp::text::Reader<'_>) -> Result<(), ClientError> {
    let message = text(error)?;
    if message.is_empty() { Ok(()) } else { Err(ClientError::Refused { message }) }
}
