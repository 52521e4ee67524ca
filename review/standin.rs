//! Stand-ins for the cases under `review/`: the platform's store, workers, a balancer that
//! can reset connections, clients, and the daemons as separate processes. Only the standard
//! library is used. All addresses are loopback addresses with free ports.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

/// A JSON value. Numbers are exact up to 2^53, which all of these messages stay below.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(own, _)| own == name)
                .map_or(NULL, |(_, value)| value),
            _ => NULL,
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

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn is_null(&self) -> bool {
        matches!(self, Json::Null)
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        Some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(out, "{}", *value as i64),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write_text(out, text),
            Json::List(list) => {
                out.write_char('[')?;
                for (at, value) in list.iter().enumerate() {
                    if at > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_char(']')
            }
            Json::Object(fields) => {
                out.write_char('{')?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_char('"')?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            letter if (letter as u32) < 32 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => out.write_char(letter)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.text().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.text()?;
                    self.eat(b':')?;
                    fields.push((name, self.value()?));
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend(letter.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

pub fn object(fields: Vec<(&str, Json)>) -> Json {
    let fields = fields.into_iter();
    Json::Object(
        fields
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, &byte| word << 8 | u32::from(byte));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(BASE64[(word >> (18 - 6 * at) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| BASE64.iter().position(|&own| own == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let word = chunk.iter().fold(0u32, |word, &digit| word << 6 | digit);
        let word = word << (6 * (4 - chunk.len()));
        out.extend(&word.to_be_bytes()[1..chunk.len().max(1)]);
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header fields with names in lower case.
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split('?').nth(1).unwrap_or("");
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(own, _)| *own == name)
            .map_or(String::new(), |(_, value)| percent_decoded(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message; `buffer` keeps what follows it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0u8; 16 << 10];
    let head = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend(&chunk[..count]),
            _ => return None,
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let mut lines = text.split("\r\n");
    let mut message = Message {
        start: lines.next()?.to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.fields.insert(name, value.trim().to_owned());
        }
    }
    let length = message.fields.get("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let end = head + 4 + length;
    while buffer.len() < end {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend(&chunk[..count]),
            _ => return None,
        }
    }
    message.body = buffer[head + 4..end].to_vec();
    buffer.drain(..end);
    Some(message)
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// Nothing comes back on this connection any more.
    Nothing,
}

/// Serves HTTP on a free port of `ip`; each connection has a thread.
pub fn serve(ip: &str, handler: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &(impl Fn(&Message) -> Reply + ?Sized)) {
    stream.set_nodelay(true).ok();
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if stream
                    .write_all(format!("{head}{body}").as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Reply::Nothing => {
                thread::sleep(Duration::from_secs(60));
                return;
            }
        }
    }
}

/// Makes a client's request on a connection of its own. Returns the status and the body, or
/// `None` if no complete answer came.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(timeout)).ok();
    stream
        .write_all(request_bytes(method, path, body, timeout).as_bytes())
        .ok()?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    let status = answer.status();
    Some((status, String::from_utf8_lossy(&answer.body).into_owned()))
}

pub fn request_bytes(method: &str, path: &str, body: &str, timeout: Duration) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Token key\r\n\
         deadline-ms: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    )
}

// ---------------------------------------------------------------- store

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Items {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Revision, key, and the value unless the key was removed.
    events: Vec<(u64, String, Option<Json>)>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The platform's store.
pub struct Store {
    items: Mutex<Items>,
    changed: Condvar,
    /// How long an answer takes.
    pub answer_ms: AtomicU64,
}

impl Items {
    fn json(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(object(vec![
            ("key", text(key)),
            ("value", text(&item.value)),
            ("revision", number(item.revision)),
            ("created", number(item.created)),
            ("lease", number(item.lease)),
            ("current_rev", number(self.revision)),
        ]))
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let json = self.json(key);
        self.events.push((revision, key.to_owned(), json));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    /// Serves a store that answers in 4 ms.
    pub fn spawn(ip: &str) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            items: Mutex::default(),
            changed: Condvar::new(),
            answer_ms: AtomicU64::new(4),
        });
        let shared = store.clone();
        let address = serve(ip, move |request| {
            let reply = shared.answer(request);
            let wait_ms = shared.answer_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_millis(wait_ms));
            reply
        });
        (store, address)
    }

    /// Writes a value as the operator or a worker does.
    pub fn write(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        items.put(key, &to_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        items.remove(key);
        self.changed.notify_all();
    }

    /// Returns a stored value.
    pub fn value(&self, key: &str) -> Option<Json> {
        let items = self.items.lock().unwrap();
        Json::parse(&from_base64(&items.items.get(key)?.value))
    }

    fn answer(&self, request: &Message) -> Reply {
        let mut items = self.items.lock().unwrap();
        items.expire();
        let call = request.path().strip_prefix("/-/").unwrap_or("");
        match (request.method(), call) {
            ("GET", "kv-key") => match items.json(&request.query("key")) {
                Some(item) => Reply::Answer(200, item),
                None => Reply::Answer(404, object(vec![("current_rev", number(items.revision))])),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let after = if after > prefix {
                    after
                } else {
                    prefix.clone()
                };
                let keys = items.items.range(after.clone()..).map(|(key, _)| key);
                let is_next = |key: &&String| *key != &after || after == prefix;
                let keys = keys
                    .filter(is_next)
                    .take_while(|key| key.starts_with(&prefix));
                let keys: Vec<&String> = keys.take(501).collect();
                let page = keys
                    .iter()
                    .take(500)
                    .filter_map(|key| items.json(key))
                    .collect();
                Reply::Answer(
                    200,
                    object(vec![
                        ("items", Json::List(page)),
                        ("has_more", Json::Bool(keys.len() > 500)),
                        ("current_rev", number(items.revision)),
                    ]),
                )
            }
            ("GET", "kv-watch") => {
                let prefix = request.query("prefix");
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let from = items.events.partition_point(|event| event.0 <= after);
                    let events = items.events[from..].iter();
                    let events = events.filter(|event| event.1.starts_with(&prefix));
                    let events: Vec<Json> = events
                        .map(|(revision, key, item)| match item {
                            Some(item) => item.clone(),
                            None => object(vec![
                                ("key", text(key)),
                                ("revision", number(*revision)),
                                ("deleted", Json::Bool(true)),
                            ]),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return Reply::Answer(
                            200,
                            object(vec![
                                ("events", Json::List(events)),
                                ("current_rev", number(items.revision)),
                            ]),
                        );
                    }
                    items = self.changed.wait_timeout(items, left).unwrap().0;
                }
            }
            ("POST", "kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return Reply::Answer(400, Json::Null);
                };
                let reply = transact(&mut items, &body);
                self.changed.notify_all();
                reply
            }
            ("POST", "kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
                items.last_lease += 1;
                let (lease, ttl) = (items.last_lease, Duration::from_millis(ttl_ms));
                items.leases.insert(lease, (ttl, Instant::now() + ttl));
                Reply::Answer(
                    200,
                    object(vec![("lease", number(lease)), ("ttl_ms", number(ttl_ms))]),
                )
            }
            ("POST", keep) if keep.starts_with("kv-keep/") => {
                let lease: u64 = keep["kv-keep/".len()..].parse().unwrap_or(0);
                match items.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        let ttl_ms = ttl.as_millis() as u64;
                        Reply::Answer(200, object(vec![("ttl_ms", number(ttl_ms))]))
                    }
                    None => Reply::Answer(404, Json::Null),
                }
            }
            ("DELETE", end) if end.starts_with("kv-lease-end/") => {
                let lease: u64 = end["kv-lease-end/".len()..].parse().unwrap_or(0);
                items.end_lease(lease);
                self.changed.notify_all();
                Reply::Answer(200, object(vec![]))
            }
            _ => Reply::Answer(404, Json::Null),
        }
    }
}

fn transact(items: &mut Items, body: &Json) -> Reply {
    let expected = body.get("expected_revision").list();
    let (puts, removed) = (body.get("puts").list(), body.get("remove").list());
    if expected.len() + puts.len() + removed.len() > 32 {
        return Reply::Answer(400, Json::Null);
    }
    let revision_of = |key: &str| items.items.get(key).map_or(0, |item| item.revision);
    let holds = |row: &Json| revision_of(row.get("key").text()) == row.get("revision").number();
    if !expected.iter().all(holds) {
        let keys = expected.iter().map(|row| row.get("key").text());
        let found = keys.filter_map(|key| items.json(key)).collect();
        return Reply::Answer(412, object(vec![("items", Json::List(found))]));
    }
    let leases = puts.iter().map(|row| row.get("lease").number());
    if leases
        .into_iter()
        .any(|lease| lease > 0 && !items.leases.contains_key(&lease))
    {
        return Reply::Answer(404, Json::Null);
    }
    let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    if puts.iter().any(|row| is_foreign(row.get("key").text())) {
        return Reply::Answer(403, Json::Null);
    }
    items.revision += 1;
    for row in puts {
        let lease = row.get("lease").number();
        items.put(row.get("key").text(), row.get("value").text(), lease);
    }
    for key in removed {
        items.remove(key.text());
    }
    Reply::Answer(200, object(vec![("revision", number(items.revision))]))
}

// ---------------------------------------------------------------- workers

/// What the text of a job says of one of its steps: "MS CPU", then "checkpoints" or
/// "gang MEMBERS" if it is one; a slash stands between two steps.
struct Work {
    work: Duration,
    cpu: u64,
    checkpoints: bool,
    members: usize,
}

impl Work {
    fn of(spec: &str, task: &str) -> Self {
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse().ok())
            .unwrap_or(0);
        let words: Vec<&str> = spec.split('/').nth(step).unwrap_or("").split(' ').collect();
        let field = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse().ok())
                .unwrap_or(0u64)
        };
        let is_gang = words.get(2) == Some(&"gang");
        Self {
            work: Duration::from_millis(field(0)),
            cpu: field(1),
            checkpoints: words.get(2) == Some(&"checkpoints"),
            members: if is_gang { field(3) as usize } else { 0 },
        }
    }
}

/// A run of a gang: its members on all workers.
#[derive(Default)]
struct Gang {
    present: usize,
    /// Since when all members are present.
    complete: Option<Instant>,
    /// A member has ended or its worker has crashed.
    broken: bool,
}

/// The runs of gangs by step and run number.
#[derive(Default)]
pub struct Gangs(Mutex<HashMap<(String, u64), Gang>>);

fn gang_key(name: &(String, u64)) -> (String, u64) {
    let step = name.0.rsplit_once('.').map_or("", |(step, _)| step);
    (step.to_owned(), name.1)
}

impl Gangs {
    fn join(&self, name: &(String, u64), members: usize) {
        let mut gangs = self.0.lock().unwrap();
        let gang = gangs.entry(gang_key(name)).or_default();
        gang.present += 1;
        if gang.present == members {
            gang.complete = Some(Instant::now());
        }
    }

    fn leave(&self, name: &(String, u64)) {
        if let Some(gang) = self.0.lock().unwrap().get_mut(&gang_key(name)) {
            gang.broken = true;
        }
    }

    /// Since when a run works, and whether another member has ended.
    fn state(&self, name: &(String, u64)) -> (Option<Instant>, bool) {
        let gangs = self.0.lock().unwrap();
        let gang = gangs.get(&gang_key(name));
        gang.map_or((None, true), |gang| (gang.complete, gang.broken))
    }
}

/// `bounds.gang_timeout_ms`.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A run that is at work.
struct Active {
    started: Instant,
    /// Since when it works; a member of a gang waits for the others.
    working: Option<Instant>,
    /// Number of members if it belongs to a gang, otherwise 0.
    members: usize,
    work: Duration,
    /// Work that earlier runs had saved.
    saved: Duration,
    checkpoints: bool,
    cpu: u64,
}

#[derive(Default)]
struct WorkerState {
    id: String,
    /// Whether the worker is up; a crashed one resets connections until it is back.
    up: bool,
    born: Option<Instant>,
    token: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Active>,
    /// Highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

/// A worker: one machine with one life after the other.
pub struct Worker {
    pub name: String,
    state: Mutex<WorkerState>,
    changed: Condvar,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    lives: AtomicU64,
}

/// How long a checkpoint takes to come, as `bounds.checkpoint_s` says.
const CHECKPOINT: Duration = Duration::from_secs(2);
const WORKER_CPU: u64 = 32_000;

impl WorkerState {
    fn clock_ms(&self) -> u64 {
        self.born
            .map_or(0, |born| born.elapsed().as_millis() as u64 + 1_000)
    }

    fn end(&mut self, shared: &Worker, name: (String, u64), how: &'static str) {
        let Some(run) = self.running.remove(&name) else {
            return;
        };
        let (record, worker) = (&shared.record, &shared.name);
        if run.members > 0 {
            shared.gangs.leave(&name);
        }
        let saved = run.saved_text();
        self.last_end += 1;
        let highest = self.over.entry(name.0.clone()).or_default();
        *highest = name.1.max(*highest);
        record.line(&format!(
            "{worker} {} ends {} run {}: {how}",
            self.id, name.0, name.1
        ));
        self.ends.push((self.last_end, name.0, name.1, how, saved));
    }

    /// Ends what has completed, what has no lease any more, and members of broken gangs.
    fn advance(&mut self, shared: &Worker) {
        let mut over: Vec<((String, u64), &'static str)> = Vec::new();
        for (name, run) in &mut self.running {
            if run.members > 0 {
                let (complete, broken) = shared.gangs.state(name);
                run.working = complete;
                if broken {
                    over.push((name.clone(), "broken"));
                    continue;
                }
                if complete.is_none() && run.started.elapsed() >= GANG_TIMEOUT {
                    over.push((name.clone(), "alone"));
                    continue;
                }
            }
            if run.working.is_some() && run.progress() >= run.work {
                over.push((name.clone(), "done"));
            }
        }
        for (name, how) in over {
            self.end(shared, name, how);
        }
        if self.clock_ms() >= self.deadline_ms {
            let all: Vec<(String, u64)> = self.running.keys().cloned().collect();
            for name in all {
                self.end(shared, name, "lapsed");
            }
        }
    }

    fn set_deadline(&mut self, asked_ms: u64) {
        let most_ms = self.clock_ms() + 10_000;
        self.deadline_ms = self.deadline_ms.max(asked_ms.min(most_ms));
    }
}

impl Active {
    fn progress(&self) -> Duration {
        let worked = self.working.map_or(Duration::ZERO, |since| since.elapsed());
        self.saved + worked
    }

    /// The checkpoint: the saved milliseconds; empty for none.
    fn saved_text(&self) -> String {
        let steps = self.progress().as_millis() / CHECKPOINT.as_millis();
        let saved = (CHECKPOINT * steps as u32).max(self.saved);
        match self.checkpoints && !saved.is_zero() {
            true => format!("{:016x}", saved.as_millis()),
            false => String::new(),
        }
    }
}

impl Worker {
    /// Starts a worker of the service `s` in a rack, and its reports to the store.
    pub fn spawn(
        name: &str,
        rack: &str,
        ip: &str,
        store: &Arc<Store>,
        gangs: &Arc<Gangs>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            gangs: gangs.clone(),
            lives: AtomicU64::new(0),
        });
        worker.start();
        let shared = worker.clone();
        let address = serve(ip, move |request| shared.answer(request));
        let (shared, store, rack) = (worker.clone(), store.clone(), rack.to_owned());
        thread::spawn(move || shared.report(&store, address, &rack));
        let shared = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = shared.state.lock().unwrap();
                let before = state.last_end;
                state.advance(&shared);
                if state.last_end > before {
                    shared.changed.notify_all();
                }
            }
        });
        worker
    }

    /// Begins a life: a new id, nothing running, no token seen.
    pub fn start(&self) {
        let life = self.lives.fetch_add(1, Ordering::Relaxed) + 1;
        let mut state = self.state.lock().unwrap();
        *state = WorkerState {
            id: format!("i-{}-{life}", self.name),
            up: true,
            born: Some(Instant::now()),
            ..WorkerState::default()
        };
        self.record
            .line(&format!("{} is up as {}", self.name, state.id));
    }

    /// Crashes the worker: everything that runs on it is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        let running = state
            .running
            .keys()
            .map(|(task, run)| format!("{task} run {run}"));
        let running: Vec<String> = running.collect();
        let (name, id) = (&self.name, &state.id);
        self.record.line(&format!(
            "{name} {id} crashes with [{}]",
            running.join(", ")
        ));
        for (name, run) in std::mem::take(&mut state.running) {
            if run.members > 0 {
                self.gangs.leave(&name);
            }
        }
        state.ends.clear();
        self.changed.notify_all();
    }

    /// The tasks that run on it.
    pub fn tasks(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.running.keys().map(|(task, _)| task.clone()).collect()
    }

    /// Writes the worker's entry every 1.5 s, and removes that of an earlier life once it has
    /// been silent for three intervals.
    fn report(&self, store: &Store, address: SocketAddr, rack: &str) {
        let interval = Duration::from_millis(1_500);
        let (mut sequence, mut known) = (0, Vec::<(String, Instant)>::new());
        let mut reported: Option<(String, Instant)> = None;
        loop {
            let (id, up, clock_ms) = {
                let state = self.state.lock().unwrap();
                (state.id.clone(), state.up, state.clock_ms())
            };
            let is_due = match &reported {
                Some((last, at)) => *last != id || at.elapsed() >= interval,
                None => true,
            };
            if up && is_due {
                sequence += 1;
                let entry = object(vec![
                    ("service", text("s")),
                    ("address", text(address.to_string())),
                    ("zone", text("z1")),
                    ("version", text("v1")),
                    ("slots", number(8)),
                    ("state", text("ready")),
                    ("cold_remaining_ms", number(0)),
                    (
                        "capacity",
                        object(vec![
                            ("cpu", number(WORKER_CPU)),
                            ("mem_mb", number(131_072)),
                            ("gpu", number(8)),
                        ]),
                    ),
                    ("labels", Json::List(vec![text("a"), text(rack)])),
                    ("clock_ms", number(clock_ms)),
                    ("sequence", number(sequence)),
                ]);
                store.write(&format!("servers/{id}"), &entry.to_string());
                known.retain(|(other, _)| *other != id);
                known.push((id.clone(), Instant::now()));
                reported = Some((id, Instant::now()));
            }
            known.retain(|(id, at)| {
                let is_silent = at.elapsed() >= 3 * interval;
                if is_silent {
                    store.delete(&format!("servers/{id}"));
                }
                !is_silent
            });
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn answer(&self, request: &Message) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return Reply::Nothing;
        }
        let asked = request.fields.get("expected-instance");
        if asked.is_some_and(|asked| *asked != state.id) {
            return Reply::Answer(421, object(vec![("clock_ms", number(state.clock_ms()))]));
        }
        let refused = |state: &WorkerState, reason: &str| {
            let clock = ("clock_ms", number(state.clock_ms()));
            Reply::Answer(409, object(vec![clock, ("reason", text(reason))]))
        };
        state.advance(self);
        let token = body.get("fencing_token").number();
        if token < state.token {
            return refused(&state, "fence");
        }
        state.token = token;
        let name = (
            body.get("task").text().to_owned(),
            body.get("run_id").number(),
        );
        match request.path() {
            "/-/run-start" => {
                if state.running.contains_key(&name) {
                    let clock_ms = number(state.clock_ms());
                    return Reply::Answer(200, object(vec![("clock_ms", clock_ms)]));
                }
                let deadline_ms = body.get("deadline_ms").number();
                if deadline_ms <= state.clock_ms() {
                    return refused(&state, "late");
                }
                state.set_deadline(deadline_ms);
                let other = state.running.keys().any(|(task, _)| *task == name.0);
                if other || state.over.get(&name.0).is_some_and(|&over| name.1 <= over) {
                    return refused(&state, "old");
                }
                let work = Work::of(body.get("spec").text(), &name.0);
                let used: u64 = state.running.values().map(|run| run.cpu).sum();
                if used + work.cpu > WORKER_CPU {
                    return refused(&state, "room");
                }
                let saved = u64::from_str_radix(body.get("checkpoint").text(), 16).unwrap_or(0);
                if work.members > 0 {
                    self.gangs.join(&name, work.members);
                }
                let run = Active {
                    started: Instant::now(),
                    working: (work.members == 0).then(Instant::now),
                    members: work.members,
                    work: work.work,
                    saved: Duration::from_millis(saved),
                    checkpoints: work.checkpoints,
                    cpu: work.cpu,
                };
                let (worker, id) = (&self.name, &state.id);
                self.record.line(&format!(
                    "{worker} {id} starts {} run {} from {saved} ms, token {token}",
                    name.0, name.1
                ));
                state.running.insert(name, run);
                Reply::Answer(200, object(vec![("clock_ms", number(state.clock_ms()))]))
            }
            "/-/run-stop" => {
                state.end(self, name.clone(), "stopped");
                let highest = state.over.entry(name.0).or_default();
                *highest = name.1.max(*highest);
                self.changed.notify_all();
                Reply::Answer(200, object(vec![("clock_ms", number(state.clock_ms()))]))
            }
            "/-/hold" => {
                let last_seen = body.get("last_seen").number();
                state.ends.retain(|end| end.0 > last_seen);
                state.set_deadline(body.get("deadline_ms").number());
                let wait_ms = body.get("wait_ms").number().min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let id = state.id.clone();
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.ends.is_empty() || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    if !state.up || state.id != id {
                        return Reply::Nothing;
                    }
                }
                let running = state.running.iter().map(|((task, run), active)| {
                    let percent =
                        active.progress().as_millis() * 100 / active.work.as_millis().max(1);
                    Json::List(vec![
                        text(task),
                        number(*run),
                        text(active.saved_text()),
                        number((percent as u64).min(99)),
                        number(active.cpu),
                    ])
                });
                let running = running.collect();
                let ends = state
                    .ends
                    .iter()
                    .take(500)
                    .map(|(at, task, run, how, saved)| {
                        let (at, run) = (number(*at), number(*run));
                        Json::List(vec![at, text(task), run, text(*how), text(saved)])
                    });
                let ends = ends.collect();
                Reply::Answer(
                    200,
                    object(vec![
                        ("clock_ms", number(state.clock_ms())),
                        ("running", Json::List(running)),
                        ("finished", Json::List(ends)),
                    ]),
                )
            }
            "/-/pace" => Reply::Answer(200, object(vec![("clock_ms", number(state.clock_ms()))])),
            _ => Reply::Answer(404, Json::Null),
        }
    }
}

// ---------------------------------------------------------------- balancer

/// One connection through the balancer.
struct Link {
    daemon: usize,
    client: TcpStream,
    server: TcpStream,
    over: AtomicBool,
}

/// The address to which clients connect. Each connection is forwarded to one daemon; open
/// connections can be reset.
pub struct Balancer {
    pub address: SocketAddr,
    links: Mutex<Vec<Arc<Link>>>,
    next: AtomicUsize,
}

unsafe extern "C" {
    fn connect(socket: i32, address: *const u16, length: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Resets a connection: connecting to an address of no family ends it at once.
pub fn reset(stream: &TcpStream) {
    const AF_UNSPEC: u16 = 0;
    let address = [AF_UNSPEC, 0, 0, 0, 0, 0, 0, 0];
    // SAFETY: the address is 16 bytes long and outlives the call.
    unsafe { connect(stream.as_raw_fd(), address.as_ptr(), 16) };
}

/// Has the kernel end this process when the one that started it ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes two integers and changes only this process.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

impl Balancer {
    pub fn spawn(ip: &str, daemons: Vec<SocketAddr>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let balancer = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            links: Mutex::default(),
            next: AtomicUsize::new(0),
        });
        let shared = balancer.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let daemon = shared.next.fetch_add(1, Ordering::Relaxed) % daemons.len();
                shared.forward(client, daemon, daemons[daemon]);
            }
        });
        balancer
    }

    fn forward(&self, client: TcpStream, daemon: usize, address: SocketAddr) {
        let Ok(server) = TcpStream::connect(address) else {
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let link = Arc::new(Link {
            daemon,
            client,
            server,
            over: AtomicBool::new(false),
        });
        {
            let mut links = self.links.lock().unwrap();
            links.retain(|link| !link.over.load(Ordering::Relaxed));
            links.push(link.clone());
        }
        let other = link.clone();
        thread::spawn(move || pump(&other.client, &other.server, &other.over));
        thread::spawn(move || pump(&link.server, &link.client, &link.over));
    }

    /// Resets half of the open connections to a daemon; returns how many those are.
    pub fn reset_half(&self, daemon: usize) -> usize {
        let links = self.links.lock().unwrap();
        let open = links
            .iter()
            .filter(|link| !link.over.load(Ordering::Relaxed));
        let open: Vec<&Arc<Link>> = open.filter(|link| link.daemon == daemon).collect();
        let chosen = open.iter().step_by(2);
        for link in chosen.clone() {
            link.over.store(true, Ordering::Relaxed);
            reset(&link.server);
            reset(&link.client);
        }
        chosen.count()
    }
}

fn pump(mut from: &TcpStream, mut to: &TcpStream, over: &AtomicBool) {
    let mut chunk = [0u8; 16 << 10];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    to.shutdown(Shutdown::Write).ok();
}

// ---------------------------------------------------------------- daemons

/// A daemon's process, started with the command of the deploy file. It is killed when the
/// value is dropped.
pub struct Daemon {
    pub name: String,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ports of every daemon, below those that the system gives to outgoing connections.
const CLIENT_PORT: u16 = 18_521;
const READINESS_PORT: u16 = 18_523;
const FIRST_INTERNAL_PORT: u16 = 17_000;

/// A loopback address that no other run uses now, for one daemon.
pub fn daemon_ip(at: usize) -> String {
    let process = std::process::id();
    for attempt in 0..50 {
        let run = process + attempt;
        let ip = format!("127.{}.{}.{}", 60 + run / 250 % 150, run % 250, 1 + at);
        let mut ports = [
            CLIENT_PORT,
            READINESS_PORT,
            FIRST_INTERNAL_PORT,
            FIRST_INTERNAL_PORT + 1,
        ]
        .iter();
        if ports.all(|&port| TcpListener::bind((ip.as_str(), port)).is_ok()) {
            return ip;
        }
    }
    panic!("no address is free");
}

impl Daemon {
    pub fn spawn(folder: &std::path::Path, at: usize, store: SocketAddr) -> Self {
        let (name, ip) = (format!("d{at}"), daemon_ip(at));
        let (first, clients, readiness) = (FIRST_INTERNAL_PORT, CLIENT_PORT, READINESS_PORT);
        let settings = format!(
            "node_name={name}\nrole=daemon\nmachine_class=edge\nserves=edge\nip={ip}\nzone=z1\nregion=r1\nzones.z1=r1\n\
             listen_addresses.frontend={ip}:{clients}\nlisten_addresses.readiness={ip}:{readiness}\n\
             internal_port_range={first},{}\nseeds=\nbootstrap=true\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.file_descriptors=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_interval_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing\n\
             bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_period_s=6\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\nbounds.max_extension_ms=5000\n\
             bounds.revoke_strict=false\nbounds.revoke_ms=5000\nbounds.recovery_s=12\nbounds.max_hold_ms=10000\n\
             bounds.stop_timeout_ms=200\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.remote_factor=3\nbounds.checkpoint_s=2\nbounds.restore_ms=100\nbounds.notice_ms=4500\n\
             bounds.migration_s=1.5\nbounds.maintenance_s=2\nbounds.fencing_enforced=false\n\
             bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.pacing_ms=100\nbounds.impact_ms=4000\n\
             bounds.reclaim_ms=2700\norders=invocation\nplatform.address={store}\nplatform.form=kv\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n",
            first + 15
        );
        let path = folder.join(format!("{name}.conf"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&path, settings).expect("the settings file is written");
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let mut daemon = Self {
            name,
            clients: address(clients),
            readiness: address(readiness),
            settings: path,
            log,
            child: None,
        };
        daemon.start();
        daemon
    }

    pub fn start(&mut self) {
        let open = |path: &PathBuf| {
            let file = std::fs::File::options()
                .append(true)
                .create(true)
                .open(path);
            file.expect("a log file")
        };
        let (log, errors) = (open(&self.log), open(&self.errors()));
        let mut command = Command::new("target/release/fuchsiaslipd");
        command
            .arg("--platform")
            .env("FUCHSIASLIP_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: the closure makes one system call.
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn().expect("the daemon starts"));
    }

    fn errors(&self) -> PathBuf {
        self.log.with_extension("errors")
    }

    /// What the process has written to standard error, for example of a panic.
    pub fn error_lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.errors()).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = request(self.readiness, "GET", "/-/readiness", "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- the record

/// The record of what was sent, answered and run.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
    path: PathBuf,
}

impl Record {
    pub fn open(path: &str) -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            lines: Mutex::default(),
            path: path.into(),
        })
    }

    pub fn line(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {line}"));
    }

    pub fn write(&self) {
        let text = self.lines.lock().unwrap().join("\n");
        std::fs::write(&self.path, text + "\n").expect("the record is written");
    }
}

/// A case that takes longer could not run.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// Runs a case: its outcome is the exit code. 0: the rule held; 1: it was broken; 2: the case
/// could not run.
pub fn run(case: impl FnOnce(&Arc<Record>, &std::path::Path, bool) -> Result<bool, String>) -> ! {
    let path = std::env::args().nth(1).expect("the path of the record");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open(&path);
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        watched.line("the case took too long");
        watched.write();
        std::process::exit(2);
    });
    // The daemons end with the thread that started them, which is this one.
    let outcome = case(&record, &folder, trouble);
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&folder).ok();
    }
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(problem) => {
            record.line(&format!("the case could not run: {problem}"));
            2
        }
    };
    record.line(&format!("exit code {code}"));
    record.write();
    std::process::exit(code)
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(25));
    }
    condition()
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// The operator's first configuration: one queue of jobs without priority, which allows as
/// many attempts as `max_attempts` says.
pub fn configure(store: &Store, max_attempts: u64) {
    let configuration = format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"q\",\"host\":\"h.example\",\"prefix\":\"/q/\",\
         \"service\":\"s\",\"priority\":1,\"max_attempts\":{max_attempts},\"stretch_factor\":3,\
         \"target_latency_ms\":1000}}],\"services\":[{{\"name\":\"s\",\"rejects_overload\":true}}],\
         \"tenants\":[{{\"name\":\"t\",\"api_keys\":[\"key\"],\"guaranteed\":{{\"gpu\":8}}}}]}}"
    );
    store.write("op/config", &configuration);
}
