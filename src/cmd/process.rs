//! What the commands share that run until they are told to stop: their signals, and their start.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use super::CmdResult;
use crate::node::LaunchError;

/// Signals whose default ends the process, and which are no request to end it: a file, such as the log,
/// that has reached its size limit, used-up processor time, timers, and conventions of other programs.
const IGNORED_SIGNALS: [(&str, i32); 9] = [
    ("SIGXFSZ", libc::SIGXFSZ),
    ("SIGXCPU", libc::SIGXCPU),
    ("SIGUSR1", libc::SIGUSR1),
    ("SIGUSR2", libc::SIGUSR2),
    ("SIGALRM", libc::SIGALRM),
    ("SIGVTALRM", libc::SIGVTALRM),
    ("SIGPROF", libc::SIGPROF),
    ("SIGIO", libc::SIGIO),
    ("SIGPWR", libc::SIGPWR),
];

/// How often an address that is taken is tried again.
const BIND_INTERVAL: Duration = Duration::from_millis(50);

/// The signals that a process heeds, from `open` on.
pub(crate) struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl ProcessSignals {
    pub(crate) fn open() -> io::Result<Self> {
        let signals = Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        };
        for (name, number) in IGNORED_SIGNALS {
            let mut ignored = signal(SignalKind::from_raw(number))?;
            actix_rt::spawn(async move {
                // Once only: a line to a log at its size limit raises the signal again.
                if ignored.recv().await.is_some() {
                    log::warn!("event=signal_ignored signal={name}");
                }
            });
        }
        Ok(signals)
    }

    /// Waits until the process is told to stop.
    pub(crate) async fn stopped(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits until the process is told to stop or to read its settings again; true for the latter.
    pub(crate) async fn is_reload(&mut self) -> bool {
        tokio::select! {
            _ = self.terminate.recv() => false,
            _ = self.interrupt.recv() => false,
            _ = self.reload.recv() => true,
        }
    }
}

/// Repeats `bind` for up to `limit` while an address is taken: a predecessor may still be stopping, and a
/// connection of another process may have the port.
pub(crate) async fn bind_once_free<T>(
    limit: Duration,
    mut bind: impl AsyncFnMut() -> Result<T, LaunchError>,
) -> Result<T, LaunchError> {
    let start = Instant::now();
    let mut is_waiting = false;
    loop {
        let error = match bind().await {
            Ok(sockets) if is_waiting => {
                log::info!("event=addresses_bound waited_ms={}", start.elapsed().as_millis());
                return Ok(sockets);
            }
            Ok(sockets) => return Ok(sockets),
            Err(error) => error,
        };
        if !error.is_address_taken() || start.elapsed() >= limit {
            return Err(error);
        }
        if !std::mem::replace(&mut is_waiting, true) {
            log::warn!("event=address_taken limit_ms={} error=\"{error}\"", limit.as_millis());
        }
        sleep(BIND_INTERVAL).await;
    }
}

/// Logs why the process ends, as its status alone does not tell, and standard error may not be kept.
pub(crate) fn log_failure(result: &CmdResult) {
    if let Err(error) = result {
        log::error!("event=process_failed status={} error=\"{error}\"", error.exit_code());
    }
}
