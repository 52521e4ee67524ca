//! A stand-in of an operator's platform, by its published protocol: a store
//! with revisions, leases, watches and conditional transactions, and workers
//! with fences, leases and listed ends. It runs on a thread of its own, can be
//! told to refuse, to lose answers and to carry writes out late, and keeps a
//! record of everything that ran.

use actix_http::body::BoxBody;
use actix_http::{
    HttpService,
    Request,
    Response,
    StatusCode, //
};
use actix_service::{
    Service,
    ServiceFactory, //
};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use serde_json::{
    Value,
    json, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::time::{
    Duration,
    Instant, //
};

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    #[default]
    Serving,
    /// It answers 503.
    Refusing,
    /// It does not answer.
    Silent,
    /// Writes are carried out, and one in three gets no answer.
    LosingAnswers,
    /// One in three writes gets no answer and is carried out late, if its
    /// condition still holds.
    Late,
}

/// One run, as the worker saw it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    #[expect(dead_code, reason = "shown when a promise is broken")]
    pub worker: usize,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// The worker's lease ran out before anybody took note of the end: it
    /// counts for nothing, and the task may be started anew.
    pub void: bool,
}

#[derive(Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct FakeWorker {
    id: String,
    fence: u64,
    lease_end_ms: u64,
    /// Task to run number, end time and place in the record of runs.
    running: BTreeMap<String, (u64, Instant, usize)>,
    refused: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Places of the listed ends in the record of runs, by number.
    unnoted: BTreeMap<u64, usize>,
    next_end: u64,
    pub cut: bool,
}

/// What the stand-in holds.
#[derive(Debug)]
pub struct World {
    pub mode: StoreMode,
    pub records: Vec<RunRecord>,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    oldest: u64,
    revision: u64,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
    writes: u64,
    workers: Vec<FakeWorker>,
    began: Instant,
}

/// The running stand-in.
pub struct Operator {
    pub store: SocketAddr,
    world: Arc<Mutex<World>>,
}

impl World {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 5_000
    }

    /// Writes a value as the operator does.
    pub fn put(&mut self, key: &str, value: &Value) {
        let value = BASE64_STANDARD.encode(value.to_string());
        self.put_raw(key, value, 0);
    }

    /// A value as text; empty if there is none.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let all = self.items.keys().filter(|key| key.starts_with(prefix));
        all.cloned().collect()
    }

    /// Drops the history: watches from before are told to read anew.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.oldest = self.revision;
    }

    /// Cuts a worker off, or joins it again.
    pub fn cut_worker(&mut self, at: usize, cut: bool) {
        self.workers[at].cut = cut;
    }

    fn put_raw(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }

    fn item_json(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(
            json!({ "key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease, "current_rev": self.revision }),
        )
    }

    fn events_after(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.oldest {
            return None;
        }
        let changed = self
            .history
            .iter()
            .filter(|(revision, key)| *revision > after && key.starts_with(prefix));
        let mut events = BTreeMap::new();
        for (revision, key) in changed {
            let event = self
                .item_json(key)
                .unwrap_or_else(|| json!({ "key": key, "revision": revision, "deleted": true }));
            events.insert(key.clone(), event);
        }
        Some(events.into_values().collect())
    }

    fn transact(&mut self, body: &Value) -> (StatusCode, Value) {
        let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let expected = rows("expected_revision");
        let holds = expected.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        });
        if !holds {
            let keys = expected.iter().filter_map(|row| row["key"].as_str());
            let items: Vec<Value> = keys.filter_map(|key| self.item_json(key)).collect();
            return (StatusCode::PRECONDITION_FAILED, json!({ "items": items }));
        }
        for row in rows("puts") {
            let lease = row["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (StatusCode::NOT_FOUND, json!({}));
            }
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.put_raw(row["key"].as_str().unwrap_or_default(), value, lease);
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (StatusCode::OK, json!({ "revision": self.revision }))
    }

    /// Ends what is due on a worker: run times and leases.
    fn settle_worker(&mut self, at: usize) {
        let (now, clock_ms) = (Instant::now(), self.clock_ms());
        let worker = &mut self.workers[at];
        let lapsed = clock_ms > worker.lease_end_ms;
        let over: Vec<(String, bool)> = worker
            .running
            .iter()
            .filter(|(_, (_, until, _))| lapsed || *until <= now)
            .map(|(task, (_, until, _))| (task.clone(), *until <= now))
            .collect();
        if lapsed {
            let places: Vec<usize> = worker.unnoted.values().copied().collect();
            for place in places {
                self.records[place].void = true;
            }
        }
        for (task, done) in over {
            self.end_run(at, &task, if done { "done" } else { "lapsed" });
        }
    }

    fn end_run(&mut self, at: usize, task: &str, how: &'static str) {
        let worker = &mut self.workers[at];
        let Some((run, until, record)) = worker.running.remove(task) else {
            return;
        };
        worker.next_end += 1;
        worker.unnoted.insert(worker.next_end, record);
        worker
            .ended
            .push((worker.next_end, task.to_owned(), run, how));
        worker.refused.insert(task.to_owned(), run);
        let ended = if how == "done" { until } else { Instant::now() };
        self.records[record].ended = Some((ended, how));
    }

    fn fenced(&mut self, at: usize, body: &Value) -> bool {
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        let worker = &mut self.workers[at];
        let fenced = fence < worker.fence;
        worker.fence = worker.fence.max(fence);
        fenced
    }

    fn call_worker(&mut self, at: usize, call: &str, body: &Value) -> (StatusCode, Value) {
        self.settle_worker(at);
        let clock_ms = self.clock_ms();
        let refuse = |reason: &str| {
            let answer = json!({ "clock_ms": clock_ms, "reason": reason });
            (StatusCode::CONFLICT, answer)
        };
        if self.fenced(at, body) {
            return refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run_id"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        match call {
            "run-start" => {
                if deadline_ms < clock_ms {
                    return refuse("late");
                }
                let worker = &mut self.workers[at];
                worker.lease_end_ms = worker.lease_end_ms.max(deadline_ms);
                if worker
                    .refused
                    .get(&task)
                    .is_some_and(|&refused| run <= refused)
                {
                    return refuse("old");
                }
                if worker
                    .running
                    .get(&task)
                    .is_some_and(|(own, ..)| *own == run)
                {
                    return (StatusCode::OK, json!({ "clock_ms": clock_ms }));
                }
                let run_ms: u64 = body["spec"]
                    .as_str()
                    .and_then(|spec| spec.parse().ok())
                    .unwrap_or(100);
                let until = Instant::now() + Duration::from_millis(run_ms);
                let record = self.records.len();
                worker.running.insert(task.clone(), (run, until, record));
                self.records.push(RunRecord {
                    task,
                    run,
                    worker: at,
                    began: Instant::now(),
                    ended: None,
                    void: false,
                });
            }
            "run-stop" => {
                let refused = self.workers[at].refused.entry(task.clone()).or_default();
                *refused = run.max(*refused);
                let there = self.workers[at]
                    .running
                    .get(&task)
                    .is_some_and(|(own, ..)| *own == run);
                if there {
                    self.end_run(at, &task, "stopped");
                }
            }
            _ => {
                let seen = body["last_seen"].as_u64().unwrap_or(0);
                let records = &self.records;
                let worker = &mut self.workers[at];
                worker.lease_end_ms = worker.lease_end_ms.max(deadline_ms);
                worker.ended.retain(|(number, ..)| *number > seen);
                worker.unnoted.retain(|number, _| *number > seen);
                let running: Vec<Value> = worker
                    .running
                    .iter()
                    .map(|(task, (run, until, record))| {
                        let began = records[*record].began;
                        let whole = until.duration_since(began).as_millis().max(1);
                        let percent = began.elapsed().as_millis() * 100 / whole;
                        json!([task, run, "", percent.min(99) as u64])
                    })
                    .collect();
                let finished: Vec<Value> = worker
                    .ended
                    .iter()
                    .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
                    .collect();
                let answer =
                    json!({ "clock_ms": clock_ms, "running": running, "finished": finished });
                return (StatusCode::OK, answer);
            }
        }
        (StatusCode::OK, json!({ "clock_ms": clock_ms }))
    }
}

impl Operator {
    /// Starts the stand-in with so many workers of 8 accelerators.
    pub fn spawn(worker_count: usize) -> Self {
        let world = World {
            mode: StoreMode::Serving,
            records: Vec::new(),
            items: BTreeMap::new(),
            history: Vec::new(),
            oldest: 0,
            revision: 1,
            leases: HashMap::new(),
            next_lease: 1,
            writes: 0,
            workers: (0..worker_count)
                .map(|at| FakeWorker {
                    id: format!("w{at}"),
                    ..FakeWorker::default()
                })
                .collect(),
            began: Instant::now(),
        };
        let world = Arc::new(Mutex::new(world));
        let shared = world.clone();
        let (addresses, started) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let own = shared.clone();
                let (store, serving) =
                    bind(move |request| answer_store(own.clone(), request)).await;
                for at in 0..worker_count {
                    let own = shared.clone();
                    let (address, serving) =
                        bind(move |request| answer_worker(own.clone(), at, request)).await;
                    actix_rt::spawn(serving);
                    let value = json!({ "service": "s", "address": address.to_string(), "zone": "z",
                        "state": "ready", "labels": ["a", "r1"], "sequence": 1,
                        "capacity": { "cpu": 32000, "mem_mb": 131072, "gpu": 8 } });
                    lock(&shared).put(&format!("servers/w{at}"), &value);
                }
                addresses.send(store).expect("the test waits");
                serving.await;
            });
        });
        let store = started.recv().expect("the stand-in starts");
        Self { store, world }
    }

    /// The stand-in's state.
    pub fn world(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }
}

fn lock(world: &Arc<Mutex<World>>) -> MutexGuard<'_, World> {
    world
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn bind<F, A>(answer: F) -> (SocketAddr, impl Future<Output = ()>)
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let service = HttpService::build()
        .h1(move |request: Request| {
            let answering = answer(request);
            async move { Ok::<_, Infallible>(answering.await) }
        })
        .tcp();
    let service = Rc::new(service.new_service(()).await.expect("a service"));
    let serving = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            actix_rt::spawn(async move { service.call(stream).await });
        }
    };
    (address, serving)
}

async fn body_of(request: &mut Request) -> Value {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}

fn respond((status, body): (StatusCode, Value)) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(Bytes::from(body.to_string())))
}

async fn never() -> Response<BoxBody> {
    actix_rt::time::sleep(Duration::from_secs(3_600)).await;
    respond((StatusCode::OK, json!({})))
}

async fn answer_store(world: Arc<Mutex<World>>, mut request: Request) -> Response<BoxBody> {
    let mode = lock(&world).mode;
    match mode {
        StoreMode::Refusing => return respond((StatusCode::SERVICE_UNAVAILABLE, json!({}))),
        StoreMode::Silent => return never().await,
        _ => {}
    }
    let body = body_of(&mut request).await;
    let uri = request.uri().clone();
    let query: HashMap<String, String> =
        serde_urlencoded::from_str(uri.query().unwrap_or_default()).unwrap_or_default();
    let path = uri.path().trim_start_matches("/-/").to_owned();
    if path == "kv-watch" {
        return watch(&world, &query).await;
    }
    if path == "kv-txn" {
        return transact(world, mode, body).await;
    }
    let mut world = lock(&world);
    world.end_leases();
    respond(match path.split_once('/').unwrap_or((&path, "")) {
        ("kv-key", _) => match world.item_json(&query["key"]) {
            Some(item) => (StatusCode::OK, item),
            None => (StatusCode::NOT_FOUND, json!({})),
        },
        ("kv-range", _) => {
            let items: Vec<Value> = world
                .keys(&query["prefix"])
                .iter()
                .filter_map(|key| world.item_json(key))
                .collect();
            let answer =
                json!({ "items": items, "has_more": false, "current_rev": world.revision });
            (StatusCode::OK, answer)
        }
        ("kv-lease", _) => {
            let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
            let lease = world.next_lease;
            world.next_lease += 1;
            let until = Instant::now() + Duration::from_millis(ttl_ms);
            world.leases.insert(lease, (until, ttl_ms));
            (StatusCode::OK, json!({ "lease": lease, "ttl_ms": ttl_ms }))
        }
        ("kv-keep", lease) => {
            let lease = lease.parse().unwrap_or(0);
            match world.leases.get_mut(&lease) {
                Some((until, ttl_ms)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl_ms);
                    (StatusCode::OK, json!({}))
                }
                None => (StatusCode::NOT_FOUND, json!({})),
            }
        }
        _ => (StatusCode::NOT_FOUND, json!({})),
    })
}

async fn watch(world: &Arc<Mutex<World>>, query: &HashMap<String, String>) -> Response<BoxBody> {
    const POLL: Duration = Duration::from_millis(5);
    let number = |field: &str| query[field].parse::<u64>().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        {
            let mut world = lock(world);
            world.end_leases();
            let Some(events) = world.events_after(&query["prefix"], number("after")) else {
                return respond((StatusCode::GONE, json!({})));
            };
            if !events.is_empty() || Instant::now() >= until {
                let answer = json!({ "events": events, "current_rev": world.revision });
                return respond((StatusCode::OK, answer));
            }
        }
        actix_rt::time::sleep(POLL).await;
    }
}

async fn transact(world: Arc<Mutex<World>>, mode: StoreMode, body: Value) -> Response<BoxBody> {
    const LATE: Duration = Duration::from_millis(1_500);
    const LOST_ONE_IN: u64 = 3;
    let lost = {
        let mut world = lock(&world);
        world.writes += 1;
        world.writes.is_multiple_of(LOST_ONE_IN)
    };
    match mode {
        StoreMode::LosingAnswers if lost => {
            lock(&world).transact(&body);
            never().await
        }
        StoreMode::Late if lost => {
            actix_rt::spawn(async move {
                actix_rt::time::sleep(LATE).await;
                lock(&world).transact(&body);
            });
            never().await
        }
        _ => respond(lock(&world).transact(&body)),
    }
}

async fn answer_worker(
    world: Arc<Mutex<World>>,
    at: usize,
    mut request: Request,
) -> Response<BoxBody> {
    const POLL: Duration = Duration::from_millis(5);
    let expected = request.head().headers.get("expected-instance");
    let expected = expected
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = body_of(&mut request).await;
    let call = request.path().trim_start_matches("/-/").to_owned();
    if lock(&world).workers[at].cut {
        return never().await;
    }
    if expected.as_deref() != Some(&*lock(&world).workers[at].id) {
        return respond((StatusCode::MISDIRECTED_REQUEST, json!({})));
    }
    let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let answer = lock(&world).call_worker(at, &call, &body);
        let waits = call == "hold"
            && answer.0 == StatusCode::OK
            && answer.1["finished"].as_array().is_some_and(Vec::is_empty)
            && Instant::now() < until;
        if !waits {
            return respond(answer);
        }
        actix_rt::time::sleep(POLL).await;
    }
}
