//! A link between a daemon and a dependency that a test can harm: bytes held
//! back, one way or both, connections that go silent for good, resets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU8,
    AtomicU64,
    Ordering, //
};
use std::time::Duration;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::tcp::{
    OwnedReadHalf,
    OwnedWriteHalf, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

const POLL: Duration = Duration::from_millis(5);
const CHUNK_BYTES: usize = 16 << 10;

/// How a link treats bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// They pass.
    Passing = 0,
    /// Each chunk is late.
    Slow = 1,
    /// Calls arrive, and answers do not.
    AnswersCut = 2,
    /// Nothing arrives.
    Cut = 3,
}

/// Delay of a chunk on a slow link.
const SLOW: Duration = Duration::from_millis(120);

#[derive(Debug, Default)]
struct Link {
    mode: AtomicU8,
    /// Connections opened so far.
    opened: AtomicU64,
    /// Connections up to this number are silent for good.
    silent_up_to: AtomicU64,
    /// Connections up to this number are reset.
    reset_up_to: AtomicU64,
}

/// A proxy before one address.
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Link>,
}

impl Proxy {
    /// Starts a proxy before `target` on a thread of its own.
    pub fn spawn(target: SocketAddr) -> Self {
        let link = Arc::new(Link::default());
        let shared = link.clone();
        let (bound, address) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind((target.ip(), 0)).await.expect("a port");
                let own = listener.local_addr().expect("an address");
                bound.send(own).expect("the test waits");
                while let Ok((client, _)) = listener.accept().await {
                    let number = shared.opened.fetch_add(1, Ordering::SeqCst) + 1;
                    tokio::spawn(join(client, target, number, shared.clone()));
                }
            });
        });
        let address = address.recv().expect("the proxy starts");
        Self { address, link }
    }

    /// Changes how bytes are treated.
    pub fn set_mode(&self, mode: LinkMode) {
        self.link.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Connections that are open now fall silent for good; new ones work.
    pub fn silence_open(&self) {
        let opened = self.link.opened.load(Ordering::SeqCst);
        self.link.silent_up_to.store(opened, Ordering::SeqCst);
    }

    /// Resets the connections that are open now.
    pub fn reset_open(&self) {
        let opened = self.link.opened.load(Ordering::SeqCst);
        self.link.reset_up_to.store(opened, Ordering::SeqCst);
    }
}

impl Link {
    async fn until_reset(&self, number: u64) {
        while number > self.reset_up_to.load(Ordering::SeqCst) {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until a chunk of a connection may go on.
    async fn pass(&self, number: u64, is_answer: bool) {
        let slow = LinkMode::Slow as u8;
        if self.mode.load(Ordering::SeqCst) == slow {
            tokio::time::sleep(SLOW).await;
        }
        loop {
            let mode = self.mode.load(Ordering::SeqCst);
            let silent = number <= self.silent_up_to.load(Ordering::SeqCst);
            let cut =
                mode == LinkMode::Cut as u8 || (mode == LinkMode::AnswersCut as u8 && is_answer);
            if !silent && !cut {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

async fn join(client: TcpStream, target: SocketAddr, number: u64, link: Arc<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let there = pump(from_client, to_server, number, false, &link);
    let back = pump(from_server, to_client, number, true, &link);
    tokio::select! {
        () = link.until_reset(number) => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    is_answer: bool,
    link: &Link,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        link.pass(number, is_answer).await;
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    // The other side learns of the end, unless it has gone as well.
    to.shutdown().await.ok();
}
