//! The binary under load: instance processes are terminated, suspended and killed.

mod support;

use std::cell::Cell;
use std::process::{Child, Command};
use std::rc::Rc;
use std::time::Duration;

use merlinsaddle::client::{CallerClient, ClientCall};
use merlinsaddle::core::dispatch::ServiceClass;
use merlinsaddle::core::outcome::CallOutcome;
use merlinsaddle::node::calls::CallTarget;
use merlinsaddle::node::{NodeSockets, launch_node};
use support::sockets::{loopback, serve_standins, settings, settings_text};
use support::{answer_text, create_workspace, wait_until};
use tokio::time::{sleep, timeout};

/// A running instance process, killed on drop.
struct InstanceProcess {
    child: Child,
}

impl InstanceProcess {
    fn start(index: usize, platform: &str) -> Self {
        let directory = env!("CARGO_TARGET_TMPDIR");
        let path = format!("{directory}/{}-{index}.json", std::process::id());
        std::fs::write(&path, settings_text(index, platform)).expect("the file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinsaddle"));
        command.args(["serve", &path]).env("RUST_LOG", "warn");
        Self { child: command.spawn().expect("the binary starts") }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns the exit code, or `None` if a signal terminated the process.
    async fn wait_exit(&mut self) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().expect("child status is available") {
                return status.code();
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against incomplete answers, service calls that run twice and unclean exits when processes
/// are terminated, suspended or killed under load.
#[test]
fn programs_survive_terminated_suspended_and_killed_processes() {
    actix_rt::System::new().block_on(async {
        let standins = serve_standins(4, None).await;
        let platform = standins.platform_address.clone();
        let mut processes: Vec<_> =
            (0..3).map(|index| InstanceProcess::start(index, &platform)).collect();
        // A fourth instance, in this process, accepts the configuration and reports the members.
        let mut own = settings(3, &platform);
        let sockets = NodeSockets::open(&mut own).await.expect("the addresses are free");
        let observer = launch_node(own, sockets, 3).await;
        wait_until(|| observer.member_list().len() == 4).await;
        create_workspace(&observer, "w", ServiceClass::Paying, 10_000_000).await;
        // Time until the definition is in effect on all instances.
        sleep(Duration::from_secs(3)).await;
        let seeds: Vec<Box<str>> =
            (0..4).map(|index| format!("{}:7000", loopback(10 + index)).into()).collect();
        let stop = Rc::new(Cell::new(false));
        let limit = Duration::from_secs(50);
        let programs = (0..6).map(async |_| {
            let client = CallerClient::new(seeds.clone());
            let program = client.start_program("w", "d", None, limit).await.expect("started");
            let mut number = 0;
            while !stop.get() {
                number += 1;
                let target = if number % 4 == 0 {
                    CallTarget::Service { service: "s".into(), idempotent: false }
                } else {
                    CallTarget::Model { max_tokens: 100 }
                };
                let (request_id, input) = (format!("r{number}").into(), "x".into());
                let call = ClientCall { number, request_id, input, target };
                let report = client.call(&program, &call, limit).await.expect("call completes");
                match &report.outcome {
                    CallOutcome::Unknown(unknown) => assert!(!unknown.retryable && number % 4 == 0),
                    outcome => assert_eq!(&*report.streamed, answer_text(outcome)),
                }
                sleep(Duration::from_millis(300)).await;
            }
            number
        });
        let disruptions = async {
            sleep(Duration::from_secs(2)).await;
            processes[0].signal("-TERM");
            assert_eq!(processes[0].wait_exit().await, Some(0));
            processes[0] = InstanceProcess::start(0, &platform);
            processes[1].signal("-STOP");
            sleep(Duration::from_secs(4)).await;
            processes[1].signal("-CONT");
            processes[2].signal("-KILL");
            assert_eq!(processes[2].wait_exit().await, None);
            processes[2] = InstanceProcess::start(2, &platform);
            sleep(Duration::from_secs(6)).await;
            stop.set(true);
        };
        let all = futures_util::future::join(futures_util::future::join_all(programs), disruptions);
        let (counts, ()) = timeout(Duration::from_secs(55), all).await.expect("all calls complete");
        assert!(counts.iter().all(|count| *count >= 8), "{counts:?}");
        assert!(standins.service.executions().values().all(|count| *count == 1));
    });
}
