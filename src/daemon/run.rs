//! Starts, runs and drains a daemon.

use super::configuration;
use super::control::{
    Control,
    HandleEvent, //
};
use super::directory::Directory;
use super::entry::{
    ApiCommand,
    Shared, //
};
use super::http_server;
use super::kill::{
    ShutdownSignal,
    spawn_thread, //
};
use super::patch;
use super::peer::Peers;
use super::settings::{
    Settings,
    SettingsProblem, //
};
use super::status::Status;
use super::traffic;
use super::watch::Watch;
use super::worker_monitor::WorkerMonitor;
use crate::backend::{
    HttpBackend,
    ListAnswer,
    ListScope,
    Membership,
    Store,
    VmKind, //
};
use crate::events;
use crate::owner::{
    Event,
    Owner,
    Settings as OwnerSettings, //
};
use crate::panics;
use crate::timer::Timer;
use argh::FromArgs;
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::path::PathBuf;
use std::sync::{
    Arc,
    OnceLock, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tokio::sync::mpsc;

const COMMAND_QUEUE_LENGTH: usize = 4_096;
const DRAIN_CHECK_INTERVAL_MS: u64 = 50;
/// The list of the daemons of all data centres is read this many times less often than
/// the list of the VMs of this data centre.
const DAEMON_LIST_DIVISOR: u64 = 6;
/// Time within which the load balancer and the peers learn of the drain.
const DRAIN_NOTICE_MS: u64 = 1_000;

/// A process of fuchsiaslip: entry, candidate owner and keeper.
#[derive(FromArgs)]
#[argh(
    name = "fuchsiaslipd",
    example = "{command_name} --settings fuchsiaslipd.toml",
    example = "{command_name} --settings fuchsiaslipd.toml --check",
    example = "{command_name} --platform",
    example = "{command_name} --platform --check"
)]
struct Arguments {
    /// the TOML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// run on an operator's platform, with the settings file that it names
    #[argh(switch)]
    platform: bool,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// Why the daemon cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file is invalid.
    #[error("{}", problems(.0))]
    Settings(Vec<SettingsProblem>),
    /// Neither --settings nor --platform is given.
    #[error("no settings are named; use --settings FILE or --platform")]
    NoSettings,
    /// The daemon on an operator's platform cannot run.
    #[error(transparent)]
    Cluster(#[from] crate::cluster::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; free it or change {field}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Field of the settings that contains the address.
        field: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}; raise the process limits of the VM")]
    Thread(#[from] std::io::Error),
    /// A thread has panicked.
    #[error("a thread of the daemon has panicked; start the daemon again and report its E106")]
    Failed,
    /// The log cannot be set up.
    #[error("cannot set up the log: {0}; start only one daemon in a process")]
    Log(String),
}

fn problems(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Runs the daemon with the arguments of the command line.
///
/// # Errors
///
/// The settings are invalid, an address cannot be listened on, or a thread cannot be
/// started.
pub fn run() -> Result<(), Error> {
    let arguments: Arguments = argh::from_env();
    if arguments.platform && arguments.check {
        println!("{}", crate::cluster::check()?);
        return Ok(());
    }
    if arguments.platform {
        return Ok(crate::cluster::run()?);
    }
    let path = arguments.settings.ok_or(Error::NoSettings)?;
    let settings = Settings::read(&path).map_err(Error::Settings)?;
    if arguments.check {
        println!("{}: the settings are right", path.display());
        return Ok(());
    }
    set_up_log()?;
    panics::report();
    let timer = Timer::spawn()?;
    let daemon = Daemon::spawn(settings, timer.clone())?;
    actix_rt::System::new().block_on(drain_on_signal(&daemon))?;
    Ok(())
}

fn set_up_log() -> Result<(), Error> {
    use log4rs::append::console::{
        ConsoleAppender,
        Target, //
    };
    use log4rs::config::{
        Appender,
        Config,
        Logger,
        Root, //
    };
    use log4rs::encode::pattern::PatternEncoder;
    let pattern = PatternEncoder::new("{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}");
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(pattern))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(Logger::builder().build(env!("CARGO_PKG_NAME"), log::LevelFilter::Info))
        .build(
            Root::builder()
                .appender("console")
                .build(log::LevelFilter::Warn),
        )
        .map_err(|error| Error::Log(error.to_string()))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|error| Error::Log(error.to_string()))
}

/// Drains the daemon on the first signal. Each further signal only logs how many requests
/// are in progress, since ending the process would cut their connections.
async fn drain_on_signal(daemon: &Daemon) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut checks = daemon.timer.interval(DRAIN_CHECK_INTERVAL_MS);
    loop {
        tokio::select! {
            _ = terminate.recv() => daemon.handle_signal(),
            _ = interrupt.recv() => daemon.handle_signal(),
            _ = checks.next() => {
                if daemon.has_failed() {
                    return Err(Error::Failed);
                }
                if daemon.is_drained() {
                    return Ok(());
                }
            }
        }
    }
}

/// Returns the handle of the metrics recorder, which the first call in the process
/// installs.
fn metrics_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // A test may have installed another recorder; this one then stays empty.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}

/// A running daemon.
pub struct Daemon {
    /// Address of the HTTP API.
    pub http_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    status: Arc<Status>,
    timer: Timer,
    /// When `is_drained` first found the daemon draining, in ms; 0 before.
    drain_noticed_ms: std::sync::atomic::AtomicU64,
    shutdown: ShutdownSignal,
}

impl Daemon {
    /// Starts a daemon. Port 0 in the settings selects a free port.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on, or a thread cannot be started.
    pub fn spawn(settings: Settings, timer: Timer) -> Result<Self, Error> {
        Self::spawn_with(settings, timer, Box::new(Owner::handle))
    }

    /// As [`Self::spawn`], with `handle_event` as what the owner does with its events.
    ///
    /// # Errors
    ///
    /// As [`Self::spawn`].
    pub fn spawn_with(
        settings: Settings,
        timer: Timer,
        handle_event: HandleEvent,
    ) -> Result<Self, Error> {
        let http = listen(settings.http_address, "http_address")?;
        let peer = listen(settings.peer_address, "peer_address")?;
        let (http_address, peer_address) = (http.local_addr()?, peer.local_addr()?);
        let status = Arc::new(Status::default());
        let directory = Arc::new(Directory::new(&settings.daemon, &settings.data_centre));
        let settings = Arc::new(settings);
        let owner = Owner::open(owner_settings(&settings, timer.now_ms()));
        let (actions, action_receiver) = mpsc::unbounded_channel();
        let shutdown = ShutdownSignal::default();
        let control = Control::spawn(
            owner,
            handle_event,
            timer.clone(),
            status.clone(),
            actions,
            &shutdown,
        )?;
        let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let shared = Shared {
            settings: settings.clone(),
            status: status.clone(),
            timer: timer.clone(),
            commands,
            metrics: metrics_handle(),
        };
        let traffic_thread = TrafficThread {
            settings,
            status: status.clone(),
            directory,
            timer: timer.clone(),
            control,
        };
        let until_shutdown = shutdown.subscribe();
        spawn_thread("traffic", &shutdown, move || {
            let running = traffic_thread.run(peer, action_receiver, command_receiver);
            actix_rt::System::new().block_on(until_shutdown.run_until(running));
        })?;
        let until_shutdown = shutdown.subscribe();
        spawn_thread("http", &shutdown, move || {
            http_server::serve(http, shared, until_shutdown);
        })?;
        events::log(
            events::DAEMON_STARTED,
            format_args!("http {http_address}, peers {peer_address}"),
        );
        Ok(Self {
            http_address,
            peer_address,
            status,
            timer,
            drain_noticed_ms: Default::default(),
            shutdown,
        })
    }

    fn handle_signal(&self) {
        if self.status.is_draining() {
            let requests = self.status.requests();
            return events::log(
                events::DRAIN_SIGNAL_REPEATED,
                format_args!("{requests} requests"),
            );
        }
        self.drain();
    }

    /// Starts to drain.
    pub fn drain(&self) {
        events::log(events::DRAIN_STARTED, format_args!("{}", self.http_address));
        self.status.drain();
    }

    /// Stops the daemon at once, as the loss of its VM would: nothing is handed over and
    /// its connections are cut. For tests and the demo.
    pub fn kill(&self) {
        self.shutdown.send();
    }

    /// Returns whether the drain is complete: the ownership is handed over, no request is
    /// in progress, and `DRAIN_NOTICE_MS` have passed since the first call that found the
    /// daemon draining.
    pub fn is_drained(&self) -> bool {
        use std::sync::atomic::Ordering::Relaxed;
        if !self.status.is_draining() {
            return false;
        }
        let now_ms = self.timer.now_ms();
        let _ = self
            .drain_noticed_ms
            .compare_exchange(0, now_ms, Relaxed, Relaxed);
        let noticed = now_ms >= self.drain_noticed_ms.load(Relaxed) + DRAIN_NOTICE_MS;
        let drained = noticed && self.status.has_handed_over() && self.status.requests() == 0;
        if drained {
            events::log(
                events::DRAIN_FINISHED,
                format_args!("{}", self.http_address),
            );
        }
        drained
    }

    /// Returns whether a thread of the daemon has panicked, which stops it as a loss of its VM
    /// would.
    pub fn has_failed(&self) -> bool {
        self.shutdown.has_failed()
    }

    /// Whether this daemon owns its data centre.
    pub fn is_owner(&self) -> bool {
        self.status.owner_epoch() > 0
    }

    /// Version of the configuration in force here.
    pub fn configuration_version(&self) -> u64 {
        self.status.configuration_version()
    }
}

fn count_failed_list() {
    metrics::counter!("fuchsiaslip_retries_total", "reason" => "list_silent").increment(1);
}

fn listen(address: SocketAddr, field: &'static str) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).map_err(|source| Error::Listen {
        address,
        field,
        source,
    })?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn owner_settings(settings: &Settings, now_ms: u64) -> OwnerSettings {
    // Two processes must not use the same write id or lease holder name: the ids start
    // at a random number, and the holder's name contains the start time.
    let first_write_id = rand::random::<u64>() >> 1;
    let holder = format!("{}@{now_ms}", settings.daemon);
    let mut owner = OwnerSettings::new(&settings.data_centre, &holder, first_write_id);
    owner.lease_ttl_ms = settings.lease_ttl_ms;
    owner.lease_margin_ms = settings.lease_ttl_ms / 10;
    owner.worker_lease_ms = settings.worker_lease_ms;
    owner.configuration_bound_ms = settings.configuration_bound_ms;
    owner
}

/// The state of the traffic thread, which exchanges data with the platform and peers.
struct TrafficThread {
    settings: Arc<Settings>,
    status: Arc<Status>,
    directory: Arc<Directory>,
    timer: Timer,
    control: Control,
}

impl TrafficThread {
    async fn run(
        self,
        listener: TcpListener,
        actions: mpsc::UnboundedReceiver<crate::owner::Action>,
        commands: mpsc::Receiver<ApiCommand>,
    ) {
        let address = self.settings.platform_address.to_string();
        let platform = HttpBackend::open(&address, self.timer.clone());
        let peers = Peers::open(
            &self.settings.daemon,
            &self.settings.data_centre,
            &self.settings.peer_token,
            self.timer.clone(),
            self.status.clone(),
            self.directory.clone(),
            self.control.clone(),
        );
        let store = platform.store();
        let worker_monitor = WorkerMonitor::open(
            platform.workers(),
            self.timer.clone(),
            self.status.clone(),
            self.directory.clone(),
            peers.clone(),
            self.settings.worker_poll_ms,
            self.settings.worker_lease_ms,
        );
        let watch = Watch {
            store: store.clone(),
            timer: self.timer.clone(),
            status: self.status.clone(),
            directory: self.directory.clone(),
            control: self.control.clone(),
            peers: peers.clone(),
            relay: self.settings.configuration_relay,
        };
        let control = self.control.clone();
        actix_rt::spawn(traffic::run(
            actions,
            store.clone(),
            platform.workers(),
            control,
        ));
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            actix_rt::spawn(peers.clone().accept(listener));
        }
        actix_rt::spawn(watch.run());
        actix_rt::spawn(worker_monitor.run());
        actix_rt::spawn(peers.clone().run_heartbeats());
        let thread = std::rc::Rc::new(self);
        actix_rt::spawn(thread.clone().refresh_lists(platform.membership()));
        actix_rt::spawn(thread.clone().announce_drain(peers.clone()));
        let membership = platform.membership();
        thread
            .serve_commands(commands, peers, store, membership)
            .await;
    }

    /// Reads the platform's lists at regular intervals: the VMs of this data centre, and
    /// less often the daemons of all data centres. Each request carries the entity tag of
    /// the last list, so that an unchanged list is not transferred again.
    async fn refresh_lists(self: std::rc::Rc<Self>, membership: Membership) {
        let mut ticks = self.timer.interval(self.settings.list_ms);
        let (mut members_tag, mut daemons_tag) = (String::new(), String::new());
        for round in 0u64.. {
            self.refresh_members(&membership, &mut members_tag).await;
            if round % DAEMON_LIST_DIVISOR == 0 {
                self.refresh_daemons(&membership, &mut daemons_tag).await;
            }
            ticks.next().await;
        }
    }

    async fn refresh_members(&self, membership: &Membership, tag: &mut String) {
        let scope = ListScope::DataCentre(self.settings.data_centre.clone());
        match membership.list(scope, tag).await {
            ListAnswer::Changed { tag: new, vms } => {
                *tag = new;
                self.directory.set_members(vms.clone());
                let workers = vms.into_iter().filter(|vm| vm.kind == VmKind::Worker);
                let members = Event::Members(workers.collect());
                self.control.send_event(members).await;
            }
            ListAnswer::Unchanged => {}
            ListAnswer::Unavailable => count_failed_list(),
        }
    }

    async fn refresh_daemons(&self, membership: &Membership, tag: &mut String) {
        match membership.list(ListScope::Daemons, tag).await {
            ListAnswer::Changed { tag: new, vms } => {
                *tag = new;
                self.directory.set_daemons(vms);
            }
            ListAnswer::Unchanged => {}
            ListAnswer::Unavailable => count_failed_list(),
        }
    }

    /// Waits for the drain to start, then notifies the peers and the owner.
    async fn announce_drain(self: std::rc::Rc<Self>, peers: Peers) {
        while !self.status.is_draining() {
            self.timer.sleep(DRAIN_CHECK_INTERVAL_MS).await;
        }
        peers.send_heartbeat(self.timer.now_ms());
        self.control.send_event(Event::Drain).await;
    }

    async fn serve_commands(
        self: std::rc::Rc<Self>,
        mut commands: mpsc::Receiver<ApiCommand>,
        peers: Peers,
        store: Store,
        membership: Membership,
    ) {
        while let Some(command) = commands.recv().await {
            let thread = self.clone();
            let (peers, store) = (peers.clone(), store.clone());
            let membership = membership.clone();
            actix_rt::spawn(async move {
                thread
                    .serve_command(command, peers, store, membership)
                    .await;
            });
        }
    }

    async fn serve_command(
        &self,
        command: ApiCommand,
        peers: Peers,
        store: Store,
        membership: Membership,
    ) {
        let now_ms = self.timer.now_ms();
        // In each case the sender of the command may have stopped waiting.
        match command {
            ApiCommand::Route(data_centre, request, reply) => {
                let _ = reply.send(peers.route(&data_centre, request).await);
            }
            ApiCommand::Patch(patch, operator, reply) => {
                let outcome = patch::submit(&store, &membership, &patch, &operator, now_ms).await;
                if let patch::PatchOutcome::Accepted(configuration) = &outcome {
                    let configuration = configuration.as_ref().clone();
                    configuration::put_in_force(&self.status, &self.control, configuration).await;
                    peers.send_heartbeat(self.timer.now_ms());
                }
                let _ = reply.send(outcome);
            }
            ApiCommand::Plan(patch, reply) => {
                let planned = match patch::current(&store).await {
                    Ok((_, current)) => {
                        let checked = patch::check(&current, &membership, &patch, "", now_ms);
                        checked.await.map(|_| current.changes(&patch))
                    }
                    Err(_) => Err(Vec::new()),
                };
                let _ = reply.send(planned);
            }
        }
    }
}
