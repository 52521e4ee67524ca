//! Serves the HTTP API on threads of its own.

use super::entry::{
    Api,
    Shared, //
};
use super::kill::ShutdownReceiver;
use crate::intake::{
    HttpAnswerer,
    HttpTimeouts,
    Intake,
    IntakeLimits, //
};
use actix_service::{
    Service,
    fn_factory,
    fn_service, //
};
use std::convert::Infallible;
use std::net::TcpListener;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long clients may take between their requests.
const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    head: Duration::from_secs(5),
    keep_alive: Duration::from_secs(75),
};
/// Connections of one HTTP thread that wait for a place.
const WAITING_CONNECTIONS: usize = 16;

/// Serves callers and operators on `listener` until the shutdown signal.
pub fn serve(listener: TcpListener, shared: Shared, shutdown: ShutdownReceiver) {
    let threads = shared.settings.http_threads;
    let limits = shared.settings.client_limits().divided_by(threads);
    let factory = move || {
        let shared = shared.clone();
        fn_factory(move || http_thread(shared.clone(), limits))
    };
    actix_rt::System::new().block_on(async move {
        let server = actix_server::Server::build()
            .workers(threads)
            .max_concurrent_connections(limits.connections + WAITING_CONNECTIONS)
            .disable_signals()
            .listen("http", listener, factory);
        if let Ok(server) = server {
            // Serves until the shutdown signal. `drain_on_signal` handles the drain.
            let running = server.run();
            let handle = running.handle();
            shutdown.run_until(async { drop(running.await) }).await;
            handle.stop(false).await;
        }
    });
}

/// Creates the service of one HTTP thread.
async fn http_thread(
    shared: Shared,
    limits: IntakeLimits,
) -> Result<impl Service<TcpStream, Response = (), Error = Infallible>, Infallible> {
    let intake = Intake::open("http", limits, &shared.timer);
    let api = Api::open(shared);
    let answerer = HttpAnswerer::open(TIMEOUTS, move |request| {
        let api = api.clone();
        async move { api.answer(request).await }
    });
    let answerer = answerer.await;
    Ok(fn_service(move |stream: TcpStream| {
        let (intake, answerer) = (intake.clone(), answerer.clone());
        async move {
            let admission = intake.admit().await;
            answerer.serve(stream, admission).await;
            Ok(())
        }
    }))
}
