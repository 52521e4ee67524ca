//! A TCP proxy with which a test injects network faults between a daemon and a dependency:
//! it delays bytes, holds them back in one or both directions, makes connections
//! unresponsive for good and resets them.

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

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const CHUNK_BYTES: usize = 16 << 10;

/// How a proxy treats bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// It forwards them.
    Passing = 0,
    /// It delays each chunk.
    Slow = 1,
    /// It forwards requests but holds back answers.
    AnswersCut = 2,
    /// It holds back everything.
    Cut = 3,
}

/// Delay of a chunk in [`LinkMode::Slow`].
const CHUNK_DELAY: Duration = Duration::from_millis(120);

#[derive(Debug, Default)]
struct Link {
    mode: AtomicU8,
    /// Number of connections opened so far; the first has number 1.
    opened: AtomicU64,
    /// Connections up to this number forward nothing any more.
    unresponsive_up_to: AtomicU64,
    /// Connections up to this number are reset.
    reset_up_to: AtomicU64,
}

/// A proxy in front of one address.
pub struct Proxy {
    /// The address to connect to.
    pub address: SocketAddr,
    link: Arc<Link>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on its own thread.
    pub fn spawn(target: SocketAddr) -> Self {
        let link = Arc::new(Link::default());
        let shared = link.clone();
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind((target.ip(), 0)).await.expect("a port");
                let own_address = listener.local_addr().expect("an address");
                sender.send(own_address).expect("the test thread receives");
                while let Ok((client, _)) = listener.accept().await {
                    let number = shared.opened.fetch_add(1, Ordering::SeqCst) + 1;
                    tokio::spawn(forward(client, target, number, shared.clone()));
                }
            });
        });
        let address = receiver.recv().expect("the proxy starts");
        Self { address, link }
    }

    /// Sets how the proxy treats bytes.
    pub fn set_mode(&self, mode: LinkMode) {
        self.link.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Makes the connections that are open now unresponsive for good; new ones work.
    pub fn stall_open(&self) {
        let opened = self.link.opened.load(Ordering::SeqCst);
        self.link.unresponsive_up_to.store(opened, Ordering::SeqCst);
    }

    /// Resets the connections that are open now.
    pub fn reset_open(&self) {
        let opened = self.link.opened.load(Ordering::SeqCst);
        self.link.reset_up_to.store(opened, Ordering::SeqCst);
    }
}

impl Link {
    /// Waits until a connection has to be reset.
    async fn until_reset(&self, number: u64) {
        while number > self.reset_up_to.load(Ordering::SeqCst) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until a chunk of a connection may be forwarded.
    async fn wait_to_forward(&self, number: u64, is_answer: bool) {
        let slow = LinkMode::Slow as u8;
        if self.mode.load(Ordering::SeqCst) == slow {
            tokio::time::sleep(CHUNK_DELAY).await;
        }
        loop {
            let mode = self.mode.load(Ordering::SeqCst);
            let unresponsive = number <= self.unresponsive_up_to.load(Ordering::SeqCst);
            let cut =
                mode == LinkMode::Cut as u8 || (mode == LinkMode::AnswersCut as u8 && is_answer);
            if !unresponsive && !cut {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Forwards one connection to `target` until it ends or has to be reset.
async fn forward(client: TcpStream, target: SocketAddr, number: u64, link: Arc<Link>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy_chunks(from_client, to_server, number, false, &link);
    let answers = copy_chunks(from_server, to_client, number, true, &link);
    tokio::select! {
        () = link.until_reset(number) => {}
        _ = async { tokio::join!(requests, answers) } => {}
    }
}

/// Copies one direction of a connection.
async fn copy_chunks(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    is_answer: bool,
    link: &Link,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        link.wait_to_forward(number, is_answer).await;
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    // Passes the end of the stream on; this fails if the other side has closed too.
    to.shutdown().await.ok();
}
