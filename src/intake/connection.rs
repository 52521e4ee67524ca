//! A client's connection: its stream, which counts what is read, and its handle, with which a
//! request tells what it does.

use super::ConnectionKey;
use super::admission::Shared;
use super::connection_table::{
    ConnectionTable,
    Eviction,
    Exhausted,
    Phase, //
};
use actix_http::Payload;
use actix_http::error::PayloadError;
use actix_rt::net::{
    ActixStream,
    Ready, //
};
use bytes::Bytes;
use futures_util::{
    FutureExt,
    StreamExt, //
};
use std::cell::{
    Cell,
    RefCell, //
};
use std::future::Future;
use std::io;
use std::pin::{
    Pin,
    pin, //
};
use std::rc::Rc;
use std::task::{
    Context,
    Poll,
    Waker, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    Interest,
    ReadBuf, //
};
use tokio::net::TcpStream;

/// Bytes that are read from a connection before what was read is parsed. The HTTP library
/// would read up to 128 KB and keep a buffer of that size.
const READ_BYTES: usize = 8 << 10;

/// A connection, as those see it who serve it. All use it from one thread.
#[derive(Clone)]
pub struct ConnectionHandle {
    shared: Rc<Connection>,
}

struct Connection {
    key: ConnectionKey,
    intake: Rc<Shared>,
    /// Wakes the task that serves the connection.
    waker: RefCell<Option<Waker>>,
    eviction: Cell<Option<Eviction>>,
    /// The body of the request, until it is read. It is kept after a refusal: without it, the
    /// HTTP library would parse the rest instead of closing the connection.
    body: RefCell<Option<Payload>>,
}

impl ConnectionHandle {
    pub(super) fn open(key: ConnectionKey, intake: Rc<Shared>) -> Self {
        let connection = Connection {
            key,
            intake,
            waker: RefCell::default(),
            eviction: Cell::default(),
            body: RefCell::default(),
        };
        Self {
            shared: Rc::new(connection),
        }
    }

    /// Begins a request, whose `body` stays here until it is read; the request ends when the
    /// guard is dropped.
    pub fn begin_request(&self, body: Option<Payload>) -> RequestGuard {
        self.shared.body.replace(body);
        self.change(ConnectionTable::begin_request);
        RequestGuard {
            connection: self.clone(),
        }
    }

    /// Begins to read the body of the request, if it has one.
    pub(super) fn begin_body(&self) -> Option<BodyInProgress> {
        let payload = self.shared.body.take()?;
        self.change(ConnectionTable::begin_body);
        // While the request was only answered, nothing was read.
        self.wake();
        Some(BodyInProgress {
            payload: Some(payload),
            connection: self.clone(),
        })
    }

    /// Whether the request has a body that was not read.
    pub(super) fn has_unread_body(&self) -> bool {
        self.shared.body.borrow().is_some()
    }

    /// Whether other connections wait for a place.
    pub(super) fn is_crowded(&self) -> bool {
        self.shared.intake.is_crowded()
    }

    pub(super) fn record_body(&self, bytes: usize) {
        self.change(|table, key, now_ms| table.record_body(key, bytes, now_ms));
    }

    /// Sets how many bytes are held for the request that is being served.
    ///
    /// # Errors
    ///
    /// There are not that many bytes left.
    pub fn hold(&self, bytes: usize) -> Result<(), Exhausted> {
        self.change(|table, key, now_ms| table.hold(key, bytes, now_ms))
    }

    /// Why the connection or its request is given up, if it is.
    pub(super) fn eviction(&self) -> Option<Eviction> {
        self.shared.eviction.get()
    }

    pub(super) fn evict(&self, reason: Eviction) {
        self.shared.eviction.set(Some(reason));
        self.wake();
    }

    /// Serves the connection with `serving` until that ends or the connection is given up. A
    /// request that is given up is refused first.
    pub(super) async fn run<F: Future>(&self, serving: F) -> Option<F::Output> {
        let mut serving = pin!(serving);
        std::future::poll_fn(|cx| {
            self.shared.waker.replace(Some(cx.waker().clone()));
            if let Poll::Ready(output) = serving.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            let is_given_up = self.eviction().is_some();
            match self.phase() {
                Some(Phase::Head | Phase::Closing) if is_given_up => Poll::Ready(None),
                _ => Poll::Pending,
            }
        })
        .await
    }

    fn phase(&self) -> Option<Phase> {
        self.shared.intake.phase(self.shared.key)
    }

    fn change<R>(&self, change: impl FnOnce(&mut ConnectionTable, ConnectionKey, u64) -> R) -> R {
        let key = self.shared.key;
        let intake = &self.shared.intake;
        intake.change(|table, now_ms| change(table, key, now_ms))
    }

    fn wake(&self) {
        if let Some(waker) = self.shared.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

/// A body that is being read. It stays unread if it is dropped before its end.
pub(super) struct BodyInProgress {
    payload: Option<Payload>,
    connection: ConnectionHandle,
}

impl BodyInProgress {
    /// Reads the next part; `None` after the last one.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        match &mut self.payload {
            Some(payload) => payload.poll_next_unpin(cx),
            None => Poll::Ready(None),
        }
    }

    /// Records that the body was read to its end.
    pub(super) fn end(mut self) {
        self.payload = None;
        self.connection.change(ConnectionTable::end_body);
    }
}

impl Drop for BodyInProgress {
    fn drop(&mut self) {
        if let Some(payload) = self.payload.take() {
            self.connection.shared.body.replace(Some(payload));
        }
    }
}

/// Ends a request when it is dropped, which also happens when its connection is reset.
pub struct RequestGuard {
    connection: ConnectionHandle,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let shared = &self.connection.shared;
        let has_unread_body = self.connection.has_unread_body();
        self.connection
            .change(|table, key, now_ms| table.end_request(key, has_unread_body, now_ms));
        // The answer to a request that was given up is sent before the connection is closed.
        shared.eviction.set(None);
        self.connection.wake();
    }
}

/// The stream of a connection. It reads no more than is parsed, and nothing while a request is
/// being answered.
pub(super) struct MeteredStream {
    stream: TcpStream,
    connection: ConnectionHandle,
    /// Bytes read since the last pause.
    read_bytes: usize,
}

impl MeteredStream {
    pub(super) fn open(stream: TcpStream, connection: ConnectionHandle) -> Self {
        Self {
            stream,
            connection,
            read_bytes: 0,
        }
    }

    pub(super) fn connection(&self) -> &ConnectionHandle {
        &self.connection
    }

    /// Whether the client has closed or reset the connection, if that is known.
    fn is_closed(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| match ready {
            Ok(ready) => ready.is_read_closed() || ready.is_error(),
            Err(_) => true,
        })
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_bytes >= READ_BYTES {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.connection.phase() == Some(Phase::Answer) {
            match self.stream.poll_read_ready(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !self.is_closed() => {
                    // The end of the request wakes the task.
                    return Poll::Pending;
                }
                Poll::Ready(_) => {}
            }
        }
        let filled_before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Pending => {
                self.read_bytes = 0;
                self.connection
                    .change(|table, key, _| table.record_all_read(key));
                Poll::Pending
            }
            Poll::Ready(result) => {
                result?;
                let bytes = buffer.filled().len() - filled_before;
                self.read_bytes += bytes;
                let recorded = self
                    .connection
                    .change(|table, key, now_ms| table.record_read(key, bytes, now_ms));
                Poll::Ready(recorded.map_err(io::Error::other))
            }
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for MeteredStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
