//! The commands, one file each: usage first, then `Args`, then `run`, then helpers.

pub mod bench;
pub mod check;
pub mod engine;
pub mod gateway;
pub mod limits;
pub mod load;
pub mod members;
mod process;
pub mod program;
pub mod serve;
pub mod stand_in;
mod table;
mod target;
pub mod timeline;
pub mod r#try;
pub mod workspace;

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error, From};

use crate::client::CallerError;
use crate::config::SettingsError;
use crate::node::LaunchError;
use crate::node::operators::ClientError;
use crate::util::line_sink::{LineDrain, LineSink};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CmdError {
    Settings(SettingsError),
    Launch(LaunchError),
    Client(ClientError),
    Caller(CallerError),
    Io(io::Error),
    #[display("some work was left when the time for the stop was over")]
    StopTimedOut,
    #[display("{message}")]
    #[from(skip)]
    Failed {
        message: Box<str>,
    },
}

pub(crate) type CmdResult = Result<(), CmdError>;

impl CmdError {
    pub(crate) fn failed(message: impl Into<Box<str>>) -> Self {
        Self::Failed { message: message.into() }
    }

    /// The exit code, as `merlinsaddle --help` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Launch(error) if error.is_address_taken() => 7,
            Self::Launch(_) | Self::Io(_) | Self::Failed { .. } => 1,
            Self::Settings(_) => 2,
            Self::Client(ClientError::Conflict { .. }) => 3,
            Self::Client(ClientError::Refused { .. }) | Self::Caller(CallerError::Refused(_)) => 4,
            Self::Client(ClientError::Unreachable { .. } | ClientError::Unavailable { .. })
            | Self::Caller(CallerError::Unreachable { .. }) => 5,
            Self::Client(
                ClientError::Timeout | ClientError::Unknown { .. } | ClientError::Rpc(_),
            ) => 6,
            Self::StopTimedOut => 8,
        }
    }
}

/// Runs a command's future on this thread.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Logs go to standard error, one line an event; `RUST_LOG` chooses the level.
pub(crate) fn start_log() {
    let _ = log_builder().try_init();
}

/// Like [`start_log`], to standard output and without ever waiting for its reader; a process that ends
/// waits for the last lines by what this returns.
pub(crate) fn start_log_to_stdout(instance: &str) -> LineDrain {
    let sink = LineSink::new(io::stdout());
    let drain = sink.drain();
    let target = env_logger::Target::Pipe(Box::new(sink));
    let instance: Box<str> = instance.into();
    let _ = log_builder()
        .target(target)
        .format(move |buffer, record| {
            use io::Write;
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let (seconds, micros) = (time.as_secs(), time.subsec_micros());
            let (level, text) = (record.level(), record.args());
            writeln!(buffer, "time={seconds}.{micros:06} instance={instance} level={level} {text}")
        })
        .try_init();
    drain
}

fn log_builder() -> env_logger::Builder {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|buffer, record| {
        use io::Write;
        writeln!(buffer, "level={} {}", record.level(), record.args())
    });
    builder
}
