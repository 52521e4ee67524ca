//! Serves the stand-in platform over HTTP: key-value service, list of VMs and workers.

use super::{
    StoreStandIn,
    WorkerStandIn, //
};
use crate::backend::{
    PollAnswerBody,
    StoreAnswer,
    StoreCall,
    TaskBody,
    TasksBody,
    VERSION_HEADER,
    VmKind,
    VmRecord,
    WorkerAnswer,
    WorkerCall,
    WorkerQuery, //
};
use crate::core::{
    AttemptId,
    JobId, //
};
use crate::timer::Timer;
use actix_http::body::BoxBody;
use actix_http::{
    HttpMessage,
    HttpService,
    Method,
    Payload,
    Request,
    Response,
    StatusCode, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use prost::Message;
use serde::Deserialize;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::sync::Notify;

/// How long an idle connection stays open, and how long a call to an unreachable worker
/// stays unanswered.
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(75);

/// Workers that the platform simulates in one data centre.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Data centre of the workers.
    pub data_centre: String,
    /// Number of workers.
    pub workers: usize,
    /// Number of workers in a rack.
    pub rack_size: usize,
    /// Number of accelerators of each worker.
    pub accelerators: u16,
}

/// A worker, and the notification sent when it changes.
#[derive(Debug)]
struct WorkerSlot {
    stand_in: WorkerStandIn,
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    store: StoreStandIn,
    workers: HashMap<String, WorkerSlot>,
    vms: Vec<VmRecord>,
}

/// Handle of the running platform, which serves until the process ends.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    store_changed: Arc<Notify>,
    waiting_polls: Arc<AtomicUsize>,
    timer: Timer,
}

/// Parameters of calls to the key-value service and its leases.
#[derive(Default, Deserialize)]
#[serde(default)]
struct StoreQuery {
    after: Option<u64>,
    wait_ms: u64,
    expect: u64,
    holder: String,
    ttl_ms: u64,
}

/// Filters of the list of VMs.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ListQuery {
    data_centre: Option<String>,
    kind: Option<VmKind>,
}

/// Faults to set on the key-value service or on a worker.
#[derive(Default, Deserialize)]
#[serde(default)]
struct FaultQuery {
    down: bool,
    lose_answers: u32,
    delay_ms: u64,
    unreachable: bool,
    refuse_starts: bool,
    fail_tasks: bool,
    leaving: bool,
    restart: bool,
}

impl Platform {
    /// Serves on a free loopback port, from a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or the thread cannot be started.
    pub fn spawn(timer: Timer, fleets: &[Fleet]) -> std::io::Result<Self> {
        Self::bind("127.0.0.1:0", timer, fleets)
    }

    /// Serves on `address`, from a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn bind(address: &str, timer: Timer, fleets: &[Fleet]) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let platform = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            store_changed: Arc::default(),
            waiting_polls: Arc::default(),
            timer,
        };
        for fleet in fleets {
            platform.add_fleet(fleet);
        }
        let serving = platform.clone();
        std::thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || serving.serve(listener))?;
        Ok(platform)
    }

    fn serve(self, listener: TcpListener) {
        actix_rt::System::new().block_on(async move {
            let factory = move || {
                let platform = self.clone();
                HttpService::build()
                    .keep_alive(KEEP_ALIVE)
                    .client_request_timeout(std::time::Duration::ZERO)
                    .finish(move |request: Request| {
                        let platform = platform.clone();
                        async move { Ok::<_, Infallible>(platform.handle_request(request).await) }
                    })
                    .tcp()
            };
            let server = actix_server::Server::build()
                .workers(1)
                .disable_signals()
                .listen("platform", listener, factory);
            if let Ok(server) = server {
                // The server runs until the process exits.
                let _ = server.run().await;
            }
        });
    }

    /// Returns the address on which the platform serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_fleet(&self, fleet: &Fleet) {
        for at in 0..fleet.workers {
            let name = format!("{}-w{at:04}", fleet.data_centre);
            let record = VmRecord {
                address: format!("{}/w/{name}", self.address),
                kind: VmKind::Worker,
                data_centre: fleet.data_centre.clone(),
                rack: format!("r{:04}", at / fleet.rack_size),
                accelerators: fleet.accelerators,
                leaving: false,
                name: name.clone(),
            };
            let slot = WorkerSlot {
                stand_in: WorkerStandIn::new(&name),
                changed: Arc::default(),
            };
            let mut state = self.state();
            state.workers.insert(name, slot);
            state.vms.push(record);
        }
    }

    /// Adds a daemon to the list of VMs.
    pub fn add_daemon(&self, name: &str, data_centre: &str, peer_address: &str) {
        self.state().vms.push(VmRecord {
            name: name.to_owned(),
            kind: VmKind::Daemon,
            data_centre: data_centre.to_owned(),
            address: peer_address.to_owned(),
            rack: String::new(),
            accelerators: 0,
            leaving: false,
        });
    }

    /// Calls `access` with the key-value service, to read or change its state.
    pub fn with_store<R>(&self, access: impl FnOnce(&mut StoreStandIn) -> R) -> R {
        let result = access(&mut self.state().store);
        self.store_changed.notify_waiters();
        result
    }

    /// Calls `access` with the worker called `name`, to read or change its state.
    ///
    /// Returns `None` if there is no such worker.
    pub fn with_worker<R>(
        &self,
        name: &str,
        access: impl FnOnce(&mut WorkerStandIn) -> R,
    ) -> Option<R> {
        let mut state = self.state();
        let slot = state.workers.get_mut(name)?;
        let result = access(&mut slot.stand_in);
        slot.changed.notify_waiters();
        Some(result)
    }

    /// Returns the number of long polls that are waiting for updates.
    pub fn waiting_polls(&self) -> usize {
        self.waiting_polls.load(Ordering::Acquire)
    }

    /// Calls `access` with every worker, to read or change their state.
    pub fn each_worker(&self, mut access: impl FnMut(&mut WorkerStandIn)) {
        for slot in self.state().workers.values_mut() {
            access(&mut slot.stand_in);
            slot.changed.notify_waiters();
        }
    }

    async fn handle_request(&self, mut request: Request) -> Response<BoxBody> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let header = request.headers().get("if-none-match");
        let known_tag = header
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = read_body(request.take_payload()).await;
        let segments: Vec<&str> = path.trim_start_matches('/').splitn(2, '/').collect();
        match segments.as_slice() {
            ["vms"] => self.list_vms(&query, known_tag.as_deref()),
            ["kv", key] => self.handle_key_value(&method, key, &query, body).await,
            ["lease", key] => self.handle_lease(&method, key, &query).await,
            ["w", rest] => self.handle_worker(rest, &query, body).await,
            ["fault", target] => self.set_faults(target, &query),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn list_vms(&self, query: &str, known_tag: Option<&str>) -> Response<BoxBody> {
        let query: ListQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let state = self.state();
        let is_listed = |vm: &&VmRecord| {
            let is_in_data_centre = query
                .data_centre
                .as_ref()
                .is_none_or(|name| *name == vm.data_centre);
            is_in_data_centre && query.kind.is_none_or(|kind| kind == vm.kind)
        };
        let vms: Vec<&VmRecord> = state.vms.iter().filter(is_listed).collect();
        let body = serde_json::to_vec(&vms).unwrap_or_default();
        let tag = format!("\"{:x}\"", xxhash_rust::xxh3::xxh3_64(&body));
        if known_tag == Some(tag.as_str()) {
            return empty_response(StatusCode::NOT_MODIFIED);
        }
        Response::build(StatusCode::OK)
            .insert_header(("etag", tag))
            .body(body)
            .map_into_boxed_body()
    }

    async fn handle_key_value(
        &self,
        method: &Method,
        key: &str,
        query: &str,
        body: Bytes,
    ) -> Response<BoxBody> {
        let query: StoreQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let key = key.to_owned();
        let call = match (method, query.after) {
            (&Method::PUT, _) => StoreCall::CompareAndSwap {
                key,
                expected_version: query.expect,
                value: body,
            },
            (_, Some(after_version)) => {
                self.wait_for_version(&key, after_version, query.wait_ms)
                    .await;
                StoreCall::Watch {
                    key,
                    after_version,
                    wait_ms: query.wait_ms,
                }
            }
            _ => StoreCall::Get { key },
        };
        self.call_store(call).await
    }

    /// Waits until `key` has a later version than `after_version`, for at most `wait_ms`.
    /// Returns at once while the store is down.
    async fn wait_for_version(&self, key: &str, after_version: u64, wait_ms: u64) {
        let until_ms = self.timer.now_ms() + wait_ms;
        loop {
            let written = self.store_changed.notified();
            let now_ms = self.timer.now_ms();
            let down = self.state().store.faults.down;
            if down || self.state().store.version(key) > after_version || now_ms >= until_ms {
                return;
            }
            // Wakes up after a write to any key or at the end of the wait, and checks again.
            let _ = self.timer.timeout(until_ms - now_ms, written).await;
        }
    }

    async fn handle_lease(&self, method: &Method, key: &str, query: &str) -> Response<BoxBody> {
        let query: StoreQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let (key, holder) = (key.to_owned(), query.holder);
        self.call_store(match method {
            &Method::DELETE => StoreCall::ReleaseLease { key, holder },
            _ => StoreCall::AcquireLease {
                key,
                holder,
                ttl_ms: query.ttl_ms,
            },
        })
        .await
    }

    async fn call_store(&self, call: StoreCall) -> Response<BoxBody> {
        let (result, delay_ms) = {
            let mut state = self.state();
            let result = state.store.handle(call, self.timer.now_ms());
            (result, state.store.faults.delay_ms)
        };
        self.store_changed.notify_waiters();
        if delay_ms > 0 {
            self.timer.sleep(delay_ms).await;
        }
        match result {
            Ok(StoreAnswer::Value { version, value }) => {
                versioned_response(StatusCode::OK, version, value)
            }
            Ok(StoreAnswer::Written { version }) => {
                versioned_response(StatusCode::CREATED, version, Bytes::new())
            }
            Ok(StoreAnswer::Absent) => empty_response(StatusCode::NOT_FOUND),
            Ok(StoreAnswer::Conflict) => empty_response(StatusCode::CONFLICT),
            Ok(StoreAnswer::Granted) => empty_response(StatusCode::ACCEPTED),
            Ok(StoreAnswer::Released) => empty_response(StatusCode::NO_CONTENT),
            Ok(StoreAnswer::Held { holder }) => Response::build(StatusCode::LOCKED)
                .body(holder)
                .map_into_boxed_body(),
            Err(crate::backend::StoreFailure::Unavailable) => {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
            Err(crate::backend::StoreFailure::Timeout) => {
                empty_response(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    async fn handle_worker(&self, rest: &str, query: &str, body: Bytes) -> Response<BoxBody> {
        let Some((name, action)) = rest.split_once('/') else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let query: WorkerQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let attempt = AttemptId {
            job: JobId(query.job),
            attempt: query.attempt as u32,
        };
        let epoch = query.epoch;
        let call = match action {
            "answer" => return self.task_answer(name, attempt),
            "reserve" => WorkerCall::Reserve {
                epoch,
                attempt,
                mask: query.mask as u16,
                expires_ms: query.ms,
            },
            "start" => WorkerCall::Start {
                epoch,
                attempt,
                progress_ms: query.ms,
                payload: body,
            },
            "stop" => WorkerCall::Stop {
                epoch,
                attempt,
                grace_ms: query.ms,
            },
            "inspect" => WorkerCall::Inspect { epoch, attempt },
            "poll" => {
                self.waiting_polls.fetch_add(1, Ordering::AcqRel);
                self.wait_for_updates(name, query.cursor, query.ms, query.lease_ms)
                    .await;
                self.waiting_polls.fetch_sub(1, Ordering::AcqRel);
                WorkerCall::Poll {
                    cursor: query.cursor,
                    wait_ms: query.ms,
                    lease_ms: query.lease_ms,
                }
            }
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        let now_ms = self.timer.now_ms();
        match self.with_worker(name, |worker| worker.handle(call, now_ms)) {
            Some(Ok(answer)) => worker_response(answer),
            // An unreachable worker does not answer. The caller's timeout is shorter than
            // this sleep.
            Some(Err(_)) => {
                self.timer.sleep(KEEP_ALIVE.as_millis() as u64).await;
                empty_response(StatusCode::GATEWAY_TIMEOUT)
            }
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Waits until the worker has updates after `cursor`, for at most `wait_ms`.
    /// Returns at once if the worker is unreachable or unknown.
    async fn wait_for_updates(&self, name: &str, cursor: u64, wait_ms: u64, lease_ms: u64) {
        let until_ms = self.timer.now_ms() + wait_ms;
        // The arrival of the poll renews the lease, so the worker handles the poll before
        // the wait.
        let arriving_poll = WorkerCall::Poll {
            cursor,
            wait_ms,
            lease_ms,
        };
        let now_ms = self.timer.now_ms();
        let reached = self.with_worker(name, |worker| worker.handle(arriving_poll, now_ms));
        if !matches!(reached, Some(Ok(_))) {
            return;
        }
        loop {
            let now_ms = self.timer.now_ms();
            let changed = self
                .state()
                .workers
                .get(name)
                .map(|slot| slot.changed.clone());
            let Some(changed) = changed else {
                return;
            };
            let next_change = changed.notified();
            let next_ms = {
                let mut state = self.state();
                let Some(slot) = state.workers.get_mut(name) else {
                    return;
                };
                slot.stand_in.tick(now_ms);
                if slot.stand_in.has_updates(cursor) || now_ms >= until_ms {
                    return;
                }
                slot.stand_in
                    .next_change_ms()
                    .unwrap_or(until_ms)
                    .min(until_ms)
            };
            // Waits for a call to the worker, its next timed change or the end of the
            // poll, whichever comes first.
            let _ = self
                .timer
                .timeout(next_ms.saturating_sub(now_ms).max(1), next_change)
                .await;
        }
    }

    fn task_answer(&self, name: &str, attempt: AttemptId) -> Response<BoxBody> {
        let answer = self
            .with_worker(name, |worker| worker.answer(attempt))
            .flatten();
        match answer {
            Some(answer) => Response::build(StatusCode::OK)
                .body(answer)
                .map_into_boxed_body(),
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Sets the faults of the store, or of the worker called `target`, as `query` says.
    /// A parameter that is missing from `query` switches its fault off.
    fn set_faults(&self, target: &str, query: &str) -> Response<BoxBody> {
        let query: FaultQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        if target == "store" {
            self.with_store(|store| {
                store.faults.down = query.down;
                store.faults.lose_answers = query.lose_answers;
                store.faults.delay_ms = query.delay_ms;
            });
            return empty_response(StatusCode::OK);
        }
        let now_ms = self.timer.now_ms();
        let found = self.with_worker(target, |worker| {
            worker.faults.unreachable = query.unreachable;
            worker.faults.refuse_starts = query.refuse_starts;
            worker.faults.fail_tasks = query.fail_tasks;
            worker.faults.lose_answers = query.lose_answers;
            worker.set_leaving(query.leaving);
            if query.restart {
                worker.restart(now_ms);
            }
        });
        empty_response(found.map_or(StatusCode::NOT_FOUND, |()| StatusCode::OK))
    }
}

async fn read_body(mut payload: Payload) -> Bytes {
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}

fn empty_response(code: StatusCode) -> Response<BoxBody> {
    Response::new(code)
}

fn versioned_response(code: StatusCode, version: u64, body: Bytes) -> Response<BoxBody> {
    Response::build(code)
        .insert_header((VERSION_HEADER, version.to_string()))
        .body(body)
        .map_into_boxed_body()
}

fn worker_response(answer: WorkerAnswer) -> Response<BoxBody> {
    match answer {
        WorkerAnswer::Done => empty_response(StatusCode::ACCEPTED),
        WorkerAnswer::Refused(refusal) => Response::build(StatusCode::CONFLICT)
            .body(refusal.name())
            .map_into_boxed_body(),
        WorkerAnswer::State(state) => {
            let change = crate::backend::TaskChange {
                attempt: AttemptId::default(),
                state,
            };
            let body = TaskBody::from(&change).encode_to_vec();
            Response::build(StatusCode::OK)
                .body(body)
                .map_into_boxed_body()
        }
        WorkerAnswer::Polled(polled) => {
            let body = PollAnswerBody {
                incarnation: polled.incarnation,
                leaving: polled.leaving,
                cursor: polled.cursor,
                tasks: TasksBody {
                    tasks: polled.changes.iter().map(TaskBody::from).collect(),
                },
            };
            Response::build(StatusCode::OK)
                .body(body.encode_to_vec())
                .map_into_boxed_body()
        }
    }
}
