//! Lines of the log as they are read back to tell a request's story.

use std::time::Duration;

/// One line of one process's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Wall time since the Unix epoch, as the process saw it.
    pub time: Duration,
    pub instance: Box<str>,
    /// The whole line.
    pub text: Box<str>,
}

impl LogLine {
    /// Reads a line; none if it does not begin with a time and an instance.
    pub fn parse(text: &str) -> Option<Self> {
        let seconds: f64 = field(text, "time")?.parse().ok()?;
        let time = Duration::try_from_secs_f64(seconds).ok()?;
        Some(Self { time, instance: field(text, "instance")?.into(), text: text.into() })
    }

    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.text, name)
    }

    /// Whether the line says what the process believed, whatever the request.
    pub fn is_belief(&self) -> bool {
        const BELIEFS: [&str; 8] = [
            "dependency_lost",
            "dependency_regained",
            "routes_applied",
            "upstream_changed",
            "member_changed",
            "started",
            "ready",
            "stop_begun",
        ];
        self.field("event").is_some_and(|event| BELIEFS.contains(&event))
    }
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let pairs = text.split_ascii_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.trim_matches('"'))
}

/// Changes of belief that may explain a request begin this long before it.
const BEFORE: Duration = Duration::from_secs(3);

/// The lines about one request or program, in order, with what its instances came to believe from
/// shortly before it to its end.
pub fn tell_story(lines: impl IntoIterator<Item = LogLine>, id: &str) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = lines.into_iter().collect();
    lines.sort_by(|a, b| (a.time, &a.instance).cmp(&(b.time, &b.instance)));
    let concerns = |line: &LogLine| {
        ["request", "program", "turn"].iter().any(|name| line.field(name) == Some(id))
    };
    let own: Vec<&LogLine> = lines.iter().filter(|line| concerns(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    // A line is written when something has ended: the request began some time before it.
    let took = first.field("ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    let from = first.time.saturating_sub(BEFORE + Duration::from_millis(took));
    let to = last.time;
    let explains = |line: &LogLine| {
        let near = line.time >= from && line.time <= to;
        near && line.is_belief() && own.iter().any(|own| own.instance == line.instance)
    };
    lines.iter().filter(|line| concerns(line) || explains(line)).cloned().collect()
}
