//! Starts, runs and drains a daemon on an operator's platform.

use super::actions;
use super::client_requests;
use super::control::{
    Control,
    Decide, //
};
use super::heartbeat;
use super::log_lines::BoundedLines;
use super::node::Node;
use super::peer_connections::Peers;
use super::peer_requests;
use super::settings::ClusterSettings;
use super::store_probe;
use super::store_watch;
use super::supervision::{
    self,
    Part,
    spawn_lasting, //
};
use crate::events;
use crate::intake::{
    self,
    HttpTimeouts,
    Intake,
    IntakeLimits, //
};
use crate::panics;
use crate::platform::{
    HttpClient,
    MachineClient,
    SETTINGS_VARIABLE,
    SettingsError,
    StoreClient,
    WorkerClient,
    read_settings, //
};
use crate::scheduler::Scheduler;
use crate::timer::Timer;
use actix_http::body::BoxBody;
use actix_http::{
    Request,
    Response, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{
    TcpListener,
    UdpSocket, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tokio::sync::{
    Mutex,
    mpsc, //
};

/// How long clients may take between their requests.
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    head: Duration::from_secs(3),
    keep_alive: Duration::from_secs(15),
};
/// Shortest drain. The balancer stops sending new connections after two failed
/// readiness checks, one second apart, and open connections are served until then.
const MIN_DRAIN_MS: u64 = 2_600;
/// Part of the grace period that is left for the process to exit.
const DRAIN_MARGIN_MS: u64 = 700;
/// How often a draining daemon checks whether it may end.
const DRAIN_CHECK_INTERVAL_MS: u64 = 50;

/// Why the daemon cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}; another process may be using it")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread or a signal handler cannot be created.
    #[error("cannot start: {0}; raise the process limits of the VM")]
    System(#[from] std::io::Error),
    /// The log cannot be set up.
    #[error("cannot set up the log: {0}; start only one daemon in a process")]
    Log(String),
}

/// Runs the daemon with the settings file that the platform names, until a signal
/// ends it.
///
/// # Errors
///
/// The settings are invalid, or an address cannot be bound, or a thread or signal
/// handler cannot be created.
pub fn run() -> Result<(), Error> {
    let path = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    let settings = settings_at(&path)?;
    let metrics = set_up_metrics();
    set_up_log()?;
    panics::report();
    let timer = Timer::spawn()?;
    actix_rt::System::new().block_on(async move {
        let decide = Box::new(Scheduler::decide);
        let daemon = ClusterDaemon::spawn(settings, timer, metrics, decide).await?;
        daemon.until_signalled(&path).await
    })
}

/// Reads the settings file that the platform names and returns a summary of the
/// values that a daemon would run with. Starts nothing.
///
/// # Errors
///
/// The settings are invalid.
pub fn check() -> Result<String, Error> {
    let path = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    let settings = settings_at(&path)?;
    let tuning = settings.tuning;
    Ok(format!(
        "{path}: the settings are right\n\
         {} in {}: clients {}, readiness {}, peers {}, metrics {}\n\
         store {}, machines {}, advice {}\n\
         leases of {} ms, authority {} ms, ended jobs remembered {} ms",
        settings.daemon,
        settings.data_centre,
        settings.client_address,
        settings.readiness_address,
        settings.peer_address,
        settings.metrics_address,
        settings.store_address,
        settings.machines_address.as_deref().unwrap_or("none"),
        settings.advice_address.as_deref().unwrap_or("none"),
        tuning.lease_ms,
        tuning.authority_ms,
        tuning.retention_ms,
    ))
}

fn settings_at(path: &str) -> Result<ClusterSettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.to_owned(),
        problem: error.to_string(),
    })?;
    read_settings(&text)
}

fn set_up_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A test may have installed a recorder already. The metrics of this one are then
    // empty.
    drop(metrics::set_global_recorder(recorder));
    handle
}

fn set_up_log() -> Result<(), Error> {
    use log4rs::config::{
        Appender,
        Config,
        Logger,
        Root, //
    };
    let lines = BoundedLines::spawn()?;
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(lines)))
        .logger(Logger::builder().build(env!("CARGO_PKG_NAME"), log::LevelFilter::Info))
        .build(
            Root::builder()
                .appender("lines")
                .build(log::LevelFilter::Warn),
        )
        .map_err(|error| Error::Log(error.to_string()))?;
    let set = log4rs::init_config(config);
    set.map(|_| ())
        .map_err(|error| Error::Log(error.to_string()))
}

/// A running daemon. It stays on one thread, its traffic thread; the scheduler runs
/// on the control thread.
pub struct ClusterDaemon {
    node: Rc<Node>,
    clients: Intake,
}

impl ClusterDaemon {
    /// Starts a daemon that makes its decisions with `decide`.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the control thread cannot be started.
    pub async fn spawn(
        settings: ClusterSettings,
        timer: Timer,
        metrics: PrometheusHandle,
        decide: Decide,
    ) -> Result<Self, Error> {
        let (sender, reports) = mpsc::unbounded_channel();
        let control = Control::spawn(timer.clone(), sender, decide)?;
        let store = StoreClient::new(HttpClient::open(timer.clone()), &settings.store_address);
        let workers = WorkerClient::open(timer.clone());
        let machines = settings.machines_address.as_ref().map(|address| {
            let http = HttpClient::open(timer.clone());
            MachineClient::new(http, address, &settings.daemon)
        });
        let boot = rand::random();
        let client_listener = listen(settings.client_address)?;
        let readiness_listener = listen(settings.readiness_address)?;
        let peer_listener = listen(settings.peer_address)?;
        let metrics_listener = listen(settings.metrics_address)?;
        let clients = Intake::open("clients", settings.client_limits, &timer);
        let peer_limits = IntakeLimits::for_peers(settings.resources.descriptors);
        let peers = Intake::open("peers", peer_limits, &timer);
        let readiness = Intake::open("readiness", IntakeLimits::for_tools(), &timer);
        let scrapes = Intake::open("metrics", IntakeLimits::for_tools(), &timer);
        let heartbeat_socket = UdpSocket::bind(settings.peer_address).await;
        let heartbeat_socket = Rc::new(heartbeat_socket.map_err(|source| Error::Listen {
            address: settings.peer_address,
            source,
        })?);
        let node = Node::open(settings, timer, store, workers, machines, control, boot);
        let reports = Rc::new(Mutex::new(reports));
        spawn_part(&node, "actions", move |node| {
            actions::run(node, reports.clone())
        });
        spawn_part(&node, "store_probe", store_probe::run);
        spawn_part(
            &node,
            "operator_values",
            store_watch::follow_operator_values,
        );
        spawn_part(&node, "membership", store_watch::maintain_membership);
        spawn_part(&node, "control_watch", supervision::watch_control);
        spawn_part(&node, "election", heartbeat::elect);
        let socket = heartbeat_socket.clone();
        spawn_part(&node, "heartbeats_out", move |node| {
            heartbeat::send(node, socket.clone())
        });
        spawn_part(&node, "heartbeats_in", move |node| {
            heartbeat::receive(node, heartbeat_socket.clone())
        });
        spawn_part(&node, "peers", move |node| {
            let (peers, listener) = (peers.clone(), peer_listener.clone());
            Peers::serve(peers, listener, move |connection, body| {
                peer_requests::answer(node.clone(), connection, body)
            })
        });
        spawn_part(&node, "readiness", move |node| {
            let (readiness, listener) = (readiness.clone(), readiness_listener.clone());
            let answer = move |request: Request| {
                let node = node.clone();
                async move { client_requests::readiness(&node, request.path()) }
            };
            async move { readiness.serve(listener, TIMEOUTS, answer).await }
        });
        spawn_part(&node, "metrics", move |_| {
            let (scrapes, listener) = (scrapes.clone(), metrics_listener.clone());
            let metrics = metrics.clone();
            let answer = move |_| {
                let text = metrics.render();
                async move { Response::ok().set_body(BoxBody::new(text)) }
            };
            async move { scrapes.serve(listener, TIMEOUTS, answer).await }
        });
        let served = clients.clone();
        spawn_part(&node, "clients", move |node| {
            let (clients, listener) = (served.clone(), client_listener.clone());
            let answer = move |request| client_requests::answer(node.clone(), request);
            async move { clients.serve(listener, TIMEOUTS, answer).await }
        });
        events::log(
            events::DAEMON_STARTED,
            format_args!(
                "{} at {}",
                node.settings.daemon, node.settings.client_address
            ),
        );
        Ok(Self { node, clients })
    }

    /// Waits for the signal that ends the daemon, then drains it.
    async fn until_signalled(&self, path: &str) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => self.reload(path),
            }
        }
        self.drain().await;
        Ok(())
    }

    /// Reads the settings again and logs whether they changed. Changes take effect
    /// only at the next start: the platform restarts the process to apply them.
    fn reload(&self, path: &str) {
        match settings_at(path) {
            Ok(settings) if settings == self.node.settings => {
                events::log(events::SETTINGS_RELOADED, format_args!("nothing changed"));
            }
            Ok(_) => events::log(
                events::SETTINGS_RELOADED,
                format_args!("changes take effect at the next start"),
            ),
            Err(error) => events::log(events::SETTINGS_REFUSED, format_args!("{error}")),
        }
    }

    /// Drains the daemon: it reports that it is not ready and leaves the ownership to
    /// another daemon. Returns once every request is answered, or when the grace period
    /// is nearly over.
    pub async fn drain(&self) {
        let node = &self.node;
        let began_ms = node.now_ms();
        events::log(
            events::DRAIN_STARTED,
            format_args!("{} requests", node.requests.get()),
        );
        node.drain();
        let last_ms = began_ms + node.settings.grace_ms.saturating_sub(DRAIN_MARGIN_MS);
        loop {
            node.timer.sleep(DRAIN_CHECK_INTERVAL_MS).await;
            let now_ms = node.now_ms();
            if now_ms >= began_ms + MIN_DRAIN_MS {
                if node.requests.get() == 0 {
                    break;
                }
                // Nothing was promised to a client whose request is not whole.
                self.clients.refuse_bodies();
            }
            if now_ms >= last_ms {
                break;
            }
        }
        events::log(
            events::DRAIN_FINISHED,
            format_args!("{} requests", node.requests.get()),
        );
    }
}

/// Starts a task that lasts as long as the daemon.
fn spawn_part<F>(node: &Rc<Node>, part: &'static str, start: impl Fn(Rc<Node>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let shared = node.clone();
    spawn_lasting(node, Part(part), move || start(shared.clone()));
}

fn listen(address: SocketAddr) -> Result<Rc<TcpListener>, Error> {
    let listener = intake::listen(address);
    let listener = listener.map_err(|source| Error::Listen { address, source })?;
    Ok(Rc::new(listener))
}
