//! Client of the platform's key-value store.

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
use crate::network_bytes::BytePurpose;
use awc::http::{
    Method,
    StatusCode, //
};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use futures_util::future::try_join_all;
use serde::{
    Deserialize,
    Serialize, //
};
use std::rc::Rc;

/// The key of the operator's newest configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// The prefix of all keys that the operator writes.
pub const OPERATOR_PREFIX: &str = "op/";
/// The prefix of the operator's orders for upkeep; the wave's number follows.
pub const WAVES_PREFIX: &str = "op/wave/";
/// The prefix of the operator's orders to give a data centre no new tasks; its name
/// follows. The protocol calls this an evacuation, although running tasks may finish.
pub const EMPTYING_PREFIX: &str = "op/evacuate/";
/// The prefix of the wave states that the operator reads.
pub const WAVE_STATES_PREFIX: &str = "status/wave/";
/// The prefix under which workers register themselves.
pub const WORKERS_PREFIX: &str = "servers/";

/// Timeout of a call. The store answers in about 4 ms, or some 300 ms when it is slow.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Time that a watch may take in addition to its wait.
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
    /// Decodes the value. One that is not base64 becomes empty, which is no valid value of
    /// any key, so that the other items of the same answer can still be used.
    fn into_item(self) -> StoredItem {
        let text = self.value.unwrap_or_default();
        let text = truncated(&self.key, text.as_bytes());
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

/// Returns the part of a value's base64 that is decoded. An oversized entry of a worker is
/// cut just above the limit, where it is still recognized as too long: if a tenth of a
/// large fleet's entries had a megabyte each, they would not fit into a VM's memory.
fn truncated<'a>(key: &str, text: &'a [u8]) -> &'a [u8] {
    const BYTES_PER_BLOCK: usize = 3;
    const CHARS_PER_BLOCK: usize = 4;
    let max_length = (MAX_ENTRY_BYTES / BYTES_PER_BLOCK + 1) * CHARS_PER_BLOCK;
    match key.starts_with(WORKERS_PREFIX) {
        true => &text[..text.len().min(max_length)],
        false => text,
    }
}

/// Percent-encodes a string for the query of a URL. Keys of other writers may contain
/// characters that end a query or one of its fields; without the encoding, the page after
/// such a key would be requested with a wrong key.
fn percent_encode(text: &str) -> String {
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

/// Client of the store. It cannot be sent to another thread.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: Rc<str>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(http: HttpClient, address: &str) -> Self {
        Self {
            http,
            address: address.into(),
        }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/-/{call}", self.address)
    }

    /// Reads a value linearizably. Returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn get(&self, key: &str) -> Result<Option<StoredItem>, StoreError> {
        let url = self.url(&format!("kv-key?key={}", percent_encode(key)));
        let answer = self.http.call(
            BytePurpose::StoreRead,
            Method::GET,
            url,
            &[],
            None,
            CALL_TIMEOUT_MS,
        );
        let (status, body) = store_answer(answer.await)?;
        match status {
            StatusCode::OK => Ok(Some(decode::<ItemBody>(&body)?.into_item())),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(error_of_status(other)),
        }
    }

    /// Checks with the cheapest call whether the store answers.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer within `timeout_ms`.
    pub async fn probe(&self, timeout_ms: u64) -> Result<(), StoreError> {
        let url = self.url("kv-key?key=probe&serializable=1");
        let answer = self.http.call(
            BytePurpose::StoreRead,
            Method::GET,
            url,
            &[],
            None,
            timeout_ms,
        );
        match store_answer(answer.await)?.0 {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            other => Err(error_of_status(other)),
        }
    }

    /// Reads the values under `prefix`, page by page. The pages are not a snapshot: a watch
    /// from the returned revision shows what has changed meanwhile. If `allow_stale`, the
    /// values need not be the newest ones. A page takes several round trips, so that those
    /// after the first one are read in segments at the same time.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn range(&self, prefix: &str, allow_stale: bool) -> Result<StoredRange, StoreError> {
        let page = self.page(prefix, allow_stale, "").await?;
        let mut range = StoredRange {
            revision: page.current_rev,
            items: page.items.into_iter().map(ItemBody::into_item).collect(),
        };
        let (Some(first), Some(last)) = (range.items.first(), range.items.last()) else {
            return match page.has_more {
                true => Err(StoreError::NoAnswer),
                false => Ok(range),
            };
        };
        if !page.has_more {
            return Ok(range);
        }
        let mut starts = vec![last.key.clone()];
        starts.extend(segment_starts(prefix, &first.key, &last.key));
        let ends = starts.iter().skip(1).map(Some).chain([None]);
        let segments = starts.iter().zip(ends).map(|(start, end)| {
            let end = end.map(String::as_str);
            self.segment(prefix, allow_stale, start, end)
        });
        for items in try_join_all(segments).await? {
            range.items.extend(items);
        }
        Ok(range)
    }

    /// Reads the values under `prefix` whose keys are above `start` and not above `end`.
    async fn segment(
        &self,
        prefix: &str,
        allow_stale: bool,
        start: &str,
        end: Option<&str>,
    ) -> Result<Vec<StoredItem>, StoreError> {
        let (mut items, mut after) = (Vec::new(), start.to_owned());
        let is_within = |key: &str| end.is_none_or(|end| key <= end);
        loop {
            let page = self.page(prefix, allow_stale, &after).await?;
            let last = page.items.last().map(|item| item.key.clone());
            let has_more = page.has_more && last.as_deref().is_none_or(is_within);
            let within = page.items.into_iter().filter(|item| is_within(&item.key));
            items.extend(within.map(ItemBody::into_item));
            if !has_more {
                return Ok(items);
            }
            // After a page that does not advance, the loop would never end.
            let advanced = last.filter(|last| *last > after);
            after = advanced.ok_or(StoreError::NoAnswer)?;
        }
    }

    async fn page(
        &self,
        prefix: &str,
        allow_stale: bool,
        after: &str,
    ) -> Result<RangeBody, StoreError> {
        let mut call = format!("kv-range?prefix={}", percent_encode(prefix));
        if allow_stale {
            call.push_str("&serializable=1");
        }
        if !after.is_empty() {
            call.push_str(&format!("&after={}", percent_encode(after)));
        }
        let (kind, url) = (BytePurpose::StoreRead, self.url(&call));
        let answer = self
            .http
            .call(kind, Method::GET, url, &[], None, CALL_TIMEOUT_MS);
        let (status, body) = store_answer(answer.await)?;
        match status {
            StatusCode::OK => decode(&body),
            other => Err(error_of_status(other)),
        }
    }

    /// Waits up to `wait_ms` for changes under `prefix` after `revision`.
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
        let prefix = percent_encode(prefix);
        let call = format!("kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
        let timeout_ms = wait_ms + WATCH_SLACK_MS;
        let answer = self.http.call(
            BytePurpose::StoreWatch,
            Method::GET,
            self.url(&call),
            &[],
            None,
            timeout_ms,
        );
        let answer = answer.await;
        if answer == Err(CallFailure::TooLarge) {
            // A repeated watch would be as long, whereas the pages of a range are bounded.
            return Ok(WatchResult::HistoryGone);
        }
        let (status, body) = store_answer(answer)?;
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
            other => Err(error_of_status(other)),
        }
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitResult, StoreError> {
        self.commit_within(transaction, CALL_TIMEOUT_MS).await
    }

    /// Carries out a transaction. Without an answer within `timeout_ms`, its outcome is
    /// unknown.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn commit_within(
        &self,
        transaction: &Transaction,
        timeout_ms: u64,
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
        let answer = self.http.post(
            BytePurpose::StoreWrite,
            self.url("kv-txn"),
            &[],
            &body,
            timeout_ms.min(CALL_TIMEOUT_MS),
        );
        let (status, body) = store_answer(answer.await)?;
        match status {
            StatusCode::OK => Ok(CommitResult::Done {
                revision: decode::<RevisionBody>(&body)?.revision,
            }),
            StatusCode::PRECONDITION_FAILED => {
                let items = decode::<ConflictBody>(&body)?.items.into_iter();
                // A key that does not exist may be listed with revision 0.
                let items = items.filter(|item| item.revision > 0 && !item.deleted);
                Ok(CommitResult::Conflict(
                    items.map(ItemBody::into_item).collect(),
                ))
            }
            StatusCode::NOT_FOUND => Ok(CommitResult::LeaseExpired),
            other => Err(error_of_status(other)),
        }
    }

    /// Grants a lease of `ttl_ms` and returns its ID.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        let body = TtlBody { ttl_ms };
        let answer = self.http.post(
            BytePurpose::StoreWrite,
            self.url("kv-lease"),
            &[],
            &body,
            CALL_TIMEOUT_MS,
        );
        let (status, body) = store_answer(answer.await)?;
        match status {
            StatusCode::OK => Ok(decode::<LeaseBody>(&body)?.lease),
            other => Err(error_of_status(other)),
        }
    }

    /// Renews a lease. Returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let url = self.url(&format!("kv-keep/{lease}"));
        let answer = self.http.call(
            BytePurpose::StoreWrite,
            Method::POST,
            url,
            &[],
            None,
            CALL_TIMEOUT_MS,
        );
        let (status, _) = store_answer(answer.await)?;
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            other => Err(error_of_status(other)),
        }
    }
}

/// Returns keys that divide what comes after the first page of a range, for names that are
/// hexadecimal after what they have in common. With other names the segments are uneven, which
/// costs time only.
fn segment_starts(prefix: &str, first: &str, last: &str) -> Vec<String> {
    const DIGITS: [char; 3] = ['4', '8', 'c'];
    let common = first
        .char_indices()
        .zip(last.chars())
        .find(|((_, a), b)| a != b);
    let common = common.map_or(first.len(), |((at, _), _)| at);
    // The first page of a very large range may be within one digit.
    let shorter = first[..common].char_indices().next_back();
    let shorter = shorter.map_or(0, |(at, _)| at).max(prefix.len());
    let mut starts: Vec<String> = [common, shorter]
        .iter()
        .filter_map(|&length| first.get(..length))
        .flat_map(|common| DIGITS.map(|digit| format!("{common}{digit}")))
        .filter(|start| start.as_str() > last)
        .collect();
    starts.sort();
    starts.dedup();
    starts
}

/// Returns the data centre that a key under [`EMPTYING_PREFIX`] names; the value of the key
/// has no meaning.
pub fn emptied_data_centre(key: &str) -> Option<&str> {
    let name = key.strip_prefix(EMPTYING_PREFIX)?;
    (!name.is_empty()).then_some(name)
}

fn store_answer(
    answer: Result<(StatusCode, Bytes), CallFailure>,
) -> Result<(StatusCode, Bytes), StoreError> {
    answer.map_err(|failure| match failure {
        CallFailure::NoConnection | CallFailure::NotSent => StoreError::Refused,
        CallFailure::NoAnswer | CallFailure::TooLarge => StoreError::NoAnswer,
    })
}

fn error_of_status(status: StatusCode) -> StoreError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => StoreError::Refused,
        status if status.is_client_error() => StoreError::Refused,
        _ => StoreError::NoAnswer,
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| {
        metrics::counter!("fuchsiaslip_store_answers_unread_total").increment(1);
        log::debug!("cannot decode an answer of the store: {error}");
        StoreError::NoAnswer
    })
}
