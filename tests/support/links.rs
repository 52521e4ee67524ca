//! Relays between daemons, with which a test cuts them off from each other. For each pair, each
//! of the two reaches the other at an address of its own, and datagrams come from the address at
//! which the receiver reaches their sender.

use super::operator::PeerAddresses;
use super::processes::{
    PEER_PORT,
    loopback, //
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
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
    TcpStream,
    UdpSocket, //
};

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const CHUNK_BYTES: usize = 16 << 10;
const DATAGRAM_BYTES: usize = 2_048;

/// The running relays between the daemons `d0`, `d1`, ... of a test. They end, and their addresses
/// become free, when the value is dropped.
pub struct Links {
    addresses: Addresses,
    cuts: Arc<Cuts>,
    _running: tokio::sync::oneshot::Sender<()>,
}

/// The addresses of the daemons, and of the relays between them.
#[derive(Clone, Copy)]
struct Addresses {
    test: u8,
    first: u8,
    count: u8,
}

/// Whether each daemon is cut off from each other one, by sender and receiver.
struct Cuts {
    count: usize,
    cut: Vec<AtomicBool>,
}

/// Starts relays between `count` daemons at the addresses of `test` from `first` on; the relays
/// take the `count * count` addresses that follow. `test` is that of [`loopback`].
pub fn spawn(test: u8, first: u8, count: u8) -> Links {
    let addresses = Addresses { test, first, count };
    let size = usize::from(count);
    let cuts = Arc::new(Cuts {
        count: size,
        cut: (0..size * size).map(|_| AtomicBool::new(false)).collect(),
    });
    let shared = cuts.clone();
    let (sender, receiver) = std::sync::mpsc::channel();
    let (running, dropped) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async move {
            relay_all(addresses, &shared).await;
            sender.send(()).expect("the test thread receives");
            dropped.await.ok();
        });
    });
    receiver.recv().expect("the relays start");
    Links {
        addresses,
        cuts,
        _running: running,
    }
}

impl Links {
    /// The addresses at which a daemon reaches the others.
    pub fn peers_of(&self, daemon: u8) -> PeerAddresses {
        let others = (0..self.addresses.count).filter(|&other| other != daemon);
        others
            .map(|other| (format!("d{other}"), self.addresses.relay(daemon, other)))
            .collect()
    }

    /// Drops all datagrams from one daemon to another and holds back the bytes of connections,
    /// or ends this.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        self.cuts.of(from, to).store(cut, Ordering::SeqCst);
    }

    /// Cuts a daemon off from all others in both directions, or ends this.
    pub fn isolate(&self, daemon: usize, cut: bool) {
        for other in (0..self.cuts.count).filter(|&other| other != daemon) {
            self.set_cut(daemon, other, cut);
            self.set_cut(other, daemon, cut);
        }
    }
}

impl Addresses {
    fn daemon(self, daemon: u8) -> SocketAddr {
        let ip = loopback(self.test, self.first + daemon);
        SocketAddr::new(ip.into(), PEER_PORT)
    }

    /// Where the daemon `from` reaches the daemon `to`.
    fn relay(self, from: u8, to: u8) -> SocketAddr {
        let at = self.first + self.count + from * self.count + to;
        SocketAddr::new(loopback(self.test, at).into(), PEER_PORT)
    }
}

impl Cuts {
    fn of(&self, from: usize, to: usize) -> &AtomicBool {
        &self.cut[from * self.count + to]
    }

    fn is_cut(&self, (from, to): (u8, u8)) -> bool {
        let cut = self.of(usize::from(from), usize::from(to));
        cut.load(Ordering::SeqCst)
    }

    async fn wait_to_forward(&self, pair: (u8, u8)) {
        while self.is_cut(pair) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Starts the relays of all pairs on this thread.
async fn relay_all(addresses: Addresses, cuts: &Arc<Cuts>) {
    for from in 0..addresses.count {
        for to in 0..from {
            let there = datagram_socket(addresses.relay(from, to)).await;
            let back = datagram_socket(addresses.relay(to, from)).await;
            for (pair, receiving, sending) in [
                ((from, to), there.clone(), back.clone()),
                ((to, from), back, there),
            ] {
                let target = addresses.daemon(pair.1);
                let datagrams = relay_datagrams(pair, receiving, sending, target, cuts.clone());
                tokio::task::spawn_local(datagrams);
                let listener = TcpListener::bind(addresses.relay(pair.0, pair.1)).await;
                let listener = listener.expect("a free port");
                let connections = relay_connections(pair, listener, target, cuts.clone());
                tokio::task::spawn_local(connections);
            }
        }
    }
}

async fn datagram_socket(address: SocketAddr) -> Rc<UdpSocket> {
    Rc::new(UdpSocket::bind(address).await.expect("a free port"))
}

async fn relay_datagrams(
    pair: (u8, u8),
    receiving: Rc<UdpSocket>,
    sending: Rc<UdpSocket>,
    target: SocketAddr,
    cuts: Arc<Cuts>,
) {
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = receiving.recv_from(&mut buffer).await else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        if !cuts.is_cut(pair) {
            // A datagram may be lost, for example while the daemon is down.
            sending.send_to(&buffer[..length], target).await.ok();
        }
    }
}

async fn relay_connections(
    pair: (u8, u8),
    listener: TcpListener,
    target: SocketAddr,
    cuts: Arc<Cuts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::task::spawn_local(relay_connection(pair, client, target, cuts.clone()));
    }
}

async fn relay_connection(pair: (u8, u8), client: TcpStream, target: SocketAddr, cuts: Arc<Cuts>) {
    let back = (pair.1, pair.0);
    cuts.wait_to_forward(pair).await;
    cuts.wait_to_forward(back).await;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::join!(
        copy_chunks(pair, from_client, to_server, &cuts),
        copy_chunks(back, from_server, to_client, &cuts),
    );
}

/// Copies one direction of a connection.
async fn copy_chunks(pair: (u8, u8), mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cuts: &Cuts) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        cuts.wait_to_forward(pair).await;
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    cuts.wait_to_forward(pair).await;
    // Passes the end of the stream on; this fails if the other side has closed too.
    to.shutdown().await.ok();
}
