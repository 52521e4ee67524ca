//! Connections between daemons: requests and responses in length-delimited frames.

use super::carried_connection::CarriedConnection;
use super::carrier_session::OwnerSession;
use super::peer_frame::{
    PeerBody,
    PeerFrame, //
};
use super::worker_call::{
    AddressedCall,
    WorkerAnswer, //
};
use crate::events;
use crate::intake::{
    ConnectionHandle,
    Intake, //
};
use crate::network_bytes::{
    BytePurpose,
    Direction,
    record_bytes, //
};
use crate::timer::Timer;
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::{
    Sink,
    SinkExt,
    StreamExt, //
};
use prost::Message;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

/// Largest frame. A configuration of several thousand queues fits.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Most requests without a response on one connection; further requests fail at once.
const MAX_PENDING: usize = 1_024;

/// Most calls to workers without an answer on one connection: several for each worker that a
/// carrier is given.
const MAX_CALLS: usize = 4_096;

/// Why a call through a carrier got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CarrierError {
    /// The carrier responds, and this call was not answered in time.
    NoAnswer,
    /// The carrier cannot be reached or does not respond at all.
    Disconnected,
}

/// What is shared between a connection and those who wait for responses on it.
struct ConnectionState {
    pending: RefCell<HashMap<u64, oneshot::Sender<PeerBody>>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<WorkerAnswer>>>,
    session: RefCell<OwnerSession>,
    /// When a frame last arrived, or the connection was opened.
    received_ms: Cell<u64>,
}

impl ConnectionState {
    fn open(now_ms: u64) -> Self {
        Self {
            pending: RefCell::default(),
            calls: RefCell::default(),
            session: RefCell::default(),
            received_ms: Cell::new(now_ms),
        }
    }

    /// Passes a response to the one who waits for it. Returns `false` if it cannot be decoded.
    fn handle_response(&self, frame: PeerFrame) -> bool {
        let PeerFrame { id, body } = frame;
        // Whoever waits may have given up.
        match body {
            Some(PeerBody::WorkerAnswer(message)) => {
                let decoded = self.session.borrow_mut().decode(message);
                match decoded {
                    Ok(answer) => {
                        if let Some(waiting) = self.calls.borrow_mut().remove(&id) {
                            drop(waiting.send(answer));
                        }
                    }
                    Err(error) => {
                        events::log(events::FRAME_BROKEN, format_args!("{error}"));
                        return false;
                    }
                }
            }
            Some(body) => {
                if let Some(waiting) = self.pending.borrow_mut().remove(&id) {
                    drop(waiting.send(body));
                }
            }
            // The peer has no response. Dropping the senders tells that.
            None => {
                self.pending.borrow_mut().remove(&id);
                self.calls.borrow_mut().remove(&id);
            }
        }
        true
    }

    /// Tells everybody at once that no response comes.
    fn close(&self) {
        self.pending.borrow_mut().clear();
        self.calls.borrow_mut().clear();
    }
}

#[derive(Clone)]
struct Connection {
    frames: mpsc::UnboundedSender<PeerFrame>,
    state: Rc<ConnectionState>,
}

/// Connections to other daemons, used from one thread.
pub struct Peers {
    timer: Timer,
    next_id: Cell<u64>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

impl Peers {
    /// Creates the connection table; connections are opened on demand.
    pub fn open(timer: Timer) -> Self {
        Self {
            timer,
            next_id: Cell::new(1),
            connections: RefCell::default(),
        }
    }

    /// Sends a request and waits for the response; `None` when none arrived within
    /// `timeout_ms`. The next request then opens a new connection, since this one may
    /// never carry data again.
    pub async fn request(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout_ms: u64,
    ) -> Option<PeerBody> {
        let sent_ms = self.timer.now_ms();
        let connection = self.connection(address);
        let id = self.next_id();
        let (answer, answered) = oneshot::channel();
        if connection.state.pending.borrow().len() >= MAX_PENDING {
            metrics::counter!("fuchsiaslip_peer_refusals_total", "reason" => "too_many_waiting")
                .increment(1);
            return None;
        }
        connection.state.pending.borrow_mut().insert(id, answer);
        let frame = PeerFrame {
            id,
            body: Some(body),
        };
        if connection.frames.send(frame).is_err() {
            self.disconnect(address, &connection);
            return None;
        }
        match self.timer.timeout(timeout_ms, answered).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "peer_silent")
                    .increment(1);
                connection.state.pending.borrow_mut().remove(&id);
                // A carrier that answers other requests is not disconnected for this one.
                if connection.state.received_ms.get() <= sent_ms {
                    self.disconnect(address, &connection);
                }
                None
            }
        }
    }

    /// Has a carrier make a call to a worker, and waits for the worker's answer.
    ///
    /// # Errors
    ///
    /// No answer came within `timeout_ms`, or the carrier does not respond.
    pub async fn call_worker(
        &self,
        carrier: SocketAddr,
        call: &AddressedCall,
        timeout_ms: u64,
    ) -> Result<WorkerAnswer, CarrierError> {
        let sent_ms = self.timer.now_ms();
        let mut connection = self.connection(carrier);
        if connection.state.session.borrow().is_full() {
            self.disconnect(carrier, &connection);
            connection = self.connection(carrier);
        }
        if connection.state.calls.borrow().len() >= MAX_CALLS {
            metrics::counter!("fuchsiaslip_peer_refusals_total", "reason" => "too_many_waiting")
                .increment(1);
            return Err(CarrierError::NoAnswer);
        }
        let id = self.next_id();
        let (answer, answered) = oneshot::channel();
        connection.state.calls.borrow_mut().insert(id, answer);
        let message = connection.state.session.borrow_mut().encode(call);
        let frame = PeerFrame {
            id,
            body: Some(PeerBody::WorkerCall(message)),
        };
        if connection.frames.send(frame).is_err() {
            self.disconnect(carrier, &connection);
            return Err(CarrierError::Disconnected);
        }
        match self.timer.timeout(timeout_ms, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CarrierError::Disconnected),
            Err(_) => {
                connection.state.calls.borrow_mut().remove(&id);
                if connection.state.received_ms.get() > sent_ms {
                    return Err(CarrierError::NoAnswer);
                }
                self.disconnect(carrier, &connection);
                Err(CarrierError::Disconnected)
            }
        }
    }

    fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Closes a connection, so that the next request opens another.
    fn disconnect(&self, address: SocketAddr, connection: &Connection) {
        connection.state.close();
        let mut connections = self.connections.borrow_mut();
        let current = connections.get(&address);
        if current.is_some_and(|current| Rc::ptr_eq(&current.state, &connection.state)) {
            connections.remove(&address);
        }
    }

    fn connection(&self, address: SocketAddr) -> Connection {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&address)
            && !connection.frames.is_closed()
        {
            return connection.clone();
        }
        let (frames, outgoing) = mpsc::unbounded_channel();
        let connection = Connection {
            frames,
            state: Rc::new(ConnectionState::open(self.timer.now_ms())),
        };
        let state = connection.state.clone();
        let timer = self.timer.clone();
        actix_rt::spawn(async move {
            let connecting = TcpStream::connect(address);
            if let Ok(Ok(stream)) = timer.timeout(CONNECT_TIMEOUT_MS, connecting).await {
                run_connection(stream, outgoing, &state, &timer).await;
            }
            state.close();
        });
        connections.insert(address, connection.clone());
        connection
    }

    /// Accepts connections on `listener` and responds to requests with `answer`, which returns
    /// `None` if a connection is of no use any more.
    pub async fn serve<F, A>(intake: Intake, listener: Rc<TcpListener>, answer: F)
    where
        F: Fn(Rc<CarriedConnection>, PeerBody) -> Option<A> + Clone + 'static,
        A: Future<Output = Option<PeerBody>> + 'static,
    {
        loop {
            let stream = intake.accept(&listener).await;
            let admission = intake.admit().await;
            let answer = answer.clone();
            actix_rt::spawn(async move {
                let connection = admission.connection().clone();
                admission
                    .run(serve_connection(stream, connection, answer))
                    .await;
            });
        }
    }
}

/// Sends requests and receives responses until either side closes the connection.
async fn run_connection(
    stream: TcpStream,
    mut outgoing: mpsc::UnboundedReceiver<PeerFrame>,
    state: &ConnectionState,
    timer: &Timer,
) {
    // Frames are small and each waits for a response, so Nagle's delay would add up.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let mut framed = framed(stream);
    loop {
        tokio::select! {
            frame = outgoing.recv() => {
                let Some(frame) = frame else { return };
                if send_frames(&mut framed, frame, &mut outgoing).await.is_err() {
                    return;
                }
            }
            received = framed.next() => {
                let Some(Ok(bytes)) = received else { return };
                record_bytes(BytePurpose::Peer, Direction::In, bytes.len());
                state.received_ms.set(timer.now_ms());
                let Some(frame) = decode_frame(bytes) else { return };
                if !state.handle_response(frame) {
                    return;
                }
            }
        }
    }
}

/// Sends a frame, and those that are waiting behind it, with one flush.
async fn send_frames<S>(
    sink: &mut S,
    first: PeerFrame,
    waiting: &mut mpsc::UnboundedReceiver<PeerFrame>,
) -> Result<(), S::Error>
where
    S: Sink<Bytes> + Unpin,
{
    let mut next = Some(first);
    while let Some(frame) = next {
        let bytes = frame.encode_to_vec();
        record_bytes(BytePurpose::Peer, Direction::Out, bytes.len());
        sink.feed(Bytes::from(bytes)).await?;
        next = waiting.try_recv().ok();
    }
    sink.flush().await
}

fn decode_frame(bytes: BytesMut) -> Option<PeerFrame> {
    match PeerFrame::decode(bytes) {
        Ok(frame) => Some(frame),
        Err(error) => {
            events::log(events::FRAME_BROKEN, format_args!("{error}"));
            None
        }
    }
}

/// Responds to the requests on a connection. From its first frame on, it is not closed for
/// others.
async fn serve_connection<F, A>(stream: TcpStream, handle: ConnectionHandle, answer: F)
where
    F: Fn(Rc<CarriedConnection>, PeerBody) -> Option<A> + Clone + 'static,
    A: Future<Output = Option<PeerBody>> + 'static,
{
    let mut in_use = None;
    let connection = Rc::new(CarriedConnection::default());
    let (mut sink, mut frames) = framed(stream).split();
    let (answers, mut answered) = mpsc::unbounded_channel::<PeerFrame>();
    actix_rt::spawn(async move {
        while let Some(frame) = answered.recv().await {
            if send_frames(&mut sink, frame, &mut answered).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(bytes)) = frames.next().await {
        record_bytes(BytePurpose::Peer, Direction::In, bytes.len());
        let Some(PeerFrame {
            id,
            body: Some(body),
        }) = decode_frame(bytes)
        else {
            return;
        };
        in_use.get_or_insert_with(|| handle.begin_request(None));
        let Some(answering) = answer(connection.clone(), body) else {
            return;
        };
        let answers = answers.clone();
        actix_rt::spawn(async move {
            let body = answering.await;
            // The peer may have disconnected; it then asks another daemon. Nothing is awaited
            // in between, so answers of workers are sent in the order of their encoding.
            drop(answers.send(PeerFrame { id, body }));
        });
    }
}

/// The number that stands for a job's status in a frame; 0 for an unknown job.
pub fn status_code(status: Option<crate::scheduler::JobStatus>) -> u32 {
    use crate::scheduler::JobStatus;
    match status {
        None => 0,
        Some(JobStatus::Queued) => 1,
        Some(JobStatus::Running) => 2,
        Some(JobStatus::Completed) => 3,
        Some(JobStatus::Failed) => 4,
        Some(JobStatus::Cancelled) => 5,
    }
}

/// The status that a number of [`status_code`] stands for.
pub fn status_from_code(code: u32) -> Option<crate::scheduler::JobStatus> {
    use crate::scheduler::JobStatus;
    match code {
        1 => Some(JobStatus::Queued),
        2 => Some(JobStatus::Running),
        3 => Some(JobStatus::Completed),
        4 => Some(JobStatus::Failed),
        5 => Some(JobStatus::Cancelled),
        _ => None,
    }
}
