//! A folder of its own for each test, runs of the program in it, and small deployments of real
//! processes on loopback.

#![allow(dead_code)]

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Names another build of the program to run.
const PROGRAM_VARIABLE: &str = "MERLINSADDLE_PROGRAM";
const PLATFORM_PORT: usize = 7900;
const ENGINE_PORT: usize = 7300;
const HTTP_PORT: usize = 7000;
const RPC_PORT: usize = 7100;
const GOSSIP_PORT: usize = 7200;
const LIMIT: Duration = Duration::from_secs(30);

pub fn program() -> String {
    let own = env!("CARGO_BIN_EXE_merlinsaddle");
    std::env::var(PROGRAM_VARIABLE).unwrap_or_else(|_| own.to_owned())
}

/// What a run of the program gave.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// A folder that is removed at the end.
pub struct WorkDir {
    path: PathBuf,
}

impl WorkDir {
    pub fn new(name: &str) -> Self {
        let unique = format!("{name}-{}-{:?}", std::process::id(), std::thread::current().id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(unique);
        fs::create_dir_all(&path).expect("the folder can be made");
        Self { path }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.path.join(name);
        fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    pub fn path(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path.join(name)).unwrap_or_default()
    }

    pub fn run(&self, args: &[&str]) -> Run {
        let output = Command::new(program()).args(args).output().expect("the program starts");
        Run {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Starts the program in the background; its log goes to a file of the folder.
    pub fn spawn(&self, name: &str, args: &[&str]) -> Child {
        self.spawn_logged(name, Command::new(program()).args(args))
    }

    /// The same, under a limit in the form of `ulimit`.
    pub fn spawn_limited(&self, name: &str, args: &[&str], limit: &str) -> Child {
        let script = format!("ulimit {limit} && exec \"$0\" \"$@\"");
        let program = program();
        self.spawn_logged(name, Command::new("sh").args(["-c", &script, &program]).args(args))
    }

    fn spawn_logged(&self, name: &str, command: &mut Command) -> Child {
        let log = fs::File::create(self.path.join(name)).expect("the log can be made");
        let errors = log.try_clone().expect("the log can be shared");
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        command.spawn().expect("the program starts")
    }

    /// Starts the program in the background with its output in a pipe.
    pub fn spawn_piped(&self, args: &[&str]) -> Child {
        let mut command = Command::new(program());
        command.args(args).stdout(Stdio::piped()).stderr(Stdio::null());
        command.spawn().expect("the program starts")
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// An address of the loopback range that no other test uses, so that ports need not be sought: a
/// port found free may be taken by another test before the process it was meant for opens it.
pub fn own_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(2);
    let process = std::process::id();
    let (high, low) = (process / 250 % 250 + 1, process % 250 + 1);
    format!("127.{high}.{low}.{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns an address from the `event=started` line.
pub fn logged_address(log: &str, field: &str) -> String {
    let line = log.lines().find(|line| line.contains("event=started"));
    let rest = line.and_then(|line| line.split(field).nth(1)).expect("the address is logged");
    rest.split_whitespace().next().expect("an address follows").to_owned()
}

/// A platform, an engine and some instances, each a process.
pub struct Deployment {
    pub dir: WorkDir,
    children: Vec<Child>,
    rpc: String,
    http: String,
}

impl Deployment {
    pub fn start(name: &str, instances: usize) -> Self {
        let dir = WorkDir::new(name);
        let ip = own_ip();
        let address = |port: usize| format!("{ip}:{port}");
        let (platform, engine) = (address(PLATFORM_PORT), address(ENGINE_PORT));
        let mut roster = vec![serde_json::json!({
            "id": "engine-0", "role": "engine", "group": "dialogue",
            "address": engine, "leaving": false,
        })];
        let mut settings = Vec::new();
        for index in 0..instances {
            let instance = format!("instance-{index}");
            roster.push(serde_json::json!({
                "id": instance, "role": "instance", "group": "",
                "address": address(GOSSIP_PORT + index), "leaving": false,
            }));
            let text = serde_json::json!({
                "instance": instance, "zone": format!("zone-{index}"), "shards": 16,
                "http_address": address(HTTP_PORT + index), "rpc_address": address(RPC_PORT + index),
                "gossip_address": address(GOSSIP_PORT + index), "platform_address": platform,
                "models": [{ "model": "dialogue", "slots": 8, "cache_tokens": 100000,
                             "prefill_micros_per_token": 50, "min_bytes_per_token": 4 }],
            });
            settings.push(dir.file(&format!("{instance}.json"), &text.to_string()));
        }
        let roster = serde_json::Value::from(roster).to_string();
        let roster = dir.file("roster.json", &roster);
        let mut children = vec![
            dir.spawn("platform.log", &["stand-in", "platform", &platform, "--roster", &roster]),
            dir.spawn("engine.log", &["stand-in", "engine", &engine]),
        ];
        for (index, path) in settings.iter().enumerate() {
            children.push(dir.spawn(&format!("instance-{index}.log"), &["serve", path]));
        }
        let deployment = Self { dir, children, rpc: address(RPC_PORT), http: address(HTTP_PORT) };
        deployment.until(&["members"]);
        deployment
    }

    /// Where callers reach the first instance.
    pub fn http_address(&self) -> String {
        self.http.clone()
    }

    /// Runs an operators' command against the first instance.
    pub fn operate(&self, args: &[&str]) -> Run {
        let mut all: Vec<&str> = args.to_vec();
        all.splice(1..1, ["--instance", &self.rpc]);
        self.dir.run(&all)
    }

    /// Repeats an operators' command until it succeeds.
    pub fn until(&self, args: &[&str]) -> Run {
        let end = Instant::now() + LIMIT;
        loop {
            let run = self.operate(args);
            if run.code == 0 {
                return run;
            }
            assert!(Instant::now() < end, "{args:?} did not succeed within {LIMIT:?}: {run:?}");
            sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
