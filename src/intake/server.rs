//! Serves HTTP on the connections of a listener.

use super::connection::{
    ConnectionHandle,
    MeteredStream, //
};
use super::connection_table::LINGER_MS;
use super::{
    Admission,
    Intake, //
};
use actix_http::body::BoxBody;
use actix_http::{
    ConnectionType,
    Extensions,
    HttpService,
    Payload,
    Request,
    Response, //
};
use actix_service::{
    Service,
    ServiceFactory, //
};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{
    TcpListener,
    TcpSocket,
    TcpStream, //
};

/// How many connections wait in the operating system at most.
const BACKLOG: u32 = 1_024;
/// Bytes that the operating system keeps of a connection that is not read; what it reserves is
/// twice as much.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Opens a listener whose connections keep few bytes that are not read.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("cannot set the size of receive buffers: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The connection that a request came on.
pub fn connection_of(request: &Request) -> Option<ConnectionHandle> {
    request.conn_data::<ConnectionHandle>().cloned()
}

/// How long clients may take between their requests.
#[derive(Clone, Copy, Debug)]
pub struct HttpTimeouts {
    /// Until the head of a connection's first request has arrived.
    pub head: Duration,
    /// Until an idle connection is closed.
    pub keep_alive: Duration,
}

type Serving = Pin<Box<dyn Future<Output = ()>>>;

/// Answers the HTTP requests that come on connections.
#[derive(Clone)]
pub struct HttpAnswerer {
    serve: Rc<dyn Fn(MeteredStream) -> Serving>,
}

impl HttpAnswerer {
    /// Creates an answerer with `answer` for each request.
    pub async fn open<F, A>(timeouts: HttpTimeouts, answer: F) -> Self
    where
        F: Fn(Request) -> A + Clone + 'static,
        A: Future<Output = Response<BoxBody>> + 'static,
    {
        let factory = HttpService::build()
            .keep_alive(timeouts.keep_alive)
            .client_request_timeout(timeouts.head)
            .client_disconnect_timeout(Duration::from_millis(LINGER_MS))
            .on_connect_ext(|stream: &MeteredStream, data: &mut Extensions| {
                data.insert(stream.connection().clone());
            })
            .h1(move |mut request: Request| {
                let answer = answer.clone();
                async move {
                    let body = match request.take_payload() {
                        Payload::None => None,
                        body => Some(body),
                    };
                    let connection = connection_of(&request);
                    let in_progress = connection.as_ref().map(|it| it.begin_request(body));
                    let mut response = answer(request).await;
                    drop(in_progress);
                    if connection.is_some_and(|connection| connection.is_crowded()) {
                        // Whoever waits for a place gets this one.
                        let head = response.head_mut();
                        head.set_connection_type(ConnectionType::Close);
                    }
                    Ok::<_, Infallible>(response)
                }
            });
        // The factory only clones what it was built with.
        let service = Rc::new(factory.new_service(()).await.ok());
        let serve = move |stream| -> Serving {
            let service = service.clone();
            Box::pin(async move {
                let Some(service) = service.as_ref() else {
                    log::error!("the HTTP service cannot be built");
                    return;
                };
                if let Err(error) = service.call((stream, None)).await {
                    log::debug!("a connection ended with an error: {error}");
                }
            })
        };
        Self {
            serve: Rc::new(serve),
        }
    }

    /// Answers the requests on a connection until it ends or has to go.
    pub async fn serve(&self, stream: TcpStream, admission: Admission) {
        let stream = MeteredStream::open(stream, admission.connection().clone());
        // The place is free again once the stream is closed.
        admission.run((self.serve)(stream)).await;
    }
}

impl Intake {
    /// Serves HTTP on `listener`, with `answer` for each request.
    pub async fn serve<F, A>(&self, listener: Rc<TcpListener>, timeouts: HttpTimeouts, answer: F)
    where
        F: Fn(Request) -> A + Clone + 'static,
        A: Future<Output = Response<BoxBody>> + 'static,
    {
        let answerer = HttpAnswerer::open(timeouts, answer).await;
        loop {
            let stream = self.accept(&listener).await;
            let admission = self.admit().await;
            let answerer = answerer.clone();
            actix_rt::spawn(async move { answerer.serve(stream, admission).await });
        }
    }
}
