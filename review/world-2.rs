//! Stand-ins for the second review: the platform's store, engines and consumers, and the runner of
//! the scripts. It uses the standard library only.
//!
//! `world-2 SCENARIO FOLDER` starts gateways with the command of the deploy file, plays the scenario,
//! writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. `TROUBLE=0` plays it without the disruption.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- JSON ----

#[derive(Debug, Clone, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

struct JsonReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn parse(bytes: &[u8]) -> Option<Json> {
        JsonReader { bytes, at: 0 }.value()
    }

    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.take(b',');
                    self.skip();
                    let Json::Text(name) = self.string()? else { return None };
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                }
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.take(b']') {
                    self.take(b',');
                    list.push(self.value()?);
                }
                Some(Json::List(list))
            }
            b'"' => self.string(),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<Json> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok().map(Json::Text),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend(letter.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}

fn quoted(text: &str) -> String {
    let mut result = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => result.push_str("\\\""),
            '\\' => result.push_str("\\\\"),
            letter if (letter as u32) < 32 => result.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => result.push(letter),
        }
    }
    result.push('"');
    result
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for place in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= part.len() { letter as char } else { '=' });
        }
    }
    text
}

// ---- HTTP ----

#[derive(Debug, Default, Clone)]
struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// The body came to its end.
    whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn connect(address: &str) -> Option<Self> {
        let address = address.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self::new(stream))
    }

    fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn fill(&mut self) -> bool {
        let mut part = [0; 65536];
        match self.stream.read(&mut part) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&part[..count]);
                true
            }
            _ => false,
        }
    }

    /// None if the channel ends before the head is complete.
    fn message(&mut self, is_answer: bool) -> Option<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().into(), ..Message::default() };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
        }
        if message.header("transfer-encoding") == "chunked" {
            message.whole = self.chunks(&mut message.body);
            return Some(message);
        }
        let length = message.header("content-length").parse::<usize>().ok();
        if length.is_none() && is_answer {
            while self.fill() {}
            message.body = std::mem::take(&mut self.buffer);
            return Some(message);
        }
        let length = length.unwrap_or(0);
        while self.buffer.len() < length && self.fill() {}
        message.whole = self.buffer.len() >= length;
        message.body = self.buffer.drain(..length.min(self.buffer.len())).collect();
        Some(message)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(end) = find(&self.buffer, b"\r\n") else {
                if self.fill() {
                    continue;
                }
                return false;
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return false };
            let needed = end + 2 + size + 2;
            while self.buffer.len() < needed {
                if !self.fill() {
                    return false;
                }
            }
            body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..needed);
            if size == 0 {
                return true;
            }
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let (mut decoded, bytes) = (Vec::new(), value.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(0));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---- The record ----

#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|_| cannot("no record"));
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// Processes that were started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static SCRATCH: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all that was started.
fn clean_up() {
    let started = std::mem::take(&mut *STARTED.lock().unwrap_or_else(|lock| lock.into_inner()));
    for process in started {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {process}")).status();
    }
    let scratch = SCRATCH.lock().unwrap_or_else(|lock| lock.into_inner()).take();
    if let Some(scratch) = scratch.filter(|_| std::env::var("KEEP").is_err()) {
        let _ = std::fs::remove_dir_all(scratch);
    }
}

fn cannot(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    clean_up();
    std::process::exit(2)
}

/// A script may run for 120 s.
const MAX_TIME: Duration = Duration::from_secs(115);

// ---- The platform's store ----

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (u64, Option<String>)>,
    version: u64,
    /// Writes under a condition by gateway, which is known by the address that it calls the store at.
    writes: BTreeMap<usize, u64>,
}

#[derive(Clone)]
struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

const TX_TIME: Duration = Duration::from_millis(3);

impl Store {
    fn new() -> Self {
        Self { rows: Arc::default(), started: Instant::now() }
    }

    /// Serves the same rows at one more address, by which a caller is known.
    fn listen(&self, ip: &str, caller: usize) -> String {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|_| cannot("no port"));
        let address = listener.local_addr().unwrap().to_string();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, caller));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream, caller: usize) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message(false) {
            let target = request.target().to_owned();
            let path = target.split('?').next().unwrap_or_default();
            thread::sleep(Duration::from_millis(1));
            let (status, body) = match path {
                "/rows-tx" => {
                    thread::sleep(TX_TIME);
                    match JsonReader::parse(&request.body) {
                        Some(body) => self.transaction(&body, caller),
                        None => (400, "{}".into()),
                    }
                }
                "/rows-get" => self.range(&target),
                "/rows-parts" => self.parts(&target),
                "/rows-feed" => self.feed(&target),
                _ => (404, "{}".into()),
            };
            let head = "content-type: application/json\r\n";
            if !wire.send(&answer(status, head, body.as_bytes())) {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), String::new(), key.into()), (version, value));
        self.rows.1.notify_all();
    }

    /// The gateway that wrote most often under a condition since the last call.
    fn main_writer(&self) -> Option<usize> {
        let writes = std::mem::take(&mut self.rows.0.lock().unwrap().writes);
        writes.into_iter().max_by_key(|(_, count)| *count).map(|(caller, _)| caller)
    }

    fn transaction(&self, body: &Json, caller: usize) -> (u16, String) {
        let key = |row: &Json| -> Key { (row.text("table"), row.text("part"), row.text("key")) };
        let mut rows = self.rows.0.lock().unwrap();
        let live = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let checks = body.list("expected-rev");
        if checks.iter().any(|row| live(&rows, &key(row)) != row.number("row-version")) {
            let found = checks.iter().map(key).filter(|key| live(&rows, key) != 0);
            let found: Vec<String> = found.map(|key| row_text(&key, &rows.rows[&key])).collect();
            let body = format!(
                "{{\"rows\":[{}],\"row-version\":{},\"now-ms\":{}}}",
                found.join(","),
                rows.version,
                self.now_ms()
            );
            return (412, body);
        }
        if !checks.is_empty() {
            *rows.writes.entry(caller).or_default() += 1;
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.list("puts") {
            rows.rows.insert(key(row), (version, Some(row.text("value"))));
        }
        for row in body.list("remove") {
            rows.rows.insert(key(row), (version, None));
        }
        self.rows.1.notify_all();
        (200, format!("{{\"row-version\":{version},\"now-ms\":{}}}", self.now_ms()))
    }

    fn range(&self, target: &str) -> (u16, String) {
        let (table, part) = (parameter(target, "table"), parameter(target, "part"));
        let (from, to) = (parameter(target, "from"), parameter(target, "to"));
        let limit = parameter(target, "limit").parse().unwrap_or(500usize).min(500);
        let rows = self.rows.0.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let listed = rows.rows.range(first..);
        let listed = listed.take_while(|((t, p, _), _)| *t == table && *p == part);
        let listed = listed
            .filter(|((_, _, key), (_, value))| value.is_some() && (to.is_empty() || *key < to));
        let (mut found, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, row) in listed {
            let text = row_text(key, row);
            if found.len() >= limit || bytes + text.len() > 1_000_000 {
                truncated = true;
                break;
            }
            bytes += text.len();
            found.push(text);
        }
        let body = format!(
            "{{\"rows\":[{}],\"truncated\":{truncated},\"row-version\":{},\"now-ms\":{}}}",
            found.join(","),
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn parts(&self, target: &str) -> (u16, String) {
        let (table, after) = (parameter(target, "table"), parameter(target, "after"));
        let rows = self.rows.0.lock().unwrap();
        let live = rows
            .rows
            .iter()
            .filter(|((t, part, _), (_, value))| *t == table && *part > after && value.is_some());
        let mut parts: Vec<String> = live.map(|((_, part, _), _)| quoted(part)).collect();
        parts.dedup();
        parts.truncate(1000);
        let body = format!(
            "{{\"parts\":[{}],\"row-version\":{},\"now-ms\":{}}}",
            parts.join(","),
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, target: &str) -> (u16, String) {
        let table = parameter(target, "table");
        let after: u64 = parameter(target, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(target, "wait-ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let newer = rows
                .rows
                .iter()
                .filter(|((t, _, _), (version, _))| *t == table && *version > after);
            let mut newer: Vec<(u64, String)> =
                newer.map(|(key, row)| (row.0, row_text(key, row))).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                newer.sort();
                let texts: Vec<String> = newer.into_iter().map(|(_, text)| text).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"row-version\":{},\"now-ms\":{}}}",
                    texts.join(","),
                    rows.version,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_text(key: &Key, (version, value): &(u64, Option<String>)) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"row-version\":{version},{value}}}",
        quoted(&key.0),
        quoted(&key.1),
        quoted(&key.2)
    )
}

// ---- Engines ----

#[derive(Clone)]
struct Engine {
    id: String,
    record: Record,
    /// Its streams have no length and end with their channel.
    unframed: Arc<AtomicBool>,
    /// Its process has ended; its channels end where they are.
    crashed: Arc<AtomicBool>,
    /// Multiplies the time of all work.
    slowness: Arc<AtomicUsize>,
}

/// The requests that engines have begun to work on.
static RUN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Pause between the events of a turn.
const EVENT_TIME: Duration = Duration::from_millis(20);
const EVENT_TOKENS: u64 = 2;
/// One way, between zones.
const LINK_TIME: Duration = Duration::from_micros(1_400);
const PROMPT_TOKENS_PER_MS: u64 = 32;
const BEAT: Duration = Duration::from_millis(1_200);

impl Engine {
    fn start(world: &World, number: usize, service: &'static str) -> Self {
        let id = format!("i-{service}-{number}");
        let listener = TcpListener::bind(("127.78.0.1", 0)).unwrap_or_else(|_| cannot("no port"));
        let address = listener.local_addr().unwrap().to_string();
        let engine = Self {
            id: id.clone(),
            record: world.record.clone(),
            slowness: Arc::new(AtomicUsize::new(1)),
            unframed: Arc::default(),
            crashed: Arc::default(),
        };
        let crashed = engine.crashed.clone();
        let (store, slots) = (world.store.clone(), if service == "llm" { 96 } else { 6 });
        thread::spawn(move || {
            for sequence in 1.. {
                if crashed.load(Ordering::Relaxed) {
                    // The entry goes after three heartbeats of silence.
                    thread::sleep(2 * BEAT);
                    store.write("servers", &id, None);
                    return;
                }
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\
                     \"sequence\":{sequence}}}"
                );
                store.put("servers", &id, &entry);
                thread::sleep(BEAT);
            }
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                if engine.crashed.load(Ordering::Relaxed) {
                    return;
                }
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message(false) {
            if !self.handle(&mut wire, &request) {
                let _ = wire.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Works until the time is over; false if the request's time budget is spent before.
    fn work(&self, time: Duration, stop_at: Instant) -> bool {
        let time = time * self.slowness.load(Ordering::Relaxed) as u32;
        let left = stop_at.saturating_duration_since(Instant::now());
        thread::sleep(time.min(left));
        time < left
    }

    /// The way back to the machine.
    fn send(&self, wire: &mut Wire, bytes: &[u8]) -> bool {
        thread::sleep(LINK_TIME);
        wire.send(bytes)
    }

    fn handle(&self, wire: &mut Wire, request: &Message) -> bool {
        if request.target() == "/health" {
            let head = format!("merlinsaddle-instance-id: {}\r\n", self.id);
            return wire.send(&answer(200, &head, b""));
        }
        let id = request.header("merlinsaddle-request-id").to_owned();
        let expected = request.header("merlinsaddle-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return wire.send(&answer(421, "merlinsaddle-not-run: 1\r\n", b""));
        }
        let head = format!(
            "merlinsaddle-request-id: {id}\r\nmerlinsaddle-server-stamp: {}.{id}\r\n",
            self.id
        );
        self.run(wire, request, &id, &head)
    }

    fn run(&self, wire: &mut Wire, request: &Message, id: &str, head: &str) -> bool {
        let usage = request.header("merlinsaddle-token-usage");
        let most = usage.split_once(',').and_then(|(_, most)| most.trim().parse::<u64>().ok());
        thread::sleep(LINK_TIME);
        let budget = request.header("merlinsaddle-deadline-ms").parse().unwrap_or(6_000);
        let stop_at = Instant::now() + Duration::from_millis(budget);
        self.record.note(&format!("run {id} at {} ({} bytes)", self.id, request.body.len()));
        RUN.lock().unwrap().insert(id.to_owned());
        let Some(most) = most else {
            if !self.work(Duration::from_millis(50), stop_at) {
                return self.send(wire, &answer(504, head, b""));
            }
            return self.send(wire, &answer(200, head, b"done"));
        };
        let is_framed = !self.unframed.load(Ordering::Relaxed);
        let framing = if is_framed { "transfer-encoding: chunked" } else { "connection: close" };
        let first = format!(
            "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        if !self.send(wire, first.as_bytes()) {
            return false;
        }
        // The head is sent at once; the prompt is read before the first event. A stream whose time is
        // over is cut off.
        let prompt = usage.split_once(',').and_then(|(tokens, _)| tokens.trim().parse().ok());
        let prompt: u64 = prompt.unwrap_or(0);
        if !self.work(Duration::from_millis(prompt / PROMPT_TOKENS_PER_MS), stop_at) {
            thread::sleep(LINK_TIME);
            return false;
        }
        for event in 1..=most / EVENT_TOKENS {
            if !self.work(EVENT_TIME, stop_at) {
                thread::sleep(LINK_TIME);
                return false;
            }
            let text = format!("id: {event}\ndata: w{event}\n\n");
            if self.crashed.load(Ordering::Relaxed) {
                self.record.note(&format!("{} ends inside event {event} of {id}", self.id));
                wire.send(&text.as_bytes()[..text.len() / 2]);
                return false;
            }
            let sent = match is_framed {
                true => self.send(wire, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()),
                false => self.send(wire, text.as_bytes()),
            };
            if !sent {
                return false;
            }
        }
        is_framed && self.send(wire, b"0\r\n\r\n")
    }
}

// ---- Gateways ----

struct Gateway {
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    gossip: u16,
}

impl Gateway {
    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|_| cannot("no log"));
        let child = Command::new("target/release/merlinsaddle")
            .arg("gateway")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap_or_else(|_| cannot("no log"))))
            .stderr(Stdio::from(log))
            .spawn();
        let child = child.unwrap_or_else(|_| cannot("the gateway does not start"));
        STARTED.lock().unwrap().push(child.id());
        self.process = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|started| *started != process.id());
        }
    }

    fn signal(&self, name: &str) {
        let Some(process) = &self.process else { return };
        let sent =
            Command::new("sh").arg("-c").arg(format!("kill -{name} {}", process.id())).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot("no signal");
        }
    }
}

/// Asks a machine's readiness address.
fn is_ready(address: &str) -> bool {
    let Some(mut wire) = Wire::connect(address) else { return false };
    let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(500)));
    wire.send(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        && wire.message(true).is_some_and(|answer| answer.status() == 200)
}

/// The addresses that a directory names.
fn named(address: &str) -> usize {
    let Some(mut wire) = Wire::connect(address) else { return 0 };
    let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "GET /resolve?name=skills.example&region=region-a&zone=zone-a HTTP/1.1\r\n\
                   host: x\r\nconnection: close\r\n\r\n";
    if !wire.send(request.as_bytes()) {
        return 0;
    }
    let body = wire.message(true).map(|answer| answer.body).unwrap_or_default();
    JsonReader::parse(&body).map_or(0, |body| body.list("addresses").len())
}

// ---- The world ----

struct World {
    record: Record,
    store: Store,
    scratch: PathBuf,
    ports: Ports,
    gateways: Vec<Gateway>,
    trouble: bool,
}

const HOST: &str = "skills.example";

struct RouteText {
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    more: &'static str,
}

impl World {
    fn new(folder: &Path) -> Self {
        let record = Record::open(folder);
        let port = || {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot("no port"));
            listener.local_addr().unwrap().port()
        };
        let ports = Ports {
            front: port(),
            ready: port(),
            control: port(),
            directory: port(),
            gossip: port(),
        };
        let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).unwrap_or_else(|_| cannot("no temporary folder"));
        *SCRATCH.lock().unwrap() = Some(scratch.clone());
        Self {
            record,
            store: Store::new(),
            scratch,
            ports,
            gateways: Vec::new(),
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        }
    }

    fn manifest(&self, version: u64, routes: &[RouteText]) {
        self.manifest_with_timeout(version, routes, 6_000);
    }

    fn manifest_with_timeout(&self, version: u64, routes: &[RouteText], timeout_ms: u64) {
        let routes = routes.iter().enumerate().map(|(number, route)| {
            format!(
                "{{\"name\":\"r{number}\",\"host\":\"{HOST}\",\"path-prefix\":\"{}\",\
                 \"kind\":\"{}\",\"timeout-ms\":{timeout_ms},\"goal-ms\":250,\"priority\":1,\
                 \"service\":\"{}\",\"max-attempts\":2,\"sticky\":false{}}}",
                route.prefix, route.kind, route.service, route.more
            )
        });
        let routes: Vec<String> = routes.collect();
        let manifest = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\
             \"health-path\":\"/health\",\"max-conns\":480,\"engine\":{{\"slots\":96,\
             \"event-tokens\":{EVENT_TOKENS}}}}},{{\"name\":\"api\",\"health-path\":\"/health\",\
             \"max-conns\":480}}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
            routes.join(",")
        );
        self.store.put("op", "config", &manifest);
    }

    fn address(&self, gateway: usize, port: u16) -> String {
        format!("{}:{port}", self.gateways[gateway].ip)
    }

    /// Fills the template of the deploy file for one machine.
    fn add_gateway(&mut self, memory_mb: u64) {
        let number = self.gateways.len();
        let ip = format!("127.77.0.{}", number + 2);
        let store = self.store.listen(&format!("127.79.0.{}", number + 2), number);
        let template = std::fs::read_to_string("deploy/settings.json.in")
            .unwrap_or_else(|_| cannot("no template"));
        let at = |port: u16| format!("\"{ip}:{port}\"");
        let Ports { front, ready, control, directory, gossip } = self.ports;
        let seeds = format!("[\"127.77.0.2:{control}\",\"127.77.0.3:{control}\"]");
        let values = [
            ("node", format!("\"front-zone-a-{number}\"")),
            ("zone", "\"zone-a\"".into()),
            ("region", "\"region-a\"".into()),
            ("listen.front", at(front)),
            ("listen.ready", at(ready)),
            ("listen.directory", at(directory)),
            ("listen.control", at(control)),
            ("port-range.0", gossip.to_string()),
            ("seeds", seeds),
            ("platform.address", format!("\"{store}\"")),
            ("platform.row-bytes", "65536".into()),
            ("platform.across", "true".into()),
            ("limits.memory-mb", memory_mb.to_string()),
            ("bounds.grace-s", "8".into()),
            ("bounds.ttl_max_s", "5".into()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        // Bounds that this installation does not have.
        while let Some(start) = text.find("{{") {
            let end = text[start..].find("}}").unwrap_or_else(|| cannot("bad template")) + 2;
            text.replace_range(start..start + end, "null");
        }
        let settings = self.scratch.join(format!("settings-{number}.json"));
        std::fs::write(&settings, text).unwrap_or_else(|_| cannot("no settings"));
        let log = self.scratch.join(format!("gateway-{number}.log"));
        self.gateways.push(Gateway { ip, settings, log, process: None });
    }

    fn start_gateways(&mut self) {
        self.gateways.iter_mut().for_each(Gateway::start);
        let deadline = Instant::now() + Duration::from_secs(15);
        let count = self.gateways.len();
        for number in 0..count {
            while !is_ready(&self.address(number, self.ports.ready))
                || named(&self.address(number, self.ports.directory)) < count
            {
                if Instant::now() > deadline {
                    cannot("the gateways are not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Traffic starts some seconds after the machines do.
        thread::sleep(Duration::from_secs(5));
        self.record.note(&format!("{count} gateways are ready"));
    }

    fn fronts(&self) -> Vec<String> {
        (0..self.gateways.len()).map(|number| self.address(number, self.ports.front)).collect()
    }

    fn end(&mut self) {
        self.gateways.iter_mut().for_each(Gateway::kill);
        clean_up();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}

// ---- Consumers ----

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    static BASE: AtomicU64 = AtomicU64::new(0);
    if BASE.load(Ordering::Relaxed) == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        BASE.store(now | 1, Ordering::Relaxed);
    }
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", BASE.load(Ordering::Relaxed).wrapping_add(number.wrapping_mul(0x9E37_79B9)))
}

/// A small generator for choices of consumers; seeded by their names, so that plays are alike.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) as usize % bound
    }
}

#[derive(Debug, Clone)]
struct TurnResult {
    status: u16,
    /// The stream came whole.
    whole: bool,
    events: u64,
    /// The request was written to a machine.
    sent: bool,
}

struct Turn<'a> {
    path: &'a str,
    program: &'a str,
    budget: u64,
    most: u64,
    previous: Option<&'a str>,
    input: &'a str,
}

/// Sends one turn on a new channel.
fn send_turn(front: &str, id: &str, turn: &Turn<'_>, record: &Record) -> TurnResult {
    let mut result = TurnResult { status: 0, whole: false, events: 0, sent: false };
    let previous = turn
        .previous
        .map_or(String::new(), |previous| format!("Merlinsaddle-Previous-Turn: {previous}\r\n"));
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nMerlinsaddle-Request-Id: {id}\r\n\
         Merlinsaddle-Program-Id: {}\r\nMerlinsaddle-Session-Id: {}-s\r\n\
         Merlinsaddle-Finish-Ms: 60000\r\nMerlinsaddle-Token-Budget: {}\r\n\
         Merlinsaddle-Token-Usage: 100,{}\r\nMerlinsaddle-Model: m\r\n\
         Merlinsaddle-Deadline-Ms: 6000\r\n{previous}Content-Length: {}\r\n\r\n{}",
        turn.path,
        turn.program,
        turn.program,
        turn.budget,
        turn.most,
        turn.input.len(),
        turn.input
    );
    record.note(&format!("sent {id} program {} to {front}", turn.program));
    if let Some(mut wire) = Wire::connect(front) {
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(6)));
        result.sent = wire.send(request.as_bytes());
        if let Some(answer) = wire.message(true) {
            result.status = answer.status();
            result.whole = answer.whole;
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            result.events = body.matches("\n\n").count() as u64;
        }
    }
    record.note(&format!(
        "answered {id} program {} status {} whole {} events {}",
        turn.program, result.status, result.whole, result.events
    ));
    result
}

include!("scenarios-2.rs");
