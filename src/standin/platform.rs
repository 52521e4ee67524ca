//! The stand-in platform over TCP: key-value service, list of VMs, workers.

use super::{
    StoreStandIn,
    WorkerStandIn, //
};
use crate::backend::{
    StoreAnswer,
    StoreCall,
    TaskBody,
    TasksBody,
    VERSION_HEADER,
    VmKind,
    VmRecord,
    WorkerAnswer,
    WorkerAnswerBody,
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

const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(75);

/// Workers to stand in for.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Their data centre.
    pub data_centre: String,
    /// How many.
    pub workers: usize,
    /// How many in a rack.
    pub rack_size: usize,
    /// Accelerators of each.
    pub accelerators: u16,
}

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

/// The running stand-in; it ends with the process.
#[derive(Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    written: Arc<Notify>,
    waiting_polls: Arc<AtomicUsize>,
    timer: Timer,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct StoreQuery {
    after: Option<u64>,
    wait_ms: u64,
    expect: u64,
    holder: String,
    ttl_ms: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ListQuery {
    data_centre: Option<String>,
    kind: Option<VmKind>,
}

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
    /// Serves on a free loopback port, from a thread of its own.
    ///
    /// # Errors
    ///
    /// The port or the thread could not be had.
    pub fn spawn(timer: Timer, fleets: &[Fleet]) -> std::io::Result<Self> {
        Self::bind("127.0.0.1:0", timer, fleets)
    }

    /// Serves on `address`, from a thread of its own.
    ///
    /// # Errors
    ///
    /// The address or the thread could not be had.
    pub fn bind(address: &str, timer: Timer, fleets: &[Fleet]) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let platform = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            written: Arc::default(),
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
                        async move { Ok::<_, Infallible>(platform.answer(request).await) }
                    })
                    .tcp()
            };
            let server = actix_server::Server::build()
                .workers(1)
                .disable_signals()
                .listen("platform", listener, factory);
            if let Ok(server) = server {
                // The stand-in serves until the process ends.
                let _ = server.run().await;
            }
        });
    }

    /// Where it serves.
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

    /// Looks into or changes the key-value service.
    pub fn with_store<R>(&self, look: impl FnOnce(&mut StoreStandIn) -> R) -> R {
        let result = look(&mut self.state().store);
        self.written.notify_waiters();
        result
    }

    /// Looks into or changes one worker.
    pub fn with_worker<R>(
        &self,
        name: &str,
        look: impl FnOnce(&mut WorkerStandIn) -> R,
    ) -> Option<R> {
        let mut state = self.state();
        let slot = state.workers.get_mut(name)?;
        let result = look(&mut slot.stand_in);
        slot.changed.notify_waiters();
        Some(result)
    }

    /// Long polls that wait for news right now.
    pub fn waiting_polls(&self) -> usize {
        self.waiting_polls.load(Ordering::Acquire)
    }

    /// Looks into every worker.
    pub fn each_worker(&self, mut look: impl FnMut(&mut WorkerStandIn)) {
        for slot in self.state().workers.values_mut() {
            look(&mut slot.stand_in);
            slot.changed.notify_waiters();
        }
    }

    async fn answer(&self, mut request: Request) -> Response<BoxBody> {
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
            ["vms"] => self.list(&query, known_tag.as_deref()),
            ["kv", key] => self.kv(&method, key, &query, body).await,
            ["lease", key] => self.lease(&method, key, &query).await,
            ["w", rest] => self.worker(rest, &query, body).await,
            ["fault", target] => self.fault(target, &query),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, query: &str, known_tag: Option<&str>) -> Response<BoxBody> {
        let query: ListQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let state = self.state();
        let wanted = |vm: &&VmRecord| {
            let here = query
                .data_centre
                .as_ref()
                .is_none_or(|at| *at == vm.data_centre);
            here && query.kind.is_none_or(|kind| kind == vm.kind)
        };
        let vms: Vec<&VmRecord> = state.vms.iter().filter(wanted).collect();
        let body = serde_json::to_vec(&vms).unwrap_or_default();
        let tag = format!("\"{:x}\"", xxhash_rust::xxh3::xxh3_64(&body));
        if known_tag == Some(tag.as_str()) {
            return status(StatusCode::NOT_MODIFIED);
        }
        Response::build(StatusCode::OK)
            .insert_header(("etag", tag))
            .body(body)
            .map_into_boxed_body()
    }

    async fn kv(&self, method: &Method, key: &str, query: &str, body: Bytes) -> Response<BoxBody> {
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
        self.store(call).await
    }

    async fn wait_for_version(&self, key: &str, after_version: u64, wait_ms: u64) {
        let until_ms = self.timer.now_ms() + wait_ms;
        loop {
            let written = self.written.notified();
            let now_ms = self.timer.now_ms();
            let down = self.state().store.faults.down;
            if down || self.state().store.version(key) > after_version || now_ms >= until_ms {
                return;
            }
            // Either a write or the end of the wait ends this round.
            let _ = self.timer.timeout(until_ms - now_ms, written).await;
        }
    }

    async fn lease(&self, method: &Method, key: &str, query: &str) -> Response<BoxBody> {
        let query: StoreQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        let (key, holder) = (key.to_owned(), query.holder);
        self.store(match method {
            &Method::DELETE => StoreCall::ReleaseLease { key, holder },
            _ => StoreCall::AcquireLease {
                key,
                holder,
                ttl_ms: query.ttl_ms,
            },
        })
        .await
    }

    async fn store(&self, call: StoreCall) -> Response<BoxBody> {
        let (result, delay_ms) = {
            let mut state = self.state();
            let result = state.store.handle(call, self.timer.now_ms());
            (result, state.store.faults.delay_ms)
        };
        self.written.notify_waiters();
        if delay_ms > 0 {
            self.timer.sleep(delay_ms).await;
        }
        match result {
            Ok(StoreAnswer::Value { version, value }) => versioned(StatusCode::OK, version, value),
            Ok(StoreAnswer::Written { version }) => {
                versioned(StatusCode::CREATED, version, Bytes::new())
            }
            Ok(StoreAnswer::Absent) => status(StatusCode::NOT_FOUND),
            Ok(StoreAnswer::Conflict) => status(StatusCode::CONFLICT),
            Ok(StoreAnswer::Granted) => status(StatusCode::ACCEPTED),
            Ok(StoreAnswer::Released) => status(StatusCode::NO_CONTENT),
            Ok(StoreAnswer::Held { holder }) => Response::build(StatusCode::LOCKED)
                .body(holder)
                .map_into_boxed_body(),
            Err(crate::backend::StoreFailure::Unavailable) => {
                status(StatusCode::SERVICE_UNAVAILABLE)
            }
            Err(crate::backend::StoreFailure::Timeout) => status(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    async fn worker(&self, rest: &str, query: &str, body: Bytes) -> Response<BoxBody> {
        let Some((name, action)) = rest.split_once('/') else {
            return status(StatusCode::NOT_FOUND);
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
                self.wait_for_news(name, query.cursor, query.ms, query.lease_ms)
                    .await;
                self.waiting_polls.fetch_sub(1, Ordering::AcqRel);
                WorkerCall::Poll {
                    cursor: query.cursor,
                    wait_ms: query.ms,
                    lease_ms: query.lease_ms,
                }
            }
            _ => return status(StatusCode::NOT_FOUND),
        };
        let now_ms = self.timer.now_ms();
        match self.with_worker(name, |worker| worker.handle(call, now_ms)) {
            Some(Ok(answer)) => worker_response(answer),
            // A worker out of reach never answers; the caller's timeout ends it.
            Some(Err(_)) => {
                self.timer.sleep(KEEP_ALIVE.as_millis() as u64).await;
                status(StatusCode::GATEWAY_TIMEOUT)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    async fn wait_for_news(&self, name: &str, cursor: u64, wait_ms: u64, lease_ms: u64) {
        let until_ms = self.timer.now_ms() + wait_ms;
        // The poll's arrival renews the lease, not its end.
        let arrived = WorkerCall::Poll {
            cursor,
            wait_ms,
            lease_ms,
        };
        let now_ms = self.timer.now_ms();
        let reached = self.with_worker(name, |worker| worker.handle(arrived, now_ms));
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
            let waiting = changed.notified();
            let next_ms = {
                let mut state = self.state();
                let Some(slot) = state.workers.get_mut(name) else {
                    return;
                };
                slot.stand_in.tick(now_ms);
                if slot.stand_in.has_news(cursor) || now_ms >= until_ms {
                    return;
                }
                slot.stand_in
                    .next_due_ms()
                    .unwrap_or(until_ms)
                    .min(until_ms)
            };
            // Whatever comes first: a call, a task's end, or the poll's end.
            let _ = self
                .timer
                .timeout(next_ms.saturating_sub(now_ms).max(1), waiting)
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
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn fault(&self, target: &str, query: &str) -> Response<BoxBody> {
        let query: FaultQuery = serde_urlencoded::from_str(query).unwrap_or_default();
        if target == "store" {
            self.with_store(|store| {
                store.faults.down = query.down;
                store.faults.lose_answers = query.lose_answers;
                store.faults.delay_ms = query.delay_ms;
            });
            return status(StatusCode::OK);
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
        status(found.map_or(StatusCode::NOT_FOUND, |()| StatusCode::OK))
    }
}

async fn read_body(mut payload: Payload) -> Bytes {
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}

fn status(code: StatusCode) -> Response<BoxBody> {
    Response::new(code)
}

fn versioned(code: StatusCode, version: u64, body: Bytes) -> Response<BoxBody> {
    Response::build(code)
        .insert_header((VERSION_HEADER, version.to_string()))
        .body(body)
        .map_into_boxed_body()
}

fn worker_response(answer: WorkerAnswer) -> Response<BoxBody> {
    match answer {
        WorkerAnswer::Done => status(StatusCode::ACCEPTED),
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
            let body = WorkerAnswerBody {
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
