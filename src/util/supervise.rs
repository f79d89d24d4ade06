//! Tasks that last as long as the process.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::sleep;

const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Starts a task that others rely on. After a panic, which is logged, it is started again, from the
/// state that it shares with the others; otherwise requests would wait for what it no longer does.
pub(crate) fn spawn_supervised<F: Future<Output = ()> + 'static>(
    name: &'static str,
    start: impl Fn() -> F + 'static,
) {
    actix_rt::spawn(async move {
        // The state shared with other tasks is in cells, which are released as the panic unwinds.
        while AssertUnwindSafe(async { start().await }).catch_unwind().await.is_err() {
            log::error!("event=task_panicked task={name}");
            sleep(RESTART_DELAY).await;
        }
    });
}
