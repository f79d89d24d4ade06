//! Parses log lines and selects those that belong to the timeline of a request.

use std::time::Duration;

#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Wall time since the Unix epoch, by the clock of the logging process.
    pub time: Duration,
    pub instance: Box<str>,
    pub text: Box<str>,
}

impl LogLine {
    /// Returns `None` if the line has no valid `time` or no `instance` field.
    pub fn parse(text: &str) -> Option<Self> {
        let seconds: f64 = field(text, "time")?.parse().ok()?;
        let time = Duration::try_from_secs_f64(seconds).ok()?;
        Some(Self { time, instance: field(text, "instance")?.into(), text: text.into() })
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.text, name)
    }

    /// True for events that change how the process treats requests of any kind.
    pub fn is_state_change(&self) -> bool {
        const STATE_EVENTS: [&str; 8] = [
            "dependency_lost",
            "dependency_regained",
            "routes_applied",
            "upstream_changed",
            "member_changed",
            "started",
            "ready",
            "stop_begun",
        ];
        self.field("event").is_some_and(|event| STATE_EVENTS.contains(&event))
    }
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let pairs = text.split_ascii_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.trim_matches('"'))
}

/// State changes this long before a request may still explain its result.
const LOOKBACK_WINDOW: Duration = Duration::from_secs(3);

/// Returns, in order of time, the lines that name `id` (a request, program, turn or fingerprint) and the state
/// changes on the same instances that may explain them.
pub fn select_timeline(lines: impl IntoIterator<Item = LogLine>, id: &str) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = lines.into_iter().collect();
    lines.sort_by(|a, b| (a.time, &a.instance).cmp(&(b.time, &b.instance)));
    let names_id = |line: &LogLine| {
        let names = ["request", "program", "turn", "fingerprint"];
        names.iter().any(|name| line.field(name) == Some(id))
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| names_id(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    // A line is logged at the end of an operation; `ms` gives how long before it the request began.
    let duration_ms = first.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    let from = first.time.saturating_sub(LOOKBACK_WINDOW + Duration::from_millis(duration_ms));
    let to = last.time;
    let is_context = |line: &LogLine| {
        let in_window = line.time >= from && line.time <= to;
        in_window && line.is_state_change() && own.iter().any(|own| own.instance == line.instance)
    };
    lines.iter().filter(|line| names_id(line) || is_context(line)).cloned().collect()
}
