//! The deployments that a run can imitate.

use super::*;

const SITE_ZONES: [(&str, usize); 3] = [("pk-north-a", 4), ("pk-north-b", 3), ("pk-north-c", 2)];
const SITE_MODEL_ENGINES: usize = 18;
const SITE_APP_ENGINES: usize = 14;
const SITE_CALLERS_PER_PROCESS: usize = 8;
const MIN_CALLERS: usize = 16;
const MAX_CALLERS: usize = 60;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[display(rename_all = "lowercase")]
pub enum SoakShape {
    /// One zone, calls of all kinds.
    #[default]
    Plain,
    /// Three zones of small instances, agent programs and their tools.
    Site,
}

impl SoakShape {
    /// Reads `SOAK_SHAPE`.
    pub fn from_environment() -> Self {
        match std::env::var("SOAK_SHAPE").as_deref() {
            Err(_) | Ok("plain") => Self::Plain,
            Ok("site") => Self::Site,
            Ok(other) => panic!("unknown shape '{other}'"),
        }
    }

    pub fn is_site(self) -> bool {
        self == Self::Site
    }

    pub fn processes(self) -> usize {
        if self.is_site() { SITE_ZONES.iter().map(|(_, count)| count).sum() } else { 4 }
    }

    /// Instances that can take the place of removed ones.
    pub fn spares(self) -> usize {
        if self.is_site() { 3 } else { 0 }
    }

    pub fn callers(self, processes: usize) -> usize {
        match self {
            Self::Plain => (4 * processes).clamp(MIN_CALLERS, MAX_CALLERS),
            Self::Site => SITE_CALLERS_PER_PROCESS * processes,
        }
    }

    /// The zone of one of `count` instances, engines or callers, in the proportions of the deployment.
    pub fn zone(self, number: usize, count: usize) -> &'static str {
        let place = number % count * self.processes() / count;
        let mut ends = SITE_ZONES.iter().scan(0, |end, (zone, count)| {
            *end += count;
            Some((*zone, *end))
        });
        match self {
            Self::Plain => "zone-a",
            Self::Site => ends.find(|(_, end)| place < *end).expect("zones hold all places").0,
        }
    }

    pub fn region(self) -> &'static str {
        if self.is_site() { "pk-north" } else { "region" }
    }

    pub fn address_ttl_seconds(self) -> f64 {
        if self.is_site() { 5.0 } else { 1.0 }
    }

    pub fn retention(self) -> Duration {
        Duration::from_secs(if self.is_site() { 60 } else { 15 })
    }

    /// Turns that programs of others may continue.
    pub fn shared_turns(self) -> usize {
        if self.is_site() { 2_048 } else { 64 }
    }

    /// The services of the engines.
    pub fn engines(self, rng: &mut SmallRng) -> Vec<&'static str> {
        let [model, app] = SERVICES;
        match self {
            Self::Plain => SERVICES.into_iter().cycle().take(rng.random_range(3..=6)).collect(),
            Self::Site => [vec![model; SITE_MODEL_ENGINES], vec![app; SITE_APP_ENGINES]].concat(),
        }
    }

    /// Requests that an engine runs at once.
    pub fn slots(self, service: &str) -> usize {
        match self {
            Self::Plain => 16,
            Self::Site if service == SERVICES[0] => 96,
            Self::Site => 6,
        }
    }

    /// Services that may run a route.
    fn route_services(self, route: &str) -> &'static [&'static str] {
        match (self, route) {
            (Self::Plain, _) => &SERVICES,
            (Self::Site, "turn" | "prompt" | "watch") => &SERVICES[..1],
            (Self::Site, _) => &SERVICES[1..],
        }
    }

    /// Time-outs of a route; the manifest changes between them.
    pub fn timeouts(self, route: &str) -> [Duration; 2] {
        let millis = match (self, route) {
            (Self::Plain, _) => [2_500, 4_000],
            (Self::Site, "read") => [1_000, 1_500],
            (Self::Site, "cue") => [2_000, 3_000],
            (Self::Site, _) => [4_000, 6_000],
        };
        millis.map(Duration::from_millis)
    }

    /// The manifest of this version, whose routes are drawn.
    pub fn manifest(self, version: u64, rng: &mut SmallRng) -> Value {
        let kinds = [("turn", "stream"), ("watch", "stream"), ("book", "unsafe"), ("read", "safe")];
        let tools = [("cue", "unsafe"), ("prompt", "stream")];
        let kinds = kinds.into_iter().chain(tools.into_iter().filter(|_| self.is_site()));
        let added = (0..rng.random_range(0..4)).map(|number| (format!("added-{number}"), "safe"));
        let names = kinds.map(|(name, kind)| (name.to_owned(), kind)).chain(added);
        let mut routes = Vec::new();
        for (name, kind) in names {
            let mut route = route(&name, kind);
            let timeouts = self.timeouts(&name);
            let timeout = timeouts[rng.random_range(0..timeouts.len())];
            let services = self.route_services(&name);
            route["timeout-ms"] = (timeout.as_millis() as u64).into();
            route["service"] = services[rng.random_range(0..services.len())].into();
            if name == "prompt" {
                route["retain-s"] = self.retention().as_secs().into();
            }
            routes.push(route);
        }
        routes[0]["retained"] = true.into();
        routes[0]["retain-s"] = self.retention().as_secs().into();
        let mut manifest = manifest(version, &routes);
        let mut second = manifest["services"][0].clone();
        second["name"] = SERVICES[1].into();
        if self.is_site() {
            manifest["services"][0]["max-conns"] = 480.into();
            manifest["services"][0]["engine"]["slots"] = self.slots(SERVICES[0]).into();
            second.as_object_mut().expect("an object").remove("engine");
        }
        manifest["services"].as_array_mut().expect("a list").push(second);
        manifest["limits"]["max-body-bytes"] = 400_000.into();
        manifest["limits"]["idle-timeout-ms"] = (IDLE_TIMEOUT.as_millis() as u64).into();
        manifest
    }
}
