//! Daemons as separate processes on loopback addresses, and their clients.

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use std::io::{
    Read,
    Write, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpStream, //
};
use std::path::PathBuf;
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::time::Duration;

const CLIENT_PORT: u16 = 18_521;
const READINESS_PORT: u16 = 18_523;
const FIRST_INTERNAL_PORT: u16 = 17_000;
/// The port at which a daemon takes heartbeats and connections of the others.
pub const PEER_PORT: u16 = FIRST_INTERNAL_PORT;

/// A daemon's process. It is killed when the value is dropped.
pub struct Daemon {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    is_trial: bool,
    child: Option<Child>,
}

/// What a daemon listens for at one of its ports.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    Clients,
    Readiness,
    Peers,
    Metrics,
}

/// The answer that a client received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    Status(u16, String),
    /// No complete answer; a client would repeat the request.
    None,
}

/// A loopback address that no other test uses. `test` is one of the numbers reserved
/// for a test file, since daemons of two files that run at the same time would
/// otherwise take each other's ports.
///
/// | numbers | used by |
/// | --- | --- |
/// | 1 to 7, 9, 216 | `cluster.rs` |
/// | 8 | `settings.rs` |
/// | 10 to 209 | `soak.rs`, by seed |
/// | 210 to 213 | `evacuation/whole_path.rs` |
/// | 214, 215, 217 | `owner_cut_off.rs` |
/// | 218 | `large_fleet.rs` |
/// | 219 | `crashes/whole_path.rs` |
/// | 220 to 223, 239 | `store_outage.rs` |
/// | 224 to 229 | `carriers.rs` |
/// | 230 to 238 | `foreign/path.rs` |
/// | 246 to 248 | `learned_state/whole_path.rs` |
/// | 249 to 251 | `owner_parts.rs` |
/// | 240 to 245 | `tombstones.rs` |
/// | 252 | `client_resets.rs`, `job_memory.rs` |
/// | 253 | `partitioned_owners.rs` |
/// | 254 | `stalled_clients.rs`, `stalled_callers.rs` |
///
/// Benches run alone and may use any number; 254 is the highest.
pub fn loopback(test: u8, at: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + test, (process % 250) as u8, 1 + at)
}

/// The settings of a daemon at `ip`, with further lines.
pub fn settings_text(name: &str, ip: Ipv4Addr, store: SocketAddr, further: &str) -> String {
    format!(
        "node_name={name}\nip={ip}\nzone=z\n\
         listen_addresses.frontend={ip}:{CLIENT_PORT}\n\
         listen_addresses.readiness={ip}:{READINESS_PORT}\n\
         internal_port_range={FIRST_INTERNAL_PORT},{}\n\
         platform.address={store}\nbounds.grace_period_s=6\n\
         bounds.evacuation_ms=5000\n{further}",
        FIRST_INTERNAL_PORT + 15
    )
}

/// Makes a client's request to the daemon at `ip`.
pub fn request_at(ip: Ipv4Addr, method: &str, path: &str, body: &str) -> Answer {
    request_with_key(ip, "key", method, path, body)
}

/// Makes a request to the daemon at `ip` with the key of a client account.
pub fn request_with_key(ip: Ipv4Addr, key: &str, method: &str, path: &str, body: &str) -> Answer {
    let address = SocketAddr::new(ip.into(), CLIENT_PORT);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nauthorization: Token {key}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(address, head.as_bytes())
}

/// Whether the daemon at `ip` reports that it is ready.
pub fn is_ready_at(ip: Ipv4Addr) -> bool {
    let address = SocketAddr::new(ip.into(), READINESS_PORT);
    let request = b"GET /-/readiness HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    matches!(exchange(address, request), Answer::Status(200, _))
}

impl Daemon {
    /// Starts a daemon at `ip`.
    pub fn spawn(name: &str, ip: Ipv4Addr, store: SocketAddr) -> Self {
        Self::spawn_with_settings(name, ip, store, "")
    }

    /// Starts a daemon at `ip` with further lines in its settings.
    pub fn spawn_with_settings(name: &str, ip: Ipv4Addr, store: SocketAddr, further: &str) -> Self {
        Self::spawn_with_file(ip, &settings_text(name, ip, store, further), false)
    }

    /// Starts a daemon of the trial's deployment, which listens at `ip`.
    pub fn spawn_trial(ip: Ipv4Addr, settings: &str) -> Self {
        Self::spawn_with_file(ip, settings, true)
    }

    fn spawn_with_file(ip: Ipv4Addr, text: &str, is_trial: bool) -> Self {
        let settings =
            std::env::temp_dir().join(format!("fuchsiaslip-{}-{ip}.settings", std::process::id()));
        std::fs::write(&settings, text).expect("settings are written");
        let mut daemon = Self {
            ip,
            settings,
            is_trial,
            child: None,
        };
        daemon.start();
        daemon
    }

    /// Starts the process, again if it has ended.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.log())
            .expect("a log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiaslipd"));
        match self.is_trial {
            true => command.arg("--settings").arg(&self.settings),
            false => command
                .arg("--platform")
                .env("FUCHSIASLIP_BOOT", &self.settings),
        };
        let child = command.stdout(log).stderr(Stdio::null()).spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// The log file of all incarnations of this daemon.
    pub fn log(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            // It may have exited already.
            kill_process(pid, signal).ok();
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Whether the process that was started last still runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the process exits by itself. Returns whether it exited with
    /// success.
    pub fn wait(&mut self) -> bool {
        let ended = self.child.take().and_then(|mut child| child.wait().ok());
        ended.is_some_and(|status| status.success())
    }

    /// The address of one of the daemon's listeners.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        let port = match listener {
            Listener::Clients => CLIENT_PORT,
            Listener::Readiness => READINESS_PORT,
            Listener::Peers => PEER_PORT,
            Listener::Metrics => FIRST_INTERNAL_PORT + 1,
        };
        SocketAddr::new(self.ip.into(), port)
    }

    /// The most memory that the process has had resident, in bytes; panics if it has ended.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(self.proc("status")).expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kilobytes = kilobytes.and_then(|number| number.parse::<usize>().ok());
        kilobytes.expect("a peak") << 10
    }

    /// The number of sockets that the process has open; panics if it has ended.
    pub fn open_sockets(&self) -> usize {
        let descriptors = std::fs::read_dir(self.proc("fd")).expect("the process lives");
        let targets = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        targets
            .filter(|target| target.to_string_lossy().starts_with("socket:"))
            .count()
    }

    fn proc(&self, file: &str) -> PathBuf {
        let id = self.child.as_ref().map_or(0, Child::id);
        PathBuf::from(format!("/proc/{id}/{file}"))
    }

    /// Makes a client's request.
    pub fn request(&self, method: &str, path: &str, body: &str) -> Answer {
        request_at(self.ip, method, path, body)
    }

    /// Opens a connection to the daemon's client address.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        let address = SocketAddr::new(self.ip.into(), CLIENT_PORT);
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
    }

    /// Sends raw bytes to the daemon's client address.
    pub fn send_raw(&self, bytes: &[u8]) -> Answer {
        exchange(SocketAddr::new(self.ip.into(), CLIENT_PORT), bytes)
    }

    /// The value of a metric without labels; 0 if it was never set.
    pub fn metric(&self, name: &str) -> f64 {
        let address = SocketAddr::new(self.ip.into(), FIRST_INTERNAL_PORT + 1);
        let request = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let Answer::Status(200, text) = exchange(address, request) else {
            return 0.0;
        };
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or(0.0)
    }

    /// Whether the daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready_at(self.ip)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        std::fs::remove_file(&self.settings).ok();
        match std::thread::panicking() {
            true => eprintln!("the daemon's log is kept: {}", self.log().display()),
            false => drop(std::fs::remove_file(self.log())),
        }
    }
}

/// A client that keeps its connection until it breaks, as most clients do.
pub struct PersistentClient {
    ip: Ipv4Addr,
    stream: Option<TcpStream>,
}

impl PersistentClient {
    /// Creates a client of a daemon; it connects with its first request.
    pub fn of(daemon: &Daemon) -> Self {
        Self {
            ip: daemon.ip,
            stream: None,
        }
    }

    /// Makes a request. After a connection breaks, the next request opens a new one.
    pub fn request(&mut self, method: &str, path: &str, body: &str) -> Answer {
        let answer = self.exchange(method, path, body);
        answer.unwrap_or_else(|_| {
            self.stream = None;
            Answer::None
        })
    }

    fn exchange(&mut self, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let address = SocketAddr::new(self.ip.into(), CLIENT_PORT);
                TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?
            }
        };
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        let (mut received, mut chunk) = (Vec::new(), [0; 4_096]);
        loop {
            if let Some((status, body)) = complete_answer(&received) {
                self.stream = Some(stream);
                return Ok(Answer::Status(status, body));
            }
            match stream.read(&mut chunk)? {
                0 => return Ok(Answer::None),
                length => received.extend_from_slice(&chunk[..length]),
            }
        }
    }
}

/// The status and body of an answer; `None` if it is not complete.
fn complete_answer(received: &[u8]) -> Option<(u16, String)> {
    let text = std::str::from_utf8(received).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    (body.len() >= length.unwrap_or(0)).then(|| (status, body.to_owned()))
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);

fn exchange(address: SocketAddr, request: &[u8]) -> Answer {
    let exchanged = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(request)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    let Ok(text) = exchanged() else {
        return Answer::None;
    };
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    match status {
        Some(status) => Answer::Status(status, body.to_owned()),
        None => Answer::None,
    }
}
