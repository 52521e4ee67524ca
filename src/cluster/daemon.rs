//! Starting, running and draining a daemon on an operator's platform.

use super::actions;
use super::client_requests;
use super::control::Control;
use super::heartbeat;
use super::log_lines::BoundedLines;
use super::node::Node;
use super::peer_connections::Peers;
use super::settings::ClusterSettings;
use super::store_probe;
use super::store_watch;
use super::submit;
use crate::events;
use crate::platform::{
    BOOT_VARIABLE,
    HttpClient,
    MachineClient,
    SettingsError,
    StoreClient,
    WorkerClient,
    read_settings, //
};
use crate::timer::Timer;
use actix_http::body::BoxBody;
use actix_http::{
    HttpService,
    Request,
    Response, //
};
use actix_service::{
    Service,
    ServiceFactory, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::convert::Infallible;
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
use tokio::sync::mpsc;

/// Time for the head of a request to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(3);
/// Idle connections are kept this long.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// A daemon that drains serves open connections at least this long: the
/// balancer sends new ones for two missed questions of a second each.
const DRAIN_MS: u64 = 2_600;
/// Kept of the grace for the end of the process.
const DRAIN_MARGIN_MS: u64 = 700;
const DRAIN_CHECK_MS: u64 = 50;

/// Why the daemon does not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; another process may have it")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread or a signal cannot be had.
    #[error("cannot start: {0}; raise the process limits of the VM")]
    System(#[from] std::io::Error),
    /// The log cannot be set up.
    #[error("cannot set up the log: {0}; start only one daemon in a process")]
    Log(String),
}

/// Runs the daemon with the settings that the platform names, until a signal
/// ends it.
///
/// # Errors
///
/// The settings are wrong, or an address, thread or signal cannot be had.
pub fn run() -> Result<(), Error> {
    let path = std::env::var(BOOT_VARIABLE).unwrap_or_default();
    let settings = settings_at(&path)?;
    let metrics = set_up_metrics();
    set_up_log()?;
    let timer = Timer::spawn()?;
    actix_rt::System::new().block_on(async move {
        let daemon = ClusterDaemon::spawn(settings, timer, metrics).await?;
        daemon.until_signalled(&path).await
    })
}

/// Reads the settings that the platform names, starts nothing, and says what a
/// daemon would run with.
///
/// # Errors
///
/// The settings are wrong.
pub fn check() -> Result<String, Error> {
    let path = std::env::var(BOOT_VARIABLE).unwrap_or_default();
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
    // Another recorder may be there in a test; then nothing is shown.
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

/// A running daemon; lives on one thread beside its control thread.
pub struct ClusterDaemon {
    node: Rc<Node>,
}

impl ClusterDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// An address or a thread cannot be had.
    pub async fn spawn(
        settings: ClusterSettings,
        timer: Timer,
        metrics: PrometheusHandle,
    ) -> Result<Self, Error> {
        let (outputs, decided) = mpsc::unbounded_channel();
        let control = Control::spawn(timer.clone(), outputs)?;
        let http = HttpClient::open(timer.clone());
        let store = StoreClient::open(http.clone(), &settings.store_address);
        let workers = WorkerClient::open(http.clone());
        let machines = settings
            .machines_address
            .as_ref()
            .map(|address| MachineClient::open(http, address, &settings.daemon));
        let boot = rand::random();
        let clients = listen(settings.client_address).await?;
        let questions = listen(settings.readiness_address).await?;
        let peers = listen(settings.peer_address).await?;
        let scrapes = listen(settings.metrics_address).await?;
        let beats = UdpSocket::bind(settings.peer_address).await;
        let beats = Rc::new(beats.map_err(|source| Error::Listen {
            address: settings.peer_address,
            source,
        })?);
        let node = Node::open(settings, timer, store, workers, machines, control, boot);
        actix_rt::spawn(actions::run(node.clone(), decided));
        actix_rt::spawn(store_probe::run(node.clone()));
        actix_rt::spawn(store_watch::operators(node.clone()));
        actix_rt::spawn(store_watch::members(node.clone()));
        actix_rt::spawn(heartbeat::send(node.clone(), beats.clone()));
        actix_rt::spawn(heartbeat::receive(node.clone(), beats));
        actix_rt::spawn(heartbeat::elect(node.clone()));
        let own = node.clone();
        actix_rt::spawn(Peers::serve(peers, move |body| {
            submit::answer(own.clone(), body)
        }));
        let own = node.clone();
        actix_rt::spawn(serve(questions, move |request: Request| {
            let own = own.clone();
            async move { client_requests::readiness(&own, request.path()) }
        }));
        actix_rt::spawn(serve(scrapes, move |_| {
            let text = metrics.render();
            async move { Response::ok().set_body(BoxBody::new(text)) }
        }));
        let own = node.clone();
        actix_rt::spawn(serve(clients, move |request| {
            client_requests::answer(own.clone(), request)
        }));
        events::log(
            events::DAEMON_STARTED,
            format_args!(
                "{} at {}",
                node.settings.daemon, node.settings.client_address
            ),
        );
        Ok(Self { node })
    }

    /// Waits for the signal that ends the daemon, and drains.
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

    /// Reads the settings again. Addresses and bounds are those of the start:
    /// the platform restarts a process to change them.
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

    /// Hands over, and ends once every request is answered.
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
            node.timer.sleep(DRAIN_CHECK_MS).await;
            let now_ms = node.now_ms();
            let served = now_ms >= began_ms + DRAIN_MS && node.requests.get() == 0;
            if served || now_ms >= last_ms {
                break;
            }
        }
        events::log(
            events::DRAIN_FINISHED,
            format_args!("{} requests", node.requests.get()),
        );
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

/// Serves HTTP on `listener` with `answer`.
async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_LIMIT)
        .h1(move |request: Request| {
            let answering = answer(request);
            async move { Ok::<_, Infallible>(answering.await) }
        })
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        log::error!("the HTTP service cannot be built");
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("no-delay is not to be had: {error}");
                }
                let service = service.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = service.call(stream).await {
                        log::debug!("a connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                // As when descriptors run out; the others go on.
                log::debug!("a connection was not accepted: {error}");
                tokio::task::yield_now().await;
            }
        }
    }
}
