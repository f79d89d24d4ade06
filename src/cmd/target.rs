//! What all operators' commands share: the instance to ask and the form of the answer.

use serde::Serialize;

use super::CmdResult;
use super::table::print_json;
use crate::core::config::ChangeBody;
use crate::core::ids::ConfigVersion;
use crate::node::operators::{ClientError, OperatorClient};

/// The instance to ask, and how to print.
#[derive(Debug, clap::Args)]
pub(super) struct TargetArgs {
    /// RPC address of any instance.
    #[arg(long, env = "MERLINSADDLE_INSTANCE", default_value = "127.0.0.1:7100")]
    instance: Box<str>,
    /// Print JSON.
    #[arg(long)]
    pub(super) json: bool,
}

#[derive(Debug, Serialize)]
struct Accepted {
    version: ConfigVersion,
}

impl TargetArgs {
    pub(super) async fn connect(&self) -> Result<OperatorClient, ClientError> {
        OperatorClient::connect(&self.instance).await
    }

    /// Makes a change and prints its version.
    pub(super) async fn change(
        &self,
        client: &OperatorClient,
        body: ChangeBody,
        expected: ConfigVersion,
    ) -> CmdResult {
        let version = client.change(&body, expected).await?;
        if self.json {
            print_json(&Accepted { version });
        } else {
            println!("accepted as version {version}");
        }
        Ok(())
    }
}
