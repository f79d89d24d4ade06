//! Stand-ins for the cases of this review: the platform's store, engines and callers, written from
//! the users' pages with the standard library only. Starts gateways as separate processes.
//!
//! Usage: world CASE RECORD_FILE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. TROUBLE=0 leaves out the disruption.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

mod json {
    use std::collections::BTreeMap;

    #[derive(Debug, Clone, PartialEq)]
    pub enum Json {
        Null,
        Bool(bool),
        Number(f64),
        Text(String),
        List(Vec<Json>),
        Map(BTreeMap<String, Json>),
    }

    impl Json {
        pub fn get(&self, key: &str) -> &Json {
            match self {
                Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
                _ => &Json::Null,
            }
        }
        pub fn list(&self) -> &[Json] {
            match self {
                Json::List(list) => list,
                _ => &[],
            }
        }
        pub fn text(&self) -> &str {
            match self {
                Json::Text(text) => text,
                _ => "",
            }
        }
        pub fn number(&self) -> u64 {
            match self {
                Json::Number(number) => *number as u64,
                _ => 0,
            }
        }
    }

    pub fn quote(text: &str) -> String {
        let mut quoted = String::from("\"");
        for char in text.chars() {
            match char {
                '"' | '\\' => quoted.extend(['\\', char]),
                char if (char as u32) < 32 => quoted += &format!("\\u{:04x}", char as u32),
                char => quoted.push(char),
            }
        }
        quoted + "\""
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        reader.value()
    }

    struct Reader<'a> {
        text: &'a [u8],
        at: usize,
    }

    impl Reader<'_> {
        fn peek(&mut self) -> Option<u8> {
            while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
                self.at += 1;
            }
            self.text.get(self.at).copied()
        }
        fn word(&mut self, word: &str, value: Json) -> Option<Json> {
            let found = self.text[self.at..].starts_with(word.as_bytes());
            self.at += word.len();
            found.then_some(value)
        }
        fn value(&mut self) -> Option<Json> {
            match self.peek()? {
                b'n' => self.word("null", Json::Null),
                b't' => self.word("true", Json::Bool(true)),
                b'f' => self.word("false", Json::Bool(false)),
                b'"' => self.string().map(Json::Text),
                b'[' => {
                    self.at += 1;
                    let mut list = Vec::new();
                    loop {
                        match self.peek()? {
                            b']' => break,
                            b',' => self.at += 1,
                            _ => list.push(self.value()?),
                        }
                    }
                    self.at += 1;
                    Some(Json::List(list))
                }
                b'{' => {
                    self.at += 1;
                    let mut map = BTreeMap::new();
                    loop {
                        match self.peek()? {
                            b'}' => break,
                            b',' => self.at += 1,
                            _ => {
                                let key = self.string()?;
                                if self.peek()? != b':' {
                                    return None;
                                }
                                self.at += 1;
                                map.insert(key, self.value()?);
                            }
                        }
                    }
                    self.at += 1;
                    Some(Json::Map(map))
                }
                _ => {
                    let start = self.at;
                    while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                        self.at += 1;
                    }
                    let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                    text.parse().ok().map(Json::Number)
                }
            }
        }
        fn string(&mut self) -> Option<String> {
            if self.peek()? != b'"' {
                return None;
            }
            self.at += 1;
            let mut bytes = Vec::new();
            loop {
                let byte = *self.text.get(self.at)?;
                self.at += 1;
                match byte {
                    b'"' => return String::from_utf8(bytes).ok(),
                    b'\\' => {
                        let escaped = *self.text.get(self.at)?;
                        self.at += 1;
                        match escaped {
                            b'n' => bytes.push(b'\n'),
                            b't' => bytes.push(b'\t'),
                            b'r' => bytes.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                                let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                                self.at += 4;
                                let mut buffer = [0; 4];
                                let char = char::from_u32(code)?;
                                bytes.extend(char.encode_utf8(&mut buffer).bytes());
                            }
                            other => bytes.push(other),
                        }
                    }
                    byte => bytes.push(byte),
                }
            }
        }
    }
}

mod base64 {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    pub fn encode(bytes: &[u8]) -> String {
        let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
        for group in bytes.chunks(3) {
            let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
            let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
            for at in 0..4 {
                let index = (bits >> (18 - 6 * at) & 63) as usize;
                text.push(if at <= group.len() { ALPHABET[index] as char } else { '=' });
            }
        }
        text
    }
}

use json::{Json, quote};

// ---------------------------------------------------------------- record

/// Lines of what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7} {text}", self.started.elapsed().as_millis());
    }
}

/// A short form of a body for the record.
fn shown(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(&body[..body.len().min(160)]).replace('\n', "|");
    format!("{} bytes \"{text}\"", body.len())
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// The body is whole.
    complete: bool,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }
    fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|p| p.0 == name);
        let (mut decoded, mut bytes) = (Vec::new(), pair.map_or("", |pair| pair.1).bytes());
        while let Some(byte) = bytes.next() {
            if byte != b'%' {
                decoded.push(byte);
                continue;
            }
            let hex: String = bytes.by_ref().take(2).map(char::from).collect();
            decoded.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        }
        String::from_utf8_lossy(&decoded).into_owned()
    }
}

struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    fn connect(address: &str) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// False at the end of the channel.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut from = 0;
        loop {
            if let Some(end) = self.input[from..].iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=from + end).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()));
            }
            from = self.input.len();
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Moves up to `count` bytes into `body`; false if the channel ends before.
    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.input.len() < count {
            match self.fill() {
                Ok(true) => {}
                other => {
                    body.append(&mut self.input);
                    return other;
                }
            }
        }
        body.extend(self.input.drain(..count));
        Ok(true)
    }

    /// None at the end of the channel. A body that breaks off is returned as incomplete.
    fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (key, value) = line.split_once(':').unwrap_or((&line, ""));
                    message.headers.push((key.to_owned(), value.trim().to_owned()));
                }
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let chunked = message.header("transfer-encoding").is_some();
        let mut body = Vec::new();
        let whole = if chunked {
            self.chunks(&mut body)
        } else if let Some(length) = length {
            self.take(length, &mut body)
        } else if is_answer {
            while self.fill()? {}
            body.append(&mut self.input);
            Ok(true)
        } else {
            Ok(true)
        };
        message.complete = whole.unwrap_or(false);
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(size) = self.line()? else { return Ok(false) };
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            if size == 0 {
                return Ok(self.line()?.is_some());
            }
            if !self.take(size, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut Wire, Message) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(request)) = wire.message(false) {
                    if !request.complete || !handle(&mut wire, request) {
                        return;
                    }
                }
            });
        }
    });
}

fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    (listener, address)
}

// ---------------------------------------------------------------- the platform's store

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values as sent, in base64. A row that was dropped has none.
    rows: BTreeMap<RowName, (u64, Option<String>)>,
}

/// "A call holds at most 100 entries and at most 1 MB."
const MAX_CALL_BYTES: usize = 1024 * 1024;
const MAX_CALL_ENTRIES: usize = 100;

#[derive(Clone)]
struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    record: Record,
    address: String,
    /// Times the usual time of an answer.
    slowness: Arc<AtomicU64>,
}

impl Store {
    fn start(record: &Record) -> Self {
        let (listener, address) = listen();
        let started = Instant::now() - Duration::from_secs(5);
        let store = Self {
            rows: Arc::default(),
            started,
            record: record.clone(),
            address,
            slowness: Arc::new(AtomicU64::new(1)),
        };
        let serving = store.clone();
        serve(listener, move |wire, request| {
            sleep(Duration::from_millis(4) * serving.slowness.load(Ordering::Relaxed) as u32);
            let (status, body) = serving.handle(&request);
            let type_ = "Content-Type: application/json\r\n";
            wire.send(&answer(status, type_, body.as_bytes())).is_ok()
        });
        store
    }

    /// As the operator or an engine.
    fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(name, (version, Some(base64::encode(value.as_bytes()))));
        changed.notify_all();
    }

    fn footer(&self, version: u64) -> String {
        format!("\"row-version\":{version},\"now-ms\":{}", self.started.elapsed().as_millis())
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        match request.path() {
            "/rows-tx" => self.transaction(&request.body),
            "/rows-get" => self.range(request),
            "/rows-parts" => self.parts(request),
            "/rows-feed" => self.feed(request),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = json::parse(body) else { return ("400 Bad Request", "{}".into()) };
        let (checks, puts) = (call.get("expected-rev").list(), call.get("puts").list());
        let drops = call.get("remove").list();
        let entries = checks.len() + puts.len() + drops.len();
        if body.len() > MAX_CALL_BYTES || entries > MAX_CALL_ENTRIES {
            self.record.line(&format!(
                "store    refuses a call of {} bytes, {entries} entries: over 1 MB or 100 entries",
                body.len()
            ));
            return ("413 Content Too Large", "{\"error\":\"too large\"}".into());
        }
        let name = |row: &Json| -> RowName {
            let text = |key| row.get(key).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let all: Vec<&Json> = checks.iter().chain(puts).chain(drops).collect();
        let spread = all.iter().any(|row| row.get("part").text() != all[0].get("part").text());
        if spread && *call.get("across") != Json::Bool(true) {
            return ("400 Bad Request", "{\"error\":\"several parts\"}".into());
        }
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let live = |rows: &Rows, name: &RowName| match rows.rows.get(name) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let failed =
            checks.iter().any(|row| live(&rows, &name(row)) != row.get("row-version").number());
        if failed {
            let known = checks.iter().map(&name).filter(|name| live(&rows, name) != 0);
            let known: Vec<String> = known.map(|name| shown_row(&rows, &name)).collect();
            let footer = self.footer(rows.version);
            return (
                "412 Precondition Failed",
                format!("{{\"rows\":[{}],{footer}}}", known.join(",")),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for row in puts {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(name(row), (version, Some(value)));
        }
        for row in drops {
            rows.rows.insert(name(row), (version, None));
        }
        changed.notify_all();
        ("200 OK", format!("{{{}}}", self.footer(version)))
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().unwrap();
        let (mut shown, mut size, mut truncated) = (Vec::new(), 0, false);
        let first = (table.clone(), part.clone(), from);
        for (name, (_, value)) in rows.rows.range(first..) {
            if name.0 != table || name.1 != part {
                break;
            }
            if value.is_none() || (!to.is_empty() && name.2 >= to) {
                continue;
            }
            let row = shown_row(&rows, name);
            if shown.len() >= limit || (size + row.len() > MAX_CALL_BYTES && !shown.is_empty()) {
                truncated = true;
                break;
            }
            size += row.len();
            shown.push(row);
        }
        let footer = self.footer(rows.version);
        ("200 OK", format!("{{\"rows\":[{}],\"truncated\":{truncated},{footer}}}", shown.join(",")))
    }

    fn parts(&self, request: &Message) -> (&'static str, String) {
        let (table, after) = (request.parameter("table"), request.parameter("after"));
        let rows = self.rows.0.lock().unwrap();
        let live = rows.rows.iter().filter(|(name, (_, value))| name.0 == table && value.is_some());
        let mut parts: Vec<&String> =
            live.map(|(name, _)| &name.1).filter(|p| **p > after).collect();
        parts.dedup();
        let parts: Vec<String> = parts.into_iter().take(1_000).map(|part| quote(part)).collect();
        let footer = self.footer(rows.version);
        ("200 OK", format!("{{\"parts\":[{}],{footer}}}", parts.join(",")))
    }

    fn feed(&self, request: &Message) -> (&'static str, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let newer = rows.rows.iter().filter(|(name, row)| name.0 == table && row.0 > after);
            let mut newer: Vec<(u64, RowName)> = newer.map(|(n, row)| (row.0, n.clone())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                newer.sort();
                let shown: Vec<String> = newer.iter().map(|(_, n)| shown_row(&rows, n)).collect();
                let footer = self.footer(rows.version);
                return ("200 OK", format!("{{\"rows\":[{}],{footer}}}", shown.join(",")));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn shown_row(rows: &Rows, name: &RowName) -> String {
    let (version, value) = &rows.rows[name];
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(&name.0), quote(&name.1), quote(&name.2));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"row-version\":{version},{value}}}")
}

// ---------------------------------------------------------------- engines

#[derive(Debug, Clone)]
struct Run {
    engine: String,
    id: String,
    path: String,
    previous: Option<String>,
    tenant: Option<String>,
    body: Vec<u8>,
    /// All bytes of the answer were taken by the channel.
    answered: bool,
}

#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
    fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.id == id).collect()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Work {
    /// Streams three events, none of whose texts begins with a line break.
    Stream,
    /// Streams three events; the texts of two begin with a line break, as those of a model often do.
    StreamLines,
    /// Streams three events, the last of which repeats the first line of the prompt.
    StreamEcho,
    /// Answers with this many bytes.
    Plain(usize),
}

/// The data of the events of a stream.
fn events(id: &str, work: Work, prompt: &[u8]) -> [String; 3] {
    let texts = [1, 2, 3].map(|number| format!("reply {number} to {id}"));
    match work {
        Work::StreamLines => {
            let [first, second, third] = texts;
            [first, format!("\n{second}"), format!("\n\n{third}\nits second line")]
        }
        Work::StreamEcho => {
            let [first, second, _] = texts;
            let line = prompt.split(|byte| *byte == b'\n').next().unwrap_or(b"");
            [first, second, format!("it began with: {}", String::from_utf8_lossy(line))]
        }
        Work::Stream | Work::Plain(_) => {
            let [first, second, third] = texts;
            [first, second, format!("{third}\nits second line")]
        }
    }
}

/// An engine that registers itself, refuses what is meant for another one, and echoes request ids.
fn start_engine(store: &Store, runs: &Runs, record: &Record, id: &str, service: &str, work: Work) {
    let (listener, address) = listen();
    let (me, runs, record) = (id.to_owned(), runs.clone(), record.clone());
    serve(listener, move |wire, request| engine_request(wire, &request, &me, &runs, &record, work));
    beat(store, id, service, &address, Arc::new(AtomicBool::new(true)));
}

/// Renews the entry of an engine while it is alive.
fn beat(store: &Store, id: &str, service: &str, address: &str, alive: Arc<AtomicBool>) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    let address = address.to_owned();
    thread::spawn(move || {
        for sequence in 1.. {
            if !alive.load(Ordering::Relaxed) {
                return;
            }
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
                 \"version\":\"v1\",\"slots\":96,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"sequence\":{sequence}}}"
            );
            store.put("servers", &id, &entry);
            sleep(Duration::from_millis(1_200));
        }
    });
}

fn engine_request(
    wire: &mut Wire,
    request: &Message,
    me: &str,
    runs: &Runs,
    record: &Record,
    work: Work,
) -> bool {
    let owned = |name: &str| request.header(name).map(str::to_owned);
    if request.path() == "/health" {
        let headers = format!("Merlinsaddle-Instance-Id: {me}\r\n");
        return wire.send(&answer("200 OK", &headers, b"")).is_ok();
    }
    let id = owned("merlinsaddle-request-id").unwrap_or_default();
    let echo = format!("Merlinsaddle-Request-Id: {id}\r\n");
    if request.header("merlinsaddle-expect-instance").is_some_and(|expected| expected != me) {
        return wire.send(&answer("421 Misdirected Request", &echo, b"")).is_ok();
    }
    let run = Run {
        engine: me.to_owned(),
        id: id.clone(),
        path: request.path().to_owned(),
        previous: owned("merlinsaddle-previous-turn"),
        tenant: owned("merlinsaddle-tenant"),
        body: request.body.clone(),
        answered: false,
    };
    record.line(&format!(
        "engine   {me} runs {id} path {} tenant {} previous {} body {}",
        run.path,
        run.tenant.as_deref().unwrap_or("-"),
        run.previous.as_deref().unwrap_or("-"),
        shown(&run.body)
    ));
    let number = {
        let mut all = runs.0.lock().unwrap();
        all.push(run);
        all.len() - 1
    };
    let stamped = format!("{echo}Merlinsaddle-Server-Stamp: stamp.{me}.{number}\r\n");
    let sent = match work {
        Work::Plain(size) => {
            sleep(Duration::from_millis(100));
            wire.send(&answer("200 OK", &stamped, &plain_body(&id, size)))
        }
        _ => stream(wire, &stamped, &id, work, &request.body),
    };
    record.line(&format!("engine   {me} has sent its whole answer to {id}: {}", sent.is_ok()));
    runs.0.lock().unwrap()[number].answered = sent.is_ok();
    sent.is_ok()
}

fn plain_body(id: &str, size: usize) -> Vec<u8> {
    format!("{id} ").bytes().cycle().take(size).collect()
}

/// By the format of `text/event-stream`, each line of an event's data stands after a `data:` of its own.
fn stream(wire: &mut Wire, headers: &str, id: &str, work: Work, prompt: &[u8]) -> io::Result<()> {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    wire.send(format!("{head}{headers}\r\n").as_bytes())?;
    for (number, text) in events(id, work, prompt).iter().enumerate() {
        sleep(Duration::from_millis(40));
        let data: String = text.split('\n').map(|line| format!("data: {line}\n")).collect();
        let event = format!("id: {}\n{data}\n", number + 1);
        wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    wire.send(b"0\r\n\r\n")
}

// ---------------------------------------------------------------- gateways

struct Gateway {
    process: Child,
    ready: String,
    directory: String,
    peer: String,
}

struct Deployment {
    gateways: Vec<Gateway>,
    /// Addresses for callers, in the order of the processes.
    callers: Vec<String>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.process.kill();
            let _ = gateway.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts gateways with the command of the deploy file, and waits until all are ready and named.
    fn start(count: usize, store: &Store, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self { gateways: Vec::new(), callers: Vec::new(), folder };
        let ips: Vec<String> =
            (0..count).map(|number| format!("127.0.0.{}", 11 + number)).collect();
        let gossip = UdpSocket::bind("127.0.0.11:0").and_then(|socket| socket.local_addr());
        let gossip = gossip.map_err(|error| error.to_string())?.port();
        let mut peers: Vec<String> = Vec::new();
        for ip in &ips {
            peers.push(free_address(ip)?);
        }
        for (number, ip) in ips.iter().enumerate() {
            let gateway = deployment.start_gateway(number, ip, &peers, gossip, store)?;
            record.line(&format!("gateway  {number} started, directory {}", gateway.directory));
            deployment.gateways.push(gateway);
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        while !deployment.is_complete(count) {
            if Instant::now() > deadline {
                return Err("the gateways did not become ready".into());
            }
            sleep(Duration::from_millis(100));
        }
        record.line(&format!("gateways all {count} ready and named by each directory"));
        Ok(deployment)
    }

    /// The template of the settings, filled in as the deploy page says.
    fn start_gateway(
        &mut self,
        number: usize,
        ip: &str,
        peers: &[String],
        gossip: u16,
        store: &Store,
    ) -> Result<Gateway, String> {
        let (caller, ready, directory) = (free_address(ip)?, free_address(ip)?, free_address(ip)?);
        let seeds: Vec<String> = peers.iter().take(3).map(|peer| quote(peer)).collect();
        let settings = format!(
            "{{\"instance\":\"front-zone-a-{number}\",\"zone\":\"zone-a\",\"region\":\"region\",\
             \"caller_address\":\"{caller}\",\"ready_address\":\"{ready}\",\
             \"directory_address\":\"{directory}\",\"peer_address\":\"{}\",\
             \"gossip_port\":{gossip},\"seeds\":[{}],\"store_address\":\"{}\",\
             \"store_row_bytes\":65536,\"store_across_parts\":true,\"memory_mb\":130,\
             \"grace_seconds\":8,\"address_keep_seconds\":5,\"strict_revoke\":null,\
             \"revoke_millis\":null,\"quota_window_seconds\":null,\"quota_over\":null,\
             \"quota_slack\":null}}",
            peers[number],
            seeds.join(","),
            store.address
        );
        let path = self.folder.join(format!("settings-{number}.json"));
        self.callers.push(caller.clone());
        let log = File::create(self.folder.join(format!("gateway-{number}.log")));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/merlinsaddle");
        let process = ends_with_this(command.arg("gateway").arg(&path).env_clear())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let process = process.map_err(|error| format!("the gateway does not start: {error}"))?;
        Ok(Gateway { process, ready, directory, peer: peers[number].clone() })
    }

    fn is_complete(&self, count: usize) -> bool {
        self.gateways.iter().all(|gateway| {
            let ready = get(&gateway.ready, "/ready");
            ready.is_some_and(|ready| ready.status() == 200)
                && resolve(&gateway.directory).len() == count
        })
    }

    /// Addresses for callers, as a directory names them.
    fn addresses(&self) -> Vec<String> {
        self.gateways.iter().map(|gateway| resolve(&gateway.directory)).next().unwrap_or_default()
    }

    /// Lines of the gateways' logs that contain a text.
    fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for number in 0..self.gateways.len() {
            let path = self.folder.join(format!("gateway-{number}.log"));
            let log = fs::read(path).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            found.extend(log.lines().filter(|line| line.contains(text)).map(str::to_owned));
        }
        found
    }
}

fn free_address(ip: &str) -> Result<String, String> {
    let listener = TcpListener::bind(format!("{ip}:0")).and_then(|listener| listener.local_addr());
    listener.map(|address| address.to_string()).map_err(|error| error.to_string())
}

fn get(address: &str, target: &str) -> Option<Message> {
    let mut wire = Wire::connect(address).ok()?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    wire.send(format!("GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").as_bytes()).ok()?;
    wire.message(true).ok().flatten()
}

fn resolve(directory: &str) -> Vec<String> {
    let answer = get(directory, &format!("/resolve?name={HOST}&region=region&zone=zone-a"));
    let body = answer.filter(|answer| answer.status() == 200).and_then(|a| json::parse(&a.body));
    let body = body.unwrap_or(Json::Null);
    body.get("addresses").list().iter().map(|address| address.text().to_owned()).collect()
}

// ---------------------------------------------------------------- callers

const HOST: &str = "skills.example";
const DEADLINE_MS: u64 = 6_000;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(socket: i32, address: *const u8, size: u32) -> i32;
}

/// A channel whose caller has the smallest receive window that the system gives.
fn connect_with_small_window(address: &str) -> io::Result<Wire> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let SocketAddr::V4(v4) = address else { return Err(io::Error::other("not IPv4")) };
    const AF_INET: u16 = 2;
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&AF_INET.to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain calls of the C library with valid pointers and sizes.
    unsafe {
        let descriptor = socket(i32::from(AF_INET), 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        // SOL_SOCKET and SO_RCVBUF of Linux.
        if setsockopt(stream.as_raw_fd(), 1, 8, &1, 4) != 0
            || connect(stream.as_raw_fd(), raw.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(Wire::new(stream))
    }
}

#[derive(Clone, Default)]
struct Call<'a> {
    path: &'a str,
    id: &'a str,
    key: Option<&'a str>,
    program: Option<&'a str>,
    previous: Option<&'a str>,
    body: &'a [u8],
}

impl Call<'_> {
    fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {}\r\n\
             Merlinsaddle-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n",
            self.path,
            self.id,
            self.body.len()
        );
        if let Some(key) = self.key {
            head += &format!("Merlinsaddle-Key: {key}\r\n");
        }
        if let Some(program) = self.program {
            head += &format!(
                "Merlinsaddle-Program-Id: {program}\r\nMerlinsaddle-Session-Id: s-{program}\r\n\
                 Merlinsaddle-Finish-Ms: 30000\r\nMerlinsaddle-Token-Budget: 1000\r\n\
                 Merlinsaddle-Token-Usage: 20,3\r\n"
            );
        }
        if let Some(previous) = self.previous {
            head += &format!("Merlinsaddle-Previous-Turn: {previous}\r\n");
        }
        [head.as_bytes(), b"\r\n", self.body].concat()
    }
}

/// None: the channel ended without an answer.
fn exchange(wire: &mut Wire, call: &Call, pause: Duration, record: &Record) -> Option<Message> {
    record.line(&format!(
        "caller   sends {} path {} previous {} body {}",
        call.id,
        call.path,
        call.previous.unwrap_or("-"),
        shown(call.body)
    ));
    let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 2_000)));
    let sent = wire.send(&call.bytes());
    if !pause.is_zero() {
        sleep(pause);
        record.line(&format!("caller   begins to read the answer to {}", call.id));
    }
    let got = sent.and_then(|()| wire.message(true));
    record.line(&match &got {
        Ok(Some(answer)) => format!(
            "caller   gets {} for {}, whole {}, body {}",
            answer.status(),
            call.id,
            answer.complete,
            shown(&answer.body)
        ),
        Ok(None) => format!("caller   finds the channel closed, no answer to {}", call.id),
        Err(error) => format!("caller   no answer to {}: {error}", call.id),
    });
    got.ok().flatten()
}

// ---------------------------------------------------------------- the cases

fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout-ms\":{DEADLINE_MS},\"goal-ms\":800,\"priority\":1,\"service\":\"{service}\",\
         \"max-attempts\":2,\"sticky\":false{more}}}"
    )
}

fn manifest(routes: &[String], more: &str) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[\
         {{\"name\":\"dialogue-llm\",\"health-path\":\"/health\",\"max-conns\":480,\
         \"engine\":{{\"slots\":96,\"event-tokens\":1}}}},\
         {{\"name\":\"skill-api\",\"health-path\":\"/health\",\"max-conns\":96}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}{more}}}",
        routes.join(",")
    )
}

const RETAINED: &str = ",\"retained\":true,\"retain-s\":60";

struct World {
    store: Store,
    runs: Runs,
    deployment: Deployment,
    trouble: bool,
}

impl World {
    fn start(record: &Record, manifest: &str, engines: &[(&str, Work)]) -> Result<Self, String> {
        let store = Store::start(record);
        store.put("op", "config", manifest);
        let runs = Runs::default();
        for (number, (service, work)) in engines.iter().enumerate() {
            start_engine(&store, &runs, record, &format!("i-{number}"), service, *work);
        }
        let deployment = Deployment::start(3, &store, record)?;
        let trouble = with_trouble();
        record.line(if trouble {
            "case     with the disruption"
        } else {
            "case     without the disruption"
        });
        Ok(Self { store, runs, deployment, trouble })
    }
}

fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A stream whose chain a caller may not name.
fn foreign_turn(record: &Record) -> Result<bool, String> {
    let public = format!("{RETAINED},\"public\":true");
    let routes = [
        route("turn", "stream", "dialogue-llm", RETAINED),
        route("demo", "stream", "dialogue-llm", &public),
    ];
    let tenants = ",\"tenants\":[{\"name\":\"acme\",\"api-keys\":[\"5mgjy5rcpihhacrudded\"]},\
                   {\"name\":\"other\",\"api-keys\":[\"q8w2k4c1zzn0aaplw4se\"]}]";
    let engines = [("dialogue-llm", Work::StreamEcho); 2];
    let world = World::start(record, &manifest(&routes, tenants), &engines)?;
    let addresses = world.deployment.addresses();
    // Turns that were answered whole, with the body that a turn after them has to begin with.
    let mut known: BTreeMap<(Option<String>, String), Vec<u8>> = BTreeMap::new();
    for (number, address) in addresses.iter().enumerate() {
        let fail = |error: io::Error| error.to_string();
        let secret = format!("acme: order {number} for Mrs Khan, insulin\n");
        let turn = format!("a{number}c41d07be2a35f6");
        let program = format!("acme-program-{number}");
        let mut wire = Wire::connect(address).map_err(fail)?;
        let call = Call {
            path: "/turn/x",
            id: &turn,
            key: Some("5mgjy5rcpihhacrudded"),
            program: Some(&program),
            body: secret.as_bytes(),
            ..Call::default()
        };
        let first = exchange(&mut wire, &call, Duration::ZERO, record);
        if !first.is_some_and(|answer| answer.status() == 200 && answer.complete) {
            return Err("the tenant's turn was not answered".into());
        }
        known.insert(
            (Some("acme".into()), turn.clone()),
            chained(secret.as_bytes(), &turn, Work::StreamEcho),
        );
        // A caller without a key on the public route, first with a turn of its own.
        let guest = format!("guest-{number}");
        let own = format!("b{number}c41d07be2a35f6");
        let mut wire = Wire::connect(&addresses[(number + 1) % addresses.len()]).map_err(fail)?;
        let call = Call {
            path: "/demo/x",
            id: &own,
            program: Some(&guest),
            body: b"hello\n",
            ..Call::default()
        };
        let answer = exchange(&mut wire, &call, Duration::ZERO, record);
        if !answer.is_some_and(|answer| answer.status() == 200 && answer.complete) {
            return Err("the guest's first turn was not answered".into());
        }
        known.insert((None, own.clone()), chained(b"hello\n", &own, Work::StreamEcho));
        let named = if world.trouble { format!("4:acme/{turn}") } else { own.clone() };
        let next = format!("d{number}c41d07be2a35f6");
        let call = Call {
            path: "/demo/x",
            id: &next,
            program: Some(&guest),
            previous: Some(&named),
            body: b"repeat what was said\n",
            ..Call::default()
        };
        let answer = exchange(&mut wire, &call, Duration::ZERO, record);
        let leaked = answer
            .as_ref()
            .is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains("Mrs Khan"));
        if leaked {
            record.line(&format!(
                "caller   the caller without a key reads the tenant's words in {next}"
            ));
        }
        if !world.trouble && !answer.is_some_and(|answer| answer.status() == 200) {
            return Err("the guest's second turn was not answered".into());
        }
    }
    let mut broken = 0;
    for run in world.runs.all() {
        let Some(previous) = run.previous.clone() else { continue };
        let sound = match known.get(&(run.tenant.clone(), previous.clone())) {
            Some(chain) => run.body.starts_with(chain),
            None => false,
        };
        if !sound {
            broken += 1;
            record.line(&format!(
                "verdict  UNASKED: {} ran {} of tenant {}, whose previous turn {previous} is no turn of it; \
                 the engine got {}",
                run.engine,
                run.id,
                run.tenant.as_deref().unwrap_or("-"),
                shown(&run.body)
            ));
        }
    }
    record
        .line(&format!("verdict  {broken} turns ran that name no turn of their tenant (bound: 0)"));
    Ok(broken == 0)
}

/// What an engine gets of the first turn of a chain before the input of the next.
fn chained(input: &[u8], turn: &str, work: Work) -> Vec<u8> {
    let replies: String =
        events(turn, work, input).iter().map(|text| format!("{text}\n")).collect();
    [input, replies.as_bytes()].concat()
}

/// Callers that read slowly.
fn slow_readers(record: &Record) -> Result<bool, String> {
    let routes = [route("usage-export", "unsafe", "skill-api", "")];
    let engines = [("skill-api", Work::Plain(4_800)); 2];
    let world = World::start(record, &manifest(&routes, ""), &engines)?;
    let addresses = world.deployment.addresses();
    let pause = Duration::from_millis(if world.trouble { 2_000 } else { 0 });
    let mut callers = Vec::new();
    for number in 0..6 {
        let (address, record) = (addresses[number % addresses.len()].clone(), record.clone());
        callers.push(thread::spawn(move || -> Result<(String, bool), String> {
            let mut wire =
                connect_with_small_window(&address).map_err(|error| error.to_string())?;
            let kept = format!("k{number}c41d07be2a35f6");
            let call =
                Call { path: "/usage-export/x", id: &kept, body: b"first", ..Call::default() };
            let first = exchange(&mut wire, &call, Duration::ZERO, &record);
            if !first.is_some_and(|answer| answer.status() == 200 && answer.complete) {
                return Err("the first request of a channel was not answered".into());
            }
            let slow = format!("s{number}c41d07be2a35f6");
            let call =
                Call { path: "/usage-export/x", id: &slow, body: b"second", ..Call::default() };
            let answer = exchange(&mut wire, &call, pause, &record);
            let whole = plain_body(&slow, 4_800);
            Ok((slow, answer.is_some_and(|answer| answer.complete && answer.body == whole)))
        }));
    }
    let mut lost = 0;
    for caller in callers {
        let (id, answered) = caller.join().map_err(|_| "a caller failed")??;
        let runs = world.runs.of(&id);
        let run = runs.iter().any(|run| run.answered);
        if run && !answered {
            lost += 1;
            record.line(&format!(
                "verdict  LOST: {id} ran at {}, which answered it; its channel ended without the answer",
                runs[0].engine
            ));
        }
    }
    record.line(&format!("verdict  {lost} kept channels closed without the answer (bound: 3)"));
    Ok(lost <= 3)
}

/// An engine whose texts contain line breaks.
fn line_breaks(record: &Record) -> Result<bool, String> {
    let routes = [route("turn", "stream", "dialogue-llm", RETAINED)];
    let work = if with_trouble() { Work::StreamLines } else { Work::Stream };
    let engines = [("dialogue-llm", work); 2];
    let world = World::start(record, &manifest(&routes, ""), &engines)?;
    let addresses = world.deployment.addresses();
    let mut broken = 0;
    for number in 0..3 {
        let program = format!("program-{number}");
        let (mut chain, mut previous): (Vec<u8>, Option<String>) = (Vec::new(), None);
        for turn in 0..3 {
            let id = format!("{turn}{number}c41d07be2a35f6");
            let input = format!("question {turn}\n");
            let mut wire = Wire::connect(&addresses[(number + turn) % addresses.len()])
                .map_err(|e| e.to_string())?;
            let call = Call {
                path: "/turn/x",
                id: &id,
                program: Some(&program),
                previous: previous.as_deref(),
                body: input.as_bytes(),
                ..Call::default()
            };
            let answer = exchange(&mut wire, &call, Duration::ZERO, record);
            if !answer.is_some_and(|answer| answer.status() == 200 && answer.complete) {
                return Err(format!("turn {id} was not answered"));
            }
            let expected = [&chain[..], input.as_bytes()].concat();
            for run in world.runs.of(&id).iter().filter(|run| run.body != expected) {
                broken += 1;
                record.line(&format!(
                    "verdict  UNASKED: {} ran {id} with another body than the chain: got {}, due {}",
                    run.engine,
                    shown(&run.body),
                    shown(&expected)
                ));
            }
            chain.extend(chained(input.as_bytes(), &id, work));
            previous = Some(id);
        }
    }
    record.line(&format!(
        "verdict  {broken} turns ran with another body than their chain (bound: 0)"
    ));
    Ok(broken == 0)
}

/// A program that pauses for longer than its turns are kept, and whose coordinator is killed.
fn late_return(record: &Record) -> Result<bool, String> {
    let retained = ",\"retained\":true,\"retain-s\":8";
    let routes = [route("turn", "stream", "dialogue-llm", retained)];
    let engines = [("dialogue-llm", Work::Stream); 2];
    let mut world = World::start(record, &manifest(&routes, ""), &engines)?;
    let addresses = world.deployment.callers.clone();
    let ask = |address: &str, id: &str, program: &str, previous: Option<&str>| -> Option<Message> {
        let mut wire = Wire::connect(address).ok()?;
        let call = Call {
            path: "/turn/x",
            id,
            program: Some(program),
            previous,
            body: b"question\n",
            ..Call::default()
        };
        exchange(&mut wire, &call, Duration::ZERO, record)
    };
    let whole = |answer: &Option<Message>| {
        answer.as_ref().is_some_and(|answer| answer.status() == 200 && answer.complete)
    };
    sleep(Duration::from_secs(2));
    for (number, address) in addresses.iter().enumerate() {
        if !whole(&ask(
            address,
            &format!("a{number}c41d07be2a35f6"),
            &format!("program-{number}"),
            None,
        )) {
            return Err("a first turn was not answered".into());
        }
    }
    // The log tells which process coordinates the programs, so that the test can kill it.
    sleep(Duration::from_millis(500));
    let line = world.deployment.log_lines("event=call_ended");
    let coordinator = line.iter().filter_map(|line| line.split("coordinator=").nth(1));
    let coordinator =
        coordinator.filter_map(|rest| rest.split(' ').next()).find(|name| *name != "-");
    let coordinator = coordinator.ok_or("no process coordinates programs of others")?.to_owned();
    let killed = world.deployment.gateways.iter().position(|gateway| gateway.peer == coordinator);
    let killed = killed.ok_or("the coordinator is unknown")?;
    record.line(&format!("case     process {killed} coordinates the programs; waiting 40 s"));
    sleep(Duration::from_secs(40));
    if world.trouble {
        record.line(&format!("case     kills process {killed}"));
        let _ = world.deployment.gateways[killed].process.kill();
        let _ = world.deployment.gateways[killed].process.wait();
    }
    let mut returned = Vec::new();
    for (number, address) in addresses.iter().enumerate().filter(|(number, _)| *number != killed) {
        let (first, next) =
            (format!("a{number}c41d07be2a35f6"), format!("b{number}c41d07be2a35f6"));
        let program = format!("program-{number}");
        if whole(&ask(address, &next, &program, Some(&first))) {
            returned.push((Instant::now(), next, program, number));
        }
    }
    sleep(Duration::from_secs(3));
    let mut lost = 0;
    for (ended, turn, program, number) in returned {
        let id = format!("c{number}c41d07be2a35f6");
        let Some(answer) = ask(&addresses[number], &id, &program, Some(&turn)) else { continue };
        if matches!(answer.status(), 404 | 410) {
            lost += 1;
            record.line(&format!(
                "verdict  LOST: {id} is answered {} although {turn} was answered whole {} ms ago and is kept for 8 s",
                answer.status(),
                ended.elapsed().as_millis()
            ));
        }
    }
    record.line(&format!(
        "verdict  {lost} turns answered 404 or 410 whose previous turn is kept (bound: 0)"
    ));
    Ok(lost == 0)
}

/// An engine in a process of its own. Its streams have no length and end with their channels, as an
/// answer may. Says on its standard output where it listens, and when half of the last event is out.
fn engine_process(id: &str, finishes: bool) {
    let (listener, address) = listen();
    println!("listens {address}");
    let me = id.to_owned();
    serve(listener, move |wire, request| {
        let id = request.header("merlinsaddle-request-id").unwrap_or("").to_owned();
        let echo = format!("Merlinsaddle-Request-Id: {id}\r\n");
        if request.header("merlinsaddle-expect-instance").is_some_and(|expected| expected != me) {
            return wire.send(&answer("421 Misdirected Request", &echo, b"")).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n{echo}\
             Merlinsaddle-Server-Stamp: stamp.{me}.{id}\r\n\r\n"
        );
        let [first, second, third] = whole_events(&id);
        let _ = wire.send(format!("{head}{first}").as_bytes());
        sleep(Duration::from_millis(40));
        let _ = wire.send(second.as_bytes());
        sleep(Duration::from_millis(40));
        let (half, rest) = third.split_at(third.len() / 2);
        let _ = wire.send(half.as_bytes());
        sleep(Duration::from_millis(40));
        println!("half {id}");
        sleep(Duration::from_millis(if finishes { 300 } else { 20_000 }));
        let _ = wire.send(rest.as_bytes());
        false
    });
    sleep(Duration::from_secs(100));
}

fn whole_events(id: &str) -> [String; 3] {
    let texts = events(id, Work::Stream, b"");
    let event = |number: usize| {
        let data: String =
            texts[number].split('\n').map(|line| format!("data: {line}\n")).collect();
        format!("id: {}\n{data}\n", number + 1)
    };
    [event(0), event(1), event(2)]
}

/// One of eight engines is killed in the middle of a stream.
fn torn_streams(record: &Record) -> Result<bool, String> {
    let routes = [route("talk", "stream", "dialogue-llm", "")];
    let world = World::start(record, &manifest(&routes, ""), &[])?;
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let (said, says) = mpsc::channel();
    let mut engines: Vec<EngineProcess> = Vec::new();
    for number in 0..8 {
        let id = format!("i-{number}");
        let mut command = Command::new(&program);
        command.args(["engine", &id, if world.trouble { "stays" } else { "finishes" }]);
        let process =
            ends_with_this(&mut command).stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut process = process.map_err(|error| error.to_string())?;
        let mut lines = BufReader::new(process.stdout.take().expect("it is piped")).lines();
        let address = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = address.strip_prefix("listens ").unwrap_or_default().to_owned();
        record.line(&format!("engine   {id} is process {} at {address}", process.id()));
        let said = said.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = said.send((number, line));
            }
        });
        let alive = Arc::new(AtomicBool::new(true));
        beat(&world.store, &id, "dialogue-llm", &address, alive.clone());
        engines.push(EngineProcess { process, alive });
    }
    sleep(Duration::from_secs(3));
    let address = world.deployment.addresses().first().cloned().unwrap_or_default();
    let (id, log) = ("t1c41d07be2a35f68", record.clone());
    let caller = thread::spawn(move || {
        let mut wire = Wire::connect(&address).ok()?;
        let call = Call { path: "/talk/x", id, body: b"question\n", ..Call::default() };
        exchange(&mut wire, &call, Duration::ZERO, &log)
    });
    let heard = says.recv_timeout(Duration::from_secs(5));
    let (number, line) = heard.map_err(|_| "no engine ran the request")?;
    record.line(&format!("engine   i-{number} has sent two events and half of the third: {line}"));
    if world.trouble {
        record.line(&format!("case     kills the process of i-{number}"));
        engines[number].end();
    }
    let got = caller.join().ok().flatten();
    drop(engines);
    let due = whole_events(id).concat();
    let ended = got.as_ref().is_some_and(|got| got.status() == 200 && got.complete);
    let is_whole = got.is_some_and(|got| got.body == due.as_bytes());
    if !world.trouble && !(ended && is_whole) {
        return Err(format!("{id} was not answered whole"));
    }
    if ended && !is_whole {
        record.line(&format!(
            "verdict  ORDER: the stream of {id} ends as complete before its last piece"
        ));
    }
    let broken = u8::from(ended && !is_whole);
    record.line(&format!(
        "verdict  {broken} streams ended as complete before their last piece (bound: 0)"
    ));
    Ok(broken == 0)
}

struct EngineProcess {
    process: Child,
    /// Its entry is renewed.
    alive: Arc<AtomicBool>,
}

impl EngineProcess {
    fn end(&mut self) {
        self.alive.store(false, Ordering::Relaxed);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// The process is killed if this one ends before it.
fn ends_with_this(command: &mut Command) -> &mut Command {
    // SAFETY: the call is safe between fork and exec. PR_SET_PDEATHSIG of Linux, SIGKILL.
    unsafe {
        command.pre_exec(|| match prctl(1, 9) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        })
    }
}

/// Conversations of two programs each go on while the store is slow.
fn slow_store(record: &Record) -> Result<bool, String> {
    const CONVERSATIONS: usize = 44;
    let routes = [route("turn", "stream", "dialogue-llm", RETAINED)];
    let engines = [("dialogue-llm", Work::Stream); 6];
    let world = World::start(record, &manifest(&routes, ""), &engines)?;
    let addresses = world.deployment.addresses();
    let mut conversations: Vec<Conversation> = (0..CONVERSATIONS).map(Conversation::new).collect();
    // Before the disruption: the first program of each has ended, the second has made 10 turns.
    conversations = play(conversations, &addresses, record, Duration::from_secs(60), 28);
    if let Some(stopped) = conversations.iter().find(|conversation| conversation.turn < 28) {
        return Err(format!("conversation {} did not get ready", stopped.number));
    }
    record.line("case     all conversations are in their second program");
    let (slowness, log, trouble) = (world.store.slowness.clone(), record.clone(), world.trouble);
    let platform = thread::spawn(move || {
        sleep(Duration::from_secs(1));
        if trouble {
            log.line("case     the store takes 60 times as long for 4.5 s");
            slowness.store(60, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(4_500));
        slowness.store(1, Ordering::Relaxed);
        log.line("case     the store takes its usual time");
    });
    conversations = play(conversations, &addresses, record, Duration::from_secs(8), 36);
    let _ = platform.join();
    let lost: Vec<&String> = conversations.iter().filter_map(|known| known.lost.as_ref()).collect();
    lost.iter().for_each(|lost| record.line(&format!("verdict  LOST: {lost}")));
    let count = lost.len();
    record.line(&format!(
        "verdict  {count} turns answered 404 or 410 whose previous turn is kept (bound: 0)"
    ));
    Ok(count == 0)
}

/// Lets conversations go on at the same time, until each has made `turns` turns or the time is over.
fn play(
    conversations: Vec<Conversation>,
    addresses: &[String],
    record: &Record,
    time: Duration,
    turns: usize,
) -> Vec<Conversation> {
    let until = Instant::now() + time;
    let threads: Vec<_> = conversations
        .into_iter()
        .map(|mut conversation| {
            let (addresses, record) = (addresses.to_vec(), record.clone());
            thread::spawn(move || {
                // Callers do not begin together, and think for 20 to 240 ms.
                sleep(Duration::from_millis(13 * conversation.number as u64));
                while conversation.turn < turns
                    && conversation.lost.is_none()
                    && Instant::now() < until
                {
                    let number = (conversation.number * 7 + conversation.sent * 13) as u64;
                    sleep(Duration::from_millis(20 + number * 37 % 220));
                    conversation.go_on(&addresses, &record);
                }
                conversation
            })
        })
        .collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}

/// A conversation whose second program continues from the last turn of its first.
struct Conversation {
    number: usize,
    /// Turns that were answered whole.
    turn: usize,
    sent: usize,
    last: Option<String>,
    ended: Instant,
    lost: Option<String>,
}

impl Conversation {
    /// The most turns of a program, by the sheet.
    const TURNS: usize = 18;
    /// Below the largest input of the sheet, 31,000.
    const INPUT_BYTES: usize = 30_000;

    fn new(number: usize) -> Self {
        Self { number, turn: 0, sent: 0, last: None, ended: Instant::now(), lost: None }
    }

    fn go_on(&mut self, addresses: &[String], record: &Record) {
        let id = format!("c{:03}t{:03}41d07be2a3", self.number, self.sent);
        let program = format!("program-{}-{}", self.number, self.turn / Self::TURNS);
        let address = &addresses[(self.number + self.sent) % addresses.len()];
        let text = format!("turn {} of conversation {} ", self.turn, self.number);
        let body: Vec<u8> = text.bytes().cycle().take(Self::INPUT_BYTES).collect();
        self.sent += 1;
        let Ok(mut wire) = Wire::connect(address) else { return };
        let call = Call {
            path: "/turn/x",
            id: &id,
            program: Some(&program),
            previous: self.last.as_deref(),
            body: &body,
            ..Call::default()
        };
        let age = self.ended.elapsed().as_millis();
        let Some(answer) = exchange(&mut wire, &call, Duration::ZERO, record) else { return };
        if answer.status() == 200 && answer.complete {
            self.last = Some(id);
            self.turn += 1;
            self.ended = Instant::now();
        } else if matches!(answer.status(), 404 | 410) {
            let previous = self.last.as_deref().unwrap_or("-");
            self.lost = Some(format!(
                "{id} is answered {}, although {previous} was answered whole {age} ms before it was \
                 sent and is kept for 60 s",
                answer.status()
            ));
        }
    }
}

/// Turns whose input is within the manifest's `max-body-bytes`.
fn large_turns(record: &Record) -> Result<bool, String> {
    let routes = [route("turn", "stream", "dialogue-llm", RETAINED)];
    let engines = [("dialogue-llm", Work::Stream); 2];
    let world = World::start(record, &manifest(&routes, ""), &engines)?;
    let addresses = world.deployment.addresses();
    let size = if world.trouble { 900_000 } else { 300_000 };
    let mut callers = Vec::new();
    for number in 0..5 {
        let (address, record) = (addresses[number % addresses.len()].clone(), record.clone());
        callers.push(thread::spawn(move || -> Result<(String, bool), String> {
            let mut wire = Wire::connect(&address).map_err(|error| error.to_string())?;
            let (first, program) =
                (format!("a{number}c41d07be2a35f6"), format!("program-{number}"));
            let call = Call {
                path: "/turn/x",
                id: &first,
                program: Some(&program),
                body: b"a short question\n",
                ..Call::default()
            };
            let answer = exchange(&mut wire, &call, Duration::ZERO, &record);
            if !answer.is_some_and(|answer| answer.status() == 200 && answer.complete) {
                return Err("the first turn of a program was not answered".into());
            }
            let large: Vec<u8> =
                b"a line of a long document\n".iter().copied().cycle().take(size).collect();
            let next = format!("b{number}c41d07be2a35f6");
            let call = Call {
                path: "/turn/x",
                id: &next,
                program: Some(&program),
                previous: Some(&first),
                body: &large,
                ..Call::default()
            };
            let answer = exchange(&mut wire, &call, Duration::ZERO, &record);
            Ok((next, answer.is_some_and(|answer| answer.complete && answer.status() == 200)))
        }));
    }
    let mut lost = 0;
    for caller in callers {
        let (id, answered) = caller.join().map_err(|_| "a caller failed")??;
        let run = world.runs.of(&id).iter().any(|run| run.answered);
        if run && !answered {
            lost += 1;
            record.line(&format!(
                "verdict  LOST: {id} ran and was answered by its engine; its answer never ended"
            ));
        }
    }
    record.line(&format!("verdict  {lost} kept channels closed without the answer (bound: 3)"));
    Ok(lost <= 3)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, id, end] = &arguments[..]
        && role == "engine"
    {
        return engine_process(id, end == "finishes");
    }
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: world CASE RECORD_FILE");
        exit(2);
    };
    let Ok(file) = File::create(path) else { exit(2) };
    let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now() };
    let run = match case.as_str() {
        "foreign-turn" => foreign_turn,
        "slow-readers" => slow_readers,
        "large-turns" => large_turns,
        "line-breaks" => line_breaks,
        "torn-streams" => torn_streams,
        "slow-store" => slow_store,
        "late-return" => late_return,
        _ => exit(2),
    };
    let code = match run(&record) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.line(&format!("failed   the case could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit     {code}"));
    exit(code);
}
