//! Connections between daemons: signs of life, passed-on requests, news.

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

/// Frames that may wait for one connection before requests fail.
const LINK_QUEUE_LENGTH: usize = 1_024;
const CONNECT_TIMEOUT_MS: u64 = 500;
const HELLO_TIMEOUT_MS: u64 = 2_000;
const OWNER_HEARTBEAT_MS: u64 = 500;
/// Every other daemon's heartbeat is this many times rarer than the owner's.
const HEARTBEAT_DIVISOR: u64 = 2;
/// A request is passed on at most so often.
const MAX_HOPS: u32 = 2;
/// How long a request waits for a change of owner before it is given up.
const OWNER_WAIT_MS: u64 = 4_000;
const OWNER_RETRY_MS: u64 = 150;

enum LinkMessage {
    Heartbeat(Heartbeat),
    Request(RequestFrame, oneshot::Sender<ReplyBody>),
}

/// What the connections of one daemon need; lives on the traffic thread.
#[derive(Clone)]
pub struct Peers {
    shared: Rc<Shared>,
}

struct Shared {
    daemon: String,
    data_centre: String,
    token: Bytes,
    timer: Timer,
    status: Arc<Status>,
    directory: Arc<Directory>,
    control: Control,
    links: RefCell<HashMap<String, mpsc::Sender<LinkMessage>>>,
    turn: RefCell<usize>,
}

impl Peers {
    /// Opens the connections' state; nothing is connected yet.
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
                links: RefCell::default(),
                turn: RefCell::default(),
            }),
        }
    }

    /// Accepts connections until the process ends.
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

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut framed = Framed::new(stream, Framing::default());
        let first = self
            .shared
            .timer
            .timeout(HELLO_TIMEOUT_MS, framed.next())
            .await;
        let known = match first {
            Ok(Some(Ok(Frame {
                kind: Some(FrameKind::Hello(hello)),
            }))) => bool::from(hello.token.ct_eq(&self.shared.token)),
            _ => false,
        };
        if !known {
            metrics::counter!("fuchsiaslip_peers_refused_total").increment(1);
            return events::log(events::PEER_REFUSED, format_args!("no valid hello"));
        }
        let (replies, mut outgoing) = mpsc::channel::<Frame>(LINK_QUEUE_LENGTH);
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
                Ok(frame) => self.take(frame, &replies),
                Err(error) => {
                    metrics::counter!("fuchsiaslip_broken_frames_total").increment(1);
                    events::log(events::FRAME_BROKEN, format_args!("{error}"));
                    return;
                }
            }
        }
    }

    fn take(&self, frame: Frame, replies: &mpsc::Sender<Frame>) {
        match frame.kind {
            Some(FrameKind::Heartbeat(heartbeat)) => self.heartbeat(heartbeat),
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
                    // A peer that has gone away asks again elsewhere.
                    let _ = replies.send(FrameKind::Reply(reply).into()).await;
                });
            }
            _ => {}
        }
    }

    fn heartbeat(&self, heartbeat: Heartbeat) {
        let now_ms = self.shared.timer.now_ms();
        let own = self.shared.status.configuration_version();
        if heartbeat.configuration_version == own && own > 0 {
            let confirmed_ms = now_ms.saturating_sub(heartbeat.confirmed_age_ms);
            let peers = self.clone();
            actix_rt::spawn(async move { peers.confirm(confirmed_ms).await });
        }
        if heartbeat.configuration_version > own {
            let peers = self.clone();
            let daemon = heartbeat.daemon.clone();
            actix_rt::spawn(async move { peers.fetch_configuration(&daemon).await });
        }
        self.shared.directory.heard(heartbeat, now_ms);
    }

    async fn confirm(&self, asked_ms: u64) {
        self.shared.status.confirm(asked_ms);
        let confirmed = Event::ConfigurationConfirmed { asked_ms };
        self.shared.control.event(confirmed).await;
    }

    async fn fetch_configuration(&self, daemon: &str) {
        let peers = self.shared.directory.peers();
        let Some(peer) = peers.into_iter().find(|vm| vm.name == daemon) else {
            return;
        };
        let body = RequestBody::Configuration(true);
        let Some(ReplyBody::Configuration(body)) = self.ask(&peer.address, body, 0).await else {
            return;
        };
        if let Some(configuration) = configuration::decode(&body.value) {
            configuration::put_in_force(&self.shared.status, &self.shared.control, configuration)
                .await;
        }
    }

    async fn answer(&self, request: RequestFrame) -> ReplyBody {
        let control = &self.shared.control;
        match request.body {
            Some(RequestBody::WorkerUpdate(body)) => {
                let Some((worker, update)) = body.into_update() else {
                    return ReplyBody::NotFound(true);
                };
                match control
                    .acknowledged(Event::WorkerUpdate { worker, update })
                    .await
                {
                    true => ReplyBody::Taken(true),
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
                Some(wanted) => self.owner_reply(wanted, request.hops).await.into(),
                None => ReplyBody::NotFound(true),
            },
            None => ReplyBody::NotFound(true),
        }
    }

    /// Asks the owner of this data centre, wherever it is now.
    async fn owner_reply(&self, request: Request, hops: u32) -> Reply {
        if self.shared.status.owner_epoch() > 0 {
            return self.shared.control.request(request).await;
        }
        let owner = self.shared.directory.owner(self.shared.timer.now_ms());
        let Some((address, _, _)) = owner.filter(|_| hops < MAX_HOPS) else {
            return Reply::NotOwner;
        };
        let body = self.ask(&address, request.into(), hops + 1).await;
        body.and_then(ReplyBody::into_reply)
            .unwrap_or(Reply::OutcomeUnknown)
    }

    /// Carries a request to the owner of a data centre. While the ownership
    /// changes the request is tried again: a submission carries its key, so
    /// that the job is accepted once however often it is asked for.
    pub async fn route(&self, data_centre: &str, request: Request) -> Reply {
        let until_ms = self.shared.timer.now_ms() + OWNER_WAIT_MS;
        let mut unknown = false;
        loop {
            let reply = self.route_once(data_centre, request.clone()).await;
            match reply {
                Reply::NotOwner => {}
                Reply::OutcomeUnknown => unknown = true,
                // An earlier try of this request may have been accepted by an
                // owner that is gone: "not run" would be a guess.
                Reply::Refused(_) if unknown => {}
                reply => return reply,
            }
            if self.shared.timer.now_ms() >= until_ms {
                return match unknown {
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
        let body = self.ask(&address, request.into(), 0).await;
        body.and_then(ReplyBody::into_reply)
            .unwrap_or(Reply::OutcomeUnknown)
    }

    /// Delivers news to the owner; says whether an owner took it in.
    pub async fn deliver(&self, body: crate::wire::WorkerUpdateBody) -> bool {
        if self.shared.status.owner_epoch() > 0 {
            let Some((worker, update)) = body.into_update() else {
                return true;
            };
            let event = Event::WorkerUpdate { worker, update };
            return self.shared.control.acknowledged(event).await;
        }
        let owner = self.shared.directory.owner(self.shared.timer.now_ms());
        let Some((address, _, _)) = owner else {
            return false;
        };
        let reply = self.ask(&address, RequestBody::WorkerUpdate(body), 0).await;
        matches!(reply, Some(ReplyBody::Taken(_)))
    }

    async fn ask(&self, address: &str, body: RequestBody, hops: u32) -> Option<ReplyBody> {
        let (reply, wait) = oneshot::channel();
        let frame = RequestFrame {
            number: 0,
            hops,
            body: Some(body),
        };
        let link = self.link(address);
        link.try_send(LinkMessage::Request(frame, reply)).ok()?;
        wait.await.ok()
    }

    fn link(&self, address: &str) -> mpsc::Sender<LinkMessage> {
        let mut links = self.shared.links.borrow_mut();
        if let Some(link) = links.get(address).filter(|link| !link.is_closed()) {
            return link.clone();
        }
        let (sender, messages) = mpsc::channel(LINK_QUEUE_LENGTH);
        links.insert(address.to_owned(), sender.clone());
        actix_rt::spawn(self.clone().run_link(address.to_owned(), messages));
        sender
    }

    /// One connection; when it breaks, its requests fail and the next message
    /// opens another.
    async fn run_link(self, address: String, mut messages: mpsc::Receiver<LinkMessage>) {
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
        let mut waiting: HashMap<u64, oneshot::Sender<ReplyBody>> = HashMap::new();
        let mut next_number = 0;
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let kind = match message {
                        None => return,
                        Some(LinkMessage::Heartbeat(heartbeat)) => FrameKind::Heartbeat(heartbeat),
                        Some(LinkMessage::Request(mut frame, reply)) => {
                            next_number += 1;
                            frame.number = next_number;
                            waiting.insert(next_number, reply);
                            FrameKind::Request(frame)
                        }
                    };
                    if sink.send(kind.into()).await.is_err() {
                        return;
                    }
                }
                frame = frames.next() => match frame {
                    Some(Ok(Frame { kind: Some(FrameKind::Reply(reply)) })) => {
                        let asker = waiting.remove(&reply.number);
                        if let (Some(asker), Some(body)) = (asker, reply.body) {
                            // The asker may have given up waiting.
                            let _ = asker.send(body);
                        }
                    }
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => return,
                },
            }
        }
    }

    /// Tells the peers of the data centre that this daemon lives, and decides
    /// whether it should try to become owner.
    pub async fn beat(self) {
        let started_ms = self.shared.timer.now_ms();
        let mut last_owner_ms = started_ms;
        let mut told_version = 0;
        let mut round = 0;
        let mut ticks = self.shared.timer.interval(OWNER_HEARTBEAT_MS);
        loop {
            let now_ms = ticks.next().await;
            round += 1;
            let status = &self.shared.status;
            let is_owner = status.owner_epoch() > 0;
            let version = status.configuration_version();
            if is_owner || version != told_version || round % HEARTBEAT_DIVISOR == 0 {
                told_version = version;
                self.tell_peers(now_ms);
            }
            let owner = self.shared.directory.owner(now_ms);
            if is_owner || owner.is_some() {
                last_owner_ms = now_ms;
            }
            let patience_ms = OWNER_HEARTBEAT_MS * self.shared.directory.rank(now_ms);
            let is_candidate = is_owner || now_ms >= last_owner_ms + patience_ms && owner.is_none();
            self.shared
                .control
                .event(Event::Candidacy(is_candidate))
                .await;
        }
    }

    /// Sends one heartbeat to every peer of the data centre.
    pub fn tell_peers(&self, now_ms: u64) {
        let status = &self.shared.status;
        let heartbeat = Heartbeat {
            daemon: self.shared.daemon.clone(),
            owner_epoch: status.owner_epoch(),
            configuration_version: status.configuration_version(),
            confirmed_age_ms: now_ms.saturating_sub(status.confirmed_ms()),
            draining: status.is_draining(),
        };
        for peer in self.shared.directory.peers() {
            let message = LinkMessage::Heartbeat(heartbeat.clone());
            // A full queue means a stuck peer; it misses a heartbeat.
            let _ = self.link(&peer.address).try_send(message);
        }
    }
}
