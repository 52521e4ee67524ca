//! Connections between daemons: questions with answers, over frames.

use super::peer_frame::{
    PeerBody,
    PeerFrame, //
};
use crate::timer::Timer;
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::{
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

/// Larger frames are refused: a configuration of some thousand queues fits.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Wait for a connection to open.
const CONNECT_LIMIT_MS: u64 = 400;
/// Questions that wait on one connection; more are refused.
const MAX_WAITING: usize = 1_024;

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<PeerBody>>>>;

#[derive(Clone)]
struct Link {
    frames: mpsc::UnboundedSender<PeerFrame>,
    waiting: Waiting,
}

/// Connections to other daemons; lives on one thread.
pub struct Peers {
    timer: Timer,
    next_id: Cell<u64>,
    links: RefCell<HashMap<SocketAddr, Link>>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

impl Peers {
    /// No connections yet.
    pub fn open(timer: Timer) -> Self {
        Self {
            timer,
            next_id: Cell::new(1),
            links: RefCell::default(),
        }
    }

    /// Asks a daemon; `None` when no answer came within `limit_ms`. The
    /// connection is then opened anew for the next question: it may have gone
    /// silent for good.
    pub async fn ask(
        &self,
        address: SocketAddr,
        body: PeerBody,
        limit_ms: u64,
    ) -> Option<PeerBody> {
        let link = self.link(address);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let (answer, answered) = oneshot::channel();
        if link.waiting.borrow().len() >= MAX_WAITING {
            metrics::counter!("fuchsiaslip_peer_refusals_total", "reason" => "too_many_waiting")
                .increment(1);
            return None;
        }
        link.waiting.borrow_mut().insert(id, answer);
        let frame = PeerFrame {
            id,
            body: Some(body),
        };
        if link.frames.send(frame).is_err() {
            self.links.borrow_mut().remove(&address);
            return None;
        }
        match self.timer.timeout(limit_ms, answered).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "peer_silent")
                    .increment(1);
                self.links.borrow_mut().remove(&address);
                None
            }
        }
    }

    fn link(&self, address: SocketAddr) -> Link {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&address)
            && !link.frames.is_closed()
        {
            return link.clone();
        }
        let (frames, outgoing) = mpsc::unbounded_channel();
        let link = Link {
            frames,
            waiting: Waiting::default(),
        };
        let waiting = link.waiting.clone();
        let timer = self.timer.clone();
        actix_rt::spawn(async move {
            let connecting = TcpStream::connect(address);
            if let Ok(Ok(stream)) = timer.timeout(CONNECT_LIMIT_MS, connecting).await {
                carry(stream, outgoing, &waiting).await;
            }
            // Whoever still waits learns at once that no answer comes.
            waiting.borrow_mut().clear();
        });
        links.insert(address, link.clone());
        link
    }

    /// Answers questions on `listener` with `answer`.
    pub async fn serve<F, A>(listener: TcpListener, answer: F)
    where
        F: Fn(PeerBody) -> A + Clone + 'static,
        A: Future<Output = Option<PeerBody>> + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve_one(stream, answer.clone()));
                }
                // As when descriptors run out; the others go on.
                Err(error) => {
                    log::debug!("a peer's connection was not accepted: {error}");
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

/// Carries questions out and answers in until either side closes.
async fn carry(
    stream: TcpStream,
    mut outgoing: mpsc::UnboundedReceiver<PeerFrame>,
    waiting: &Waiting,
) {
    // Frames are small and wait for answers: delays would add up.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no-delay is not to be had: {error}");
    }
    let mut framed = framed(stream);
    loop {
        tokio::select! {
            frame = outgoing.recv() => {
                let Some(frame) = frame else { return };
                if framed.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                    return;
                }
            }
            received = framed.next() => {
                let Some(Ok(bytes)) = received else { return };
                let Some((id, body)) = read(bytes) else { return };
                if let Some(answer) = waiting.borrow_mut().remove(&id) {
                    // Whoever asked may have left.
                    drop(answer.send(body));
                }
            }
        }
    }
}

fn read(bytes: BytesMut) -> Option<(u64, PeerBody)> {
    match PeerFrame::decode(bytes) {
        Ok(frame) => Some((frame.id, frame.body?)),
        Err(error) => {
            crate::events::log(crate::events::FRAME_BROKEN, format_args!("{error}"));
            None
        }
    }
}

async fn serve_one<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(PeerBody) -> A + Clone + 'static,
    A: Future<Output = Option<PeerBody>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no-delay is not to be had: {error}");
    }
    let (mut sink, mut frames) = framed(stream).split();
    let (answers, mut answered) = mpsc::unbounded_channel::<PeerFrame>();
    actix_rt::spawn(async move {
        while let Some(frame) = answered.recv().await {
            if sink.send(Bytes::from(frame.encode_to_vec())).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(bytes)) = frames.next().await {
        let Some((id, body)) = read(bytes) else {
            return;
        };
        let (answers, answering) = (answers.clone(), answer(body));
        actix_rt::spawn(async move {
            let body = answering.await;
            // The peer may have left; it asks again elsewhere then.
            drop(answers.send(PeerFrame { id, body }));
        });
    }
}

/// A view as a number; 0 for a job that is not known.
pub fn code_of(view: Option<crate::scheduler::JobStatus>) -> u32 {
    use crate::scheduler::JobStatus;
    match view {
        None => 0,
        Some(JobStatus::Queued) => 1,
        Some(JobStatus::Running) => 2,
        Some(JobStatus::Completed) => 3,
        Some(JobStatus::Failed) => 4,
        Some(JobStatus::Cancelled) => 5,
    }
}

/// The view of a number.
pub fn status_of(code: u32) -> Option<crate::scheduler::JobStatus> {
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
