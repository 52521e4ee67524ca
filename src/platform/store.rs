//! The platform's store.

use super::http::{
    CallFailure,
    HttpClient, //
};
use super::registration::MAX_ENTRY_BYTES;
use crate::cluster::{
    CommitResult,
    StoreError,
    StoreEvent,
    StoredItem,
    StoredRange,
    Transaction,
    WatchResult, //
};
use awc::http::{
    Method,
    StatusCode, //
};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use std::rc::Rc;

/// Where the operator keeps the newest configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// Under which the operator writes.
pub const OPERATOR_PREFIX: &str = "op/";
/// Where the operator asks for upkeep, by the number of the wave.
pub const WAVES_PREFIX: &str = "op/wave/";
/// Where the operator asks that a data centre gets no new tasks, by its name;
/// the wire calls that an evacuation, though what runs there may end.
pub const EMPTYING_PREFIX: &str = "op/evacuate/";
/// Under which the operator reads how far waves are.
pub const WAVE_STATES_PREFIX: &str = "status/wave/";
/// Under which workers register themselves.
pub const WORKERS_PREFIX: &str = "servers/";

/// Bound on a call: the store answers in 4 ms, and in some 300 ms on a slow day.
const CALL_LIMIT_MS: u64 = 1_000;
/// What a waiting watch may take beyond its wait.
const WATCH_SLACK_MS: u64 = 700;

#[derive(Deserialize)]
struct ItemBody {
    key: String,
    #[serde(default)]
    value: Option<String>,
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

#[derive(Deserialize)]
struct RangeBody {
    #[serde(default)]
    items: Vec<ItemBody>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    current_rev: u64,
}

#[derive(Deserialize)]
struct WatchBody {
    #[serde(default)]
    events: Vec<ItemBody>,
    current_rev: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    items: Vec<ItemBody>,
}

#[derive(Deserialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: u64,
}

#[derive(Serialize)]
struct ExpectedRow<'a> {
    key: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct PutRow<'a> {
    key: &'a str,
    value: String,
    #[serde(skip_serializing_if = "is_zero")]
    lease: u64,
}

#[derive(Serialize)]
struct TransactionBody<'a> {
    expected_revision: Vec<ExpectedRow<'a>>,
    puts: Vec<PutRow<'a>>,
    remove: &'a [String],
}

#[derive(Serialize)]
struct TtlBody {
    ttl_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl ItemBody {
    /// The item with its value. One that is not base64 is empty, which reads as
    /// nothing that is ever stored: the others of its page or event hold.
    fn into_item(self) -> StoredItem {
        let text = self.value.unwrap_or_default();
        let text = bounded(&self.key, text.as_bytes());
        let value = BASE64_STANDARD.decode(text).unwrap_or_else(|_| {
            metrics::counter!("fuchsiaslip_store_values_unread_total").increment(1);
            Vec::new()
        });
        StoredItem {
            key: self.key,
            value: Bytes::from(value),
            revision: self.revision,
        }
    }
}

/// As much of a value's base64 as is kept. Of a worker's entry that is too long
/// to be one, just so much that this shows: a tenth of a large fleet's entries at
/// a megabyte each would not fit into a VM's memory.
fn bounded<'a>(key: &str, text: &'a [u8]) -> &'a [u8] {
    const BYTES_IN: usize = 3;
    const BYTES_OUT: usize = 4;
    let most = (MAX_ENTRY_BYTES / BYTES_IN + 1) * BYTES_OUT;
    match key.starts_with(WORKERS_PREFIX) {
        true => &text[..text.len().min(most)],
        false => text,
    }
}

/// A text for the query of a call. Keys of other writers may hold what ends a
/// query or its field: unescaped, the page after such a key is never found.
fn query_text(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'-' | b'_' | b'.' | b'~' | b'/' | b':' => escaped.push(byte.into()),
            _ if byte.is_ascii_alphanumeric() => escaped.push(byte.into()),
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// The client of the store; lives on one thread.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: Rc<str>,
}

impl StoreClient {
    /// Opens the store at `address`.
    pub fn open(http: HttpClient, address: &str) -> Self {
        Self {
            http,
            address: address.into(),
        }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/-/{call}", self.address)
    }

    /// Reads a value; linearizable.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn get(&self, key: &str) -> Result<Option<StoredItem>, StoreError> {
        let url = self.url(&format!("kv-key?key={}", query_text(key)));
        let answer = self.http.call(Method::GET, url, &[], None, CALL_LIMIT_MS);
        let (status, body) = answered(answer.await)?;
        match status {
            StatusCode::OK => Ok(Some(decode::<ItemBody>(&body)?.into_item())),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(refused(other)),
        }
    }

    /// Asks for a sign of life, with the cheapest of calls.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer within `limit_ms`.
    pub async fn probe(&self, limit_ms: u64) -> Result<(), StoreError> {
        let url = self.url("kv-key?key=probe&serializable=1");
        let answer = self.http.call(Method::GET, url, &[], None, limit_ms);
        match answered(answer.await)?.0 {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            other => Err(refused(other)),
        }
    }

    /// Reads the values under `prefix`, page by page. The pages are not a
    /// snapshot: a watch from the revision returned shows what changed since.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn range(&self, prefix: &str, stale: bool) -> Result<StoredRange, StoreError> {
        let mut range = StoredRange::default();
        let mut after = String::new();
        loop {
            let mut call = format!("kv-range?prefix={}", query_text(prefix));
            if stale {
                call.push_str("&serializable=1");
            }
            if !after.is_empty() {
                call.push_str(&format!("&after={}", query_text(&after)));
            }
            let answer = self
                .http
                .call(Method::GET, self.url(&call), &[], None, CALL_LIMIT_MS);
            let (status, body) = answered(answer.await)?;
            if status != StatusCode::OK {
                return Err(refused(status));
            }
            let page: RangeBody = decode(&body)?;
            if range.items.is_empty() && after.is_empty() {
                range.revision = page.current_rev;
            }
            range
                .items
                .extend(page.items.into_iter().map(ItemBody::into_item));
            match range.items.last() {
                Some(last) if page.has_more && last.key > after => after.clone_from(&last.key),
                // A page that does not go on would be read for ever.
                Some(_) if page.has_more => return Err(StoreError::NoAnswer),
                _ => return Ok(range),
            }
        }
    }

    /// Waits for changes under `prefix` after `revision`.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchResult, StoreError> {
        let prefix = query_text(prefix);
        let call = format!("kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
        let limit_ms = wait_ms + WATCH_SLACK_MS;
        let answer = self
            .http
            .call(Method::GET, self.url(&call), &[], None, limit_ms);
        let answer = answer.await;
        if answer == Err(CallFailure::TooLarge) {
            // Asked again, it would be as long: pages are bounded.
            return Ok(WatchResult::HistoryGone);
        }
        let (status, body) = answered(answer)?;
        match status {
            StatusCode::OK => {
                let body: WatchBody = decode(&body)?;
                let events = body.events.into_iter().map(|event| {
                    if event.deleted {
                        return StoreEvent::Removed {
                            key: event.key,
                            revision: event.revision,
                        };
                    }
                    StoreEvent::Put(event.into_item())
                });
                Ok(WatchResult::Changes {
                    events: events.collect(),
                    revision: body.current_rev,
                })
            }
            StatusCode::GONE => Ok(WatchResult::HistoryGone),
            other => Err(refused(other)),
        }
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitResult, StoreError> {
        self.commit_within(transaction, CALL_LIMIT_MS).await
    }

    /// Carries out a transaction; without an answer in `limit_ms`, its outcome is
    /// not known.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn commit_within(
        &self,
        transaction: &Transaction,
        limit_ms: u64,
    ) -> Result<CommitResult, StoreError> {
        let expected = transaction.expected.iter();
        let puts = transaction.puts.iter();
        let body = TransactionBody {
            expected_revision: expected
                .map(|(key, revision)| ExpectedRow {
                    key,
                    revision: *revision,
                })
                .collect(),
            puts: puts
                .map(|(key, value)| PutRow {
                    key,
                    value: BASE64_STANDARD.encode(value),
                    lease: transaction.lease,
                })
                .collect(),
            remove: &transaction.removed,
        };
        let answer = self
            .http
            .post(self.url("kv-txn"), &[], &body, limit_ms.min(CALL_LIMIT_MS));
        let (status, body) = answered(answer.await)?;
        match status {
            StatusCode::OK => Ok(CommitResult::Done {
                revision: decode::<RevisionBody>(&body)?.revision,
            }),
            StatusCode::PRECONDITION_FAILED => {
                let items = decode::<ConflictBody>(&body)?.items.into_iter();
                // A key that does not exist may be shown with revision 0.
                let items = items.filter(|item| item.revision > 0 && !item.deleted);
                Ok(CommitResult::Conflict(
                    items.map(ItemBody::into_item).collect(),
                ))
            }
            StatusCode::NOT_FOUND => Ok(CommitResult::LeaseOver),
            other => Err(refused(other)),
        }
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        let body = TtlBody { ttl_ms };
        let answer = self
            .http
            .post(self.url("kv-lease"), &[], &body, CALL_LIMIT_MS);
        let (status, body) = answered(answer.await)?;
        match status {
            StatusCode::OK => Ok(decode::<LeaseBody>(&body)?.lease),
            other => Err(refused(other)),
        }
    }

    /// Renews a lease; `false` when it is over.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn keep_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let url = self.url(&format!("kv-keep/{lease}"));
        let answer = self.http.call(Method::POST, url, &[], None, CALL_LIMIT_MS);
        let (status, _) = answered(answer.await)?;
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            other => Err(refused(other)),
        }
    }
}

/// The data centre that a key under [`EMPTYING_PREFIX`] names; the value says
/// nothing.
pub fn emptied_data_centre(key: &str) -> Option<&str> {
    let name = key.strip_prefix(EMPTYING_PREFIX)?;
    (!name.is_empty()).then_some(name)
}

fn answered(
    answer: Result<(StatusCode, Bytes), CallFailure>,
) -> Result<(StatusCode, Bytes), StoreError> {
    answer.map_err(|failure| match failure {
        CallFailure::NotSent => StoreError::Refused,
        CallFailure::NoAnswer | CallFailure::TooLarge => StoreError::NoAnswer,
    })
}

fn refused(status: StatusCode) -> StoreError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => StoreError::Refused,
        status if status.is_client_error() => StoreError::Refused,
        _ => StoreError::NoAnswer,
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| {
        metrics::counter!("fuchsiaslip_store_answers_unread_total").increment(1);
        log::debug!("an answer of the store does not read: {error}");
        StoreError::NoAnswer
    })
}
