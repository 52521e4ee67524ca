//! Encodes what an owner has learned, for messages and for the store.
//!
//! Logarithms are rounded to hundredths, which is far below their uncertainty. A stored part
//! begins with a mark, a version and a checksum: another program or version may have written
//! the key, and half a value, or one with a changed bit, often decodes as well.

use super::invalid_values::InvalidReason;
use super::records::{
    LEARNED_PARTS,
    LEARNED_PREFIX, //
};
use crate::scheduler::{
    Learned,
    LearnedAccount,
    LearnedQueue,
    LearnedWorker,
    LogEstimate,
    RunTimeModel, //
};
use bytes::Bytes;
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of a stored part.
const MARK: &[u8; 4] = b"FSLL";
/// The version of a stored part's encoding.
const VERSION: u8 = 1;
/// Length of mark, version and checksum.
const HEAD_BYTES: usize = MARK.len() + 1 + size_of::<u64>();
/// Largest stored part, a quarter of what the store takes in one value.
pub const MAX_PART_BYTES: usize = 256 << 10;
/// Units of a rounded logarithm in one.
const LN_UNITS: f64 = 100.0;

/// When and by which owner values were known. Later ones replace earlier ones.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LearnedStamp {
    /// The owner's epoch.
    pub epoch: u64,
    /// The time on the owner's clock.
    pub at_ms: u64,
}

/// What an owner has learned, or a part of it.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedMessage {
    /// The owner's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The time on the owner's clock.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Workers.
    #[prost(message, repeated, tag = "3")]
    pub workers: Vec<WorkerMessage>,
    /// Queues.
    #[prost(message, repeated, tag = "4")]
    pub queues: Vec<QueueMessage>,
    /// Client accounts.
    #[prost(message, repeated, tag = "5")]
    pub accounts: Vec<AccountMessage>,
}

/// What is known of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerMessage {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// When its incarnation started, since the Unix epoch; absent if not known.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation_start_ms: Option<u64>,
    /// Hundredths of the logarithm of its slowness.
    #[prost(sint32, tag = "3")]
    pub slowness: i32,
    /// Hundredths of the logarithm of the variance of that logarithm.
    #[prost(sint32, tag = "4")]
    pub variance: i32,
}

/// What is known of a queue.
#[derive(Clone, PartialEq, Message)]
pub struct QueueMessage {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The sums of the model of its run times.
    #[prost(float, repeated, tag = "2")]
    pub run_times: Vec<f32>,
    /// Number of jobs.
    #[prost(float, tag = "3")]
    pub jobs: f32,
    /// Their mean work.
    #[prost(float, tag = "4")]
    pub mean_work: f32,
}

/// What is known of a client account.
#[derive(Clone, PartialEq, Message)]
pub struct AccountMessage {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Work that was recently done for it.
    #[prost(float, tag = "2")]
    pub served_work: f32,
}

fn rounded(value: f64, units: f64) -> i32 {
    // A number that is out of range becomes the nearest one.
    (value * units).round() as i32
}

impl From<&LearnedWorker> for WorkerMessage {
    fn from(worker: &LearnedWorker) -> Self {
        Self {
            name: worker.name.to_string(),
            incarnation_start_ms: worker.incarnation_start_ms,
            slowness: rounded(worker.slowness.mean, LN_UNITS),
            variance: rounded(worker.slowness.variance.ln(), LN_UNITS),
        }
    }
}

impl From<&WorkerMessage> for LearnedWorker {
    fn from(message: &WorkerMessage) -> Self {
        Self {
            name: message.name.as_str().into(),
            incarnation_start_ms: message.incarnation_start_ms,
            slowness: LogEstimate {
                mean: f64::from(message.slowness) / LN_UNITS,
                variance: (f64::from(message.variance) / LN_UNITS).exp(),
            },
        }
    }
}

impl From<&LearnedQueue> for QueueMessage {
    fn from(queue: &LearnedQueue) -> Self {
        Self {
            name: queue.name.to_string(),
            run_times: queue.run_times.sums().map(|sum| sum as f32).to_vec(),
            jobs: queue.jobs as f32,
            mean_work: queue.mean_work as f32,
        }
    }
}

impl From<&LearnedAccount> for AccountMessage {
    fn from(account: &LearnedAccount) -> Self {
        Self {
            name: account.name.to_string(),
            served_work: account.served_work as f32,
        }
    }
}

impl QueueMessage {
    /// Returns the values; `None` if the model is of another version.
    fn queue(&self) -> Option<LearnedQueue> {
        let sums: [f32; 6] = self.run_times.as_slice().try_into().ok()?;
        Some(LearnedQueue {
            name: self.name.as_str().into(),
            run_times: RunTimeModel::from_sums(sums.map(f64::from)),
            jobs: f64::from(self.jobs),
            mean_work: f64::from(self.mean_work),
        })
    }
}

impl LearnedMessage {
    /// Returns the message of these values.
    pub fn new(stamp: LearnedStamp, learned: &Learned) -> Self {
        Self {
            epoch: stamp.epoch,
            at_ms: stamp.at_ms,
            workers: learned.workers.iter().map(WorkerMessage::from).collect(),
            queues: learned.queues.iter().map(QueueMessage::from).collect(),
            accounts: learned.accounts.iter().map(AccountMessage::from).collect(),
        }
    }

    /// When and by which owner the values were known.
    pub fn stamp(&self) -> LearnedStamp {
        LearnedStamp {
            epoch: self.epoch,
            at_ms: self.at_ms,
        }
    }

    /// Returns the possible ones of the values.
    pub fn learned(&self) -> Learned {
        let accounts = self.accounts.iter().map(|account| LearnedAccount {
            name: account.name.as_str().into(),
            served_work: f64::from(account.served_work),
        });
        let workers = self.workers.iter().map(LearnedWorker::from);
        let queues = self.queues.iter().filter_map(QueueMessage::queue);
        Learned {
            workers: workers.filter(LearnedWorker::is_possible).collect(),
            queues: queues.filter(LearnedQueue::is_possible).collect(),
            accounts: accounts.filter(LearnedAccount::is_possible).collect(),
        }
    }
}

/// The key of a part.
pub fn learned_part_key(part: u32) -> String {
    format!("{LEARNED_PREFIX}{part:02}")
}

/// The number of a part; `None` for the key of another value.
pub fn parse_learned_part(key: &str) -> Option<u32> {
    let part = key.strip_prefix(LEARNED_PREFIX)?.parse().ok()?;
    (part < LEARNED_PARTS && learned_part_key(part) == key).then_some(part)
}

/// The part to which a worker, queue or account belongs.
pub fn learned_part(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) % u64::from(LEARNED_PARTS)) as u32
}

/// Encodes a part for the store.
pub fn encode_learned_part(stamp: LearnedStamp, learned: &Learned) -> Bytes {
    let body = LearnedMessage::new(stamp, learned).encode_to_vec();
    let mut value = Vec::with_capacity(HEAD_BYTES + body.len());
    value.extend_from_slice(MARK);
    value.push(VERSION);
    value.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    value.extend_from_slice(&body);
    Bytes::from(value)
}

/// Decodes a stored part; values in it that are impossible are left out.
///
/// # Errors
///
/// The bytes are no part, or one of another version.
pub fn decode_learned_part(value: &[u8]) -> Result<(LearnedStamp, Learned), InvalidReason> {
    if value.len() > MAX_PART_BYTES {
        return Err(InvalidReason::because("too_large"));
    }
    let rest = value.strip_prefix(MARK);
    let rest = rest.ok_or_else(|| InvalidReason::because("not_learned"))?;
    let (version, rest) = rest
        .split_first()
        .ok_or_else(|| InvalidReason::because("bad_checksum"))?;
    if *version != VERSION {
        return Err(InvalidReason::because("bad_version"));
    }
    let (checksum, body) = rest
        .split_first_chunk()
        .ok_or_else(|| InvalidReason::because("bad_checksum"))?;
    if u64::from_le_bytes(*checksum) != xxh3_64(body) {
        return Err(InvalidReason::because("bad_checksum"));
    }
    let message = LearnedMessage::decode(body);
    let message = message.map_err(|_| InvalidReason::because("bad_field"))?;
    Ok((message.stamp(), message.learned()))
}
