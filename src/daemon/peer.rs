//! Connections between daemons, which carry heartbeats, forwarded requests and worker
//! updates.

use super::configuration;
use super::control::Control;
use super::directory::Directory;
use super::status::Status;
use crate::events;
use crate::owner::{
    Event,
    Reply,
    Request, //
};
use crate::timer::Timer;
use crate::wire::{
    ConfigurationBody,
    Frame,
    FrameKind,
    Framing,
    Heartbeat,
    Hello,
    ReplyBody,
    ReplyFrame,
    RequestBody,
    RequestFrame, //
};
use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_util::codec::Framed;

/// Frames that may wait for one connection. While the queue is full, requests fail and
/// heartbeats are dropped.
const CONNECTION_QUEUE_LENGTH: usize = 1_024;
const CONNECT_TIMEOUT_MS: u64 = 500;
const HELLO_TIMEOUT_MS: u64 = 2_000;
/// Interval of the owner's heartbeats.
const OWNER_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// The heartbeat interval of other daemons is this many times the owner's.
const HEARTBEAT_DIVISOR: u64 = 2;
/// Maximum number of times that a request is forwarded to the presumed owner.
const MAX_HOPS: u32 = 2;
/// How long a request is retried while the data centre changes its owner.
const OWNER_WAIT_MS: u64 = 4_000;
const OWNER_RETRY_MS: u64 = 150;

enum ConnectionMessage {
    Heartbeat(Heartbeat),
    Request(RequestFrame, oneshot::Sender<ReplyBody>),
}

/// The connections of one daemon to its peers; used only on the traffic thread.
#[derive(Clone)]
pub struct Peers {
    shared: Rc<Shared>,
}

struct Shared {
    daemon: String,
    data_centre: String,
    /// Digest of the token that all daemons share.
    token: Bytes,
    timer: Timer,
    status: Arc<Status>,
    directory: Arc<Directory>,
    control: Control,
    /// Outgoing connections by address.
    connections: RefCell<HashMap<String, mpsc::Sender<ConnectionMessage>>>,
    /// Incremented with each request to another data centre, to rotate over its daemons.
    turn: RefCell<usize>,
}

impl Peers {
    /// Creates the shared state; no connection is opened yet.
    pub fn open(
        daemon: &str,
        data_centre: &str,
        token: &str,
        timer: Timer,
        status: Arc<Status>,
        directory: Arc<Directory>,
        control: Control,
    ) -> Self {
        let token = super::auth::token_digest(token).into_bytes().into();
        Self {
            shared: Rc::new(Shared {
                daemon: daemon.to_owned(),
                data_centre: data_centre.to_owned(),
                token,
                timer,
                status,
                directory,
                control,
                connections: RefCell::default(),
                turn: RefCell::default(),
            }),
        }
    }

    /// Accepts connections until the daemon stops.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(self.clone().serve(stream));
                }
                Err(_) => {
                    self.shared.timer.sleep(OWNER_RETRY_MS).await;
                }
            }
        }
    }

    /// Serves one incoming connection, which has to begin with a valid hello.
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, Framing::default());
        let first = self
            .shared
            .timer
            .timeout(HELLO_TIMEOUT_MS, framed.next())
            .await;
        let is_authenticated = match first {
            Ok(Some(Ok(Frame {
                kind: Some(FrameKind::Hello(hello)),
            }))) => bool::from(hello.token.ct_eq(&self.shared.token)),
            _ => false,
        };
        if !is_authenticated {
            metrics::counter!("fuchsiaslip_peers_refused_total").increment(1);
            return events::log(events::PEER_REFUSED, format_args!("no valid hello"));
        }
        let (replies, mut outgoing) = mpsc::channel::<Frame>(CONNECTION_QUEUE_LENGTH);
        let (mut sink, mut stream) = framed.split();
        actix_rt::spawn(async move {
            while let Some(frame) = outgoing.recv().await {
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
        });
        while let Some(frame) = stream.next().await {
            match frame {
                Ok(frame) => self.handle_frame(frame, &replies),
                Err(error) => {
                    metrics::counter!("fuchsiaslip_broken_frames_total").increment(1);
                    events::log(events::FRAME_BROKEN, format_args!("{error}"));
                    return;
                }
            }
        }
    }

    fn handle_frame(&self, frame: Frame, replies: &mpsc::Sender<Frame>) {
        match frame.kind {
            Some(FrameKind::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat),
            Some(FrameKind::Request(request)) => {
                let peers = self.clone();
                let replies = replies.clone();
                actix_rt::spawn(async move {
                    let number = request.number;
                    let body = peers.answer(request).await;
                    let reply = ReplyFrame {
                        number,
                        body: Some(body),
                    };
                    // If the connection has closed, the peer retries elsewhere.
                    let _ = replies.send(FrameKind::Reply(reply).into()).await;
                });
            }
            _ => {}
        }
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        let now_ms = self.shared.timer.now_ms();
        let own_version = self.shared.status.configuration_version();
        if heartbeat.configuration_version == own_version && own_version > 0 {
            let confirmed_ms = now_ms.saturating_sub(heartbeat.confirmed_age_ms);
            let peers = self.clone();
            actix_rt::spawn(async move { peers.confirm_configuration(confirmed_ms).await });
        }
        if heartbeat.configuration_version > own_version {
            let peers = self.clone();
            let daemon = heartbeat.daemon.clone();
            actix_rt::spawn(async move { peers.fetch_configuration(&daemon).await });
        }
        self.shared.directory.record_heartbeat(heartbeat, now_ms);
    }

    async fn confirm_configuration(&self, requested_ms: u64) {
        self.shared.status.confirm(requested_ms);
        let confirmed = Event::ConfigurationConfirmed { requested_ms };
        self.shared.control.send_event(confirmed).await;
    }

    async fn fetch_configuration(&self, daemon: &str) {
        let peers = self.shared.directory.peers();
        let Some(peer) = peers.into_iter().find(|vm| vm.name == daemon) else {
            return;
        };
        let body = RequestBody::Configuration(true);
        let Some(ReplyBody::Configuration(body)) = self.send_request(&peer.address, body, 0).await
        else {
            return;
        };
        if let Some(configuration) = configuration::decode(&body.value) {
            configuration::put_in_force(&self.shared.status, &self.shared.control, configuration)
                .await;
        }
    }

    /// Answers a request of another daemon.
    async fn answer(&self, request: RequestFrame) -> ReplyBody {
        let control = &self.shared.control;
        match request.body {
            Some(RequestBody::WorkerUpdate(body)) => {
                let Some((worker, update)) = body.into_update() else {
                    return ReplyBody::NotFound(true);
                };
                match control
                    .send_event_acknowledged(Event::WorkerUpdate { worker, update })
                    .await
                {
                    true => ReplyBody::UpdateHandled(true),
                    false => ReplyBody::NotOwner(true),
                }
            }
            Some(RequestBody::Configuration(_)) => {
                let configuration = self.shared.status.configuration();
                let value = configuration
                    .map(|c| configuration::encode(&c))
                    .unwrap_or_default();
                ReplyBody::Configuration(ConfigurationBody { value })
            }
            Some(body) => match body.into_request() {
                Some(owner_request) => self.owner_reply(owner_request, request.hops).await.into(),
                None => ReplyBody::NotFound(true),
            },
            None => ReplyBody::NotFound(true),
        }
    }

    /// Sends a request to the owner of this data centre, which may be this daemon.
    async fn owner_reply(&self, request: Request, hops: u32) -> Reply {
        if self.shared.status.owner_epoch() > 0 {
            return self.shared.control.request(request).await;
        }
        let owner = self.shared.directory.owner(self.shared.timer.now_ms());
        let Some((address, _, _)) = owner.filter(|_| hops < MAX_HOPS) else {
            return Reply::NotOwner;
        };
        let body = self.send_request(&address, request.into(), hops + 1).await;
        body.and_then(ReplyBody::into_reply)
            .unwrap_or(Reply::OutcomeUnknown)
    }

    /// Sends a request to the owner of a data centre and retries it while the ownership
    /// changes. Retries are safe because a submission carries its idempotency key: the
    /// job is accepted once, however often the request is sent.
    pub async fn route(&self, data_centre: &str, request: Request) -> Reply {
        let until_ms = self.shared.timer.now_ms() + OWNER_WAIT_MS;
        let mut outcome_unknown = false;
        loop {
            let reply = self.route_once(data_centre, request.clone()).await;
            match reply {
                Reply::NotOwner => {}
                Reply::OutcomeUnknown => outcome_unknown = true,
                // A previous owner may have accepted an earlier copy of this request,
                // so this refusal does not prove that the job did not run.
                Reply::Refused(_) if outcome_unknown => {}
                reply => return reply,
            }
            if self.shared.timer.now_ms() >= until_ms {
                return match outcome_unknown {
                    true => Reply::OutcomeUnknown,
                    false => Reply::NotOwner,
                };
            }
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "owner_changed")
                .increment(1);
            self.shared.timer.sleep(OWNER_RETRY_MS).await;
        }
    }

    async fn route_once(&self, data_centre: &str, request: Request) -> Reply {
        if data_centre == self.shared.data_centre {
            return self.owner_reply(request, 0).await;
        }
        let turn = {
            let mut turn = self.shared.turn.borrow_mut();
            *turn += 1;
            *turn
        };
        let Some(address) = self.shared.directory.daemon_in(data_centre, turn) else {
            return Reply::NotOwner;
        };
        let body = self.send_request(&address, request.into(), 0).await;
        body.and_then(ReplyBody::into_reply)
            .unwrap_or(Reply::OutcomeUnknown)
    }

    /// Delivers a worker update to the owner and returns whether an owner handled it. On
    /// the owner, an update that cannot be decoded is dropped and counts as handled.
    pub async fn deliver(&self, body: crate::wire::WorkerUpdateBody) -> bool {
        if self.shared.status.owner_epoch() > 0 {
            let Some((worker, update)) = body.into_update() else {
                return true;
            };
            let event = Event::WorkerUpdate { worker, update };
            return self.shared.control.send_event_acknowledged(event).await;
        }
        let owner = self.shared.directory.owner(self.shared.timer.now_ms());
        let Some((address, _, _)) = owner else {
            return false;
        };
        let reply = self
            .send_request(&address, RequestBody::WorkerUpdate(body), 0)
            .await;
        matches!(reply, Some(ReplyBody::UpdateHandled(_)))
    }

    async fn send_request(&self, address: &str, body: RequestBody, hops: u32) -> Option<ReplyBody> {
        let (reply, receiver) = oneshot::channel();
        let frame = RequestFrame {
            number: 0,
            hops,
            body: Some(body),
        };
        let connection = self.connection(address);
        connection
            .try_send(ConnectionMessage::Request(frame, reply))
            .ok()?;
        receiver.await.ok()
    }

    /// Returns the connection to `address`; opens one if there is none.
    fn connection(&self, address: &str) -> mpsc::Sender<ConnectionMessage> {
        let mut connections = self.shared.connections.borrow_mut();
        if let Some(connection) = connections
            .get(address)
            .filter(|connection| !connection.is_closed())
        {
            return connection.clone();
        }
        let (sender, messages) = mpsc::channel(CONNECTION_QUEUE_LENGTH);
        connections.insert(address.to_owned(), sender.clone());
        actix_rt::spawn(self.clone().run_connection(address.to_owned(), messages));
        sender
    }

    /// Runs one connection. When it breaks, its pending requests fail, and the next
    /// message opens a new connection.
    async fn run_connection(
        self,
        address: String,
        mut messages: mpsc::Receiver<ConnectionMessage>,
    ) {
        let connecting = TcpStream::connect(&address);
        let connected = self
            .shared
            .timer
            .timeout(CONNECT_TIMEOUT_MS, connecting)
            .await;
        let Ok(Ok(stream)) = connected else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (mut sink, mut frames) = Framed::new(stream, Framing::default()).split();
        let hello = Hello {
            token: self.shared.token.clone(),
            daemon: self.shared.daemon.clone(),
        };
        if sink.send(FrameKind::Hello(hello).into()).await.is_err() {
            return;
        }
        let mut pending: HashMap<u64, oneshot::Sender<ReplyBody>> = HashMap::new();
        let mut next_number = 0;
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let kind = match message {
                        None => return,
                        Some(ConnectionMessage::Heartbeat(heartbeat)) => FrameKind::Heartbeat(heartbeat),
                        Some(ConnectionMessage::Request(mut frame, reply)) => {
                            next_number += 1;
                            frame.number = next_number;
                            pending.insert(next_number, reply);
                            FrameKind::Request(frame)
                        }
                    };
                    if sink.send(kind.into()).await.is_err() {
                        return;
                    }
                }
                frame = frames.next() => match frame {
                    Some(Ok(Frame { kind: Some(FrameKind::Reply(reply)) })) => {
                        let reply_sender = pending.remove(&reply.number);
                        if let (Some(reply_sender), Some(body)) = (reply_sender, reply.body) {
                            // The sender may have stopped waiting.
                            let _ = reply_sender.send(body);
                        }
                    }
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => return,
                },
            }
        }
    }

    /// Sends heartbeats to the peers of the data centre and decides whether this daemon
    /// should try to become owner. Does not return.
    pub async fn run_heartbeats(self) {
        let started_ms = self.shared.timer.now_ms();
        let mut last_owner_ms = started_ms;
        let mut announced_version = 0;
        let mut round = 0;
        let mut ticks = self.shared.timer.interval(OWNER_HEARTBEAT_INTERVAL_MS);
        loop {
            let now_ms = ticks.next().await;
            round += 1;
            let status = &self.shared.status;
            let is_owner = status.owner_epoch() > 0;
            let version = status.configuration_version();
            if is_owner || version != announced_version || round % HEARTBEAT_DIVISOR == 0 {
                announced_version = version;
                self.send_heartbeat(now_ms);
            }
            let owner = self.shared.directory.owner(now_ms);
            if is_owner || owner.is_some() {
                last_owner_ms = now_ms;
            }
            let rank_delay_ms = OWNER_HEARTBEAT_INTERVAL_MS * self.shared.directory.rank(now_ms);
            let is_candidate =
                is_owner || now_ms >= last_owner_ms + rank_delay_ms && owner.is_none();
            self.shared
                .control
                .send_event(Event::Candidacy(is_candidate))
                .await;
        }
    }

    /// Sends one heartbeat to every peer of the data centre.
    pub fn send_heartbeat(&self, now_ms: u64) {
        let status = &self.shared.status;
        let heartbeat = Heartbeat {
            daemon: self.shared.daemon.clone(),
            owner_epoch: status.owner_epoch(),
            configuration_version: status.configuration_version(),
            confirmed_age_ms: now_ms.saturating_sub(status.confirmed_ms()),
            draining: status.is_draining(),
        };
        for peer in self.shared.directory.peers() {
            let message = ConnectionMessage::Heartbeat(heartbeat.clone());
            // A full queue means that the peer is stuck; it misses this heartbeat.
            let _ = self.connection(&peer.address).try_send(message);
        }
    }
}
