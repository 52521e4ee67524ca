//! Connections between daemons: requests and responses in length-delimited frames.

use super::peer_frame::{
    PeerBody,
    PeerFrame, //
};
use crate::timer::Timer;
use crate::traffic::{
    Direction,
    TrafficKind,
    record_bytes, //
};
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

type PendingRequests = Rc<RefCell<HashMap<u64, oneshot::Sender<PeerBody>>>>;

#[derive(Clone)]
struct Connection {
    frames: mpsc::UnboundedSender<PeerFrame>,
    pending: PendingRequests,
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
        let connection = self.connection(address);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (answer, answered) = oneshot::channel();
        if connection.pending.borrow().len() >= MAX_PENDING {
            metrics::counter!("fuchsiaslip_peer_refusals_total", "reason" => "too_many_waiting")
                .increment(1);
            return None;
        }
        connection.pending.borrow_mut().insert(id, answer);
        let frame = PeerFrame {
            id,
            body: Some(body),
        };
        if connection.frames.send(frame).is_err() {
            self.connections.borrow_mut().remove(&address);
            return None;
        }
        match self.timer.timeout(timeout_ms, answered).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "peer_silent")
                    .increment(1);
                self.connections.borrow_mut().remove(&address);
                None
            }
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
            pending: PendingRequests::default(),
        };
        let pending = connection.pending.clone();
        let timer = self.timer.clone();
        actix_rt::spawn(async move {
            let connecting = TcpStream::connect(address);
            if let Ok(Ok(stream)) = timer.timeout(CONNECT_TIMEOUT_MS, connecting).await {
                run_connection(stream, outgoing, &pending).await;
            }
            // Dropping the senders tells the callers at once that no response comes.
            pending.borrow_mut().clear();
        });
        connections.insert(address, connection.clone());
        connection
    }

    /// Accepts connections on `listener` and responds to requests with `answer`.
    pub async fn serve<F, A>(listener: TcpListener, answer: F)
    where
        F: Fn(PeerBody) -> A + Clone + 'static,
        A: Future<Output = Option<PeerBody>> + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve_connection(stream, answer.clone()));
                }
                // For example, out of file descriptors. The open connections are not
                // affected.
                Err(error) => {
                    log::debug!("cannot accept a peer's connection: {error}");
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

/// Sends requests and receives responses until either side closes the connection.
async fn run_connection(
    stream: TcpStream,
    mut outgoing: mpsc::UnboundedReceiver<PeerFrame>,
    pending: &PendingRequests,
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
                record_bytes(TrafficKind::Peer, Direction::In, bytes.len());
                let Some((id, body)) = decode_frame(bytes) else { return };
                if let Some(answer) = pending.borrow_mut().remove(&id) {
                    // The caller may have given up.
                    drop(answer.send(body));
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
        record_bytes(TrafficKind::Peer, Direction::Out, bytes.len());
        sink.feed(Bytes::from(bytes)).await?;
        next = waiting.try_recv().ok();
    }
    sink.flush().await
}

fn decode_frame(bytes: BytesMut) -> Option<(u64, PeerBody)> {
    match PeerFrame::decode(bytes) {
        Ok(frame) => Some((frame.id, frame.body?)),
        Err(error) => {
            crate::events::log(crate::events::FRAME_BROKEN, format_args!("{error}"));
            None
        }
    }
}

async fn serve_connection<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(PeerBody) -> A + Clone + 'static,
    A: Future<Output = Option<PeerBody>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
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
        record_bytes(TrafficKind::Peer, Direction::In, bytes.len());
        let Some((id, body)) = decode_frame(bytes) else {
            return;
        };
        let (answers, answering) = (answers.clone(), answer(body));
        actix_rt::spawn(async move {
            let body = answering.await;
            // The peer may have disconnected; it then asks another daemon.
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
