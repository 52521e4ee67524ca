//! The outcome of storing a job or a cancellation, and its number between daemons.

use super::peer_frame::PeerBody;

/// The outcome of storing a job or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StorageOutcome {
    /// It is stored.
    Done,
    /// It is not stored and will not be.
    Refused,
    /// It may be stored, now or later.
    Unknown,
    /// The job to be cancelled does not exist, and no earlier request will store it.
    NoSuchJob,
    /// The job was cancelled before it was stored, and will not be.
    Cancelled,
    /// It is not stored and will not be, since its submitter has too many tombstones.
    LimitReached,
}

impl StorageOutcome {
    /// The outcome that a peer answered; `Unknown` if it did not answer.
    pub fn of_answer(answer: Option<PeerBody>) -> Self {
        match answer {
            Some(PeerBody::StorageOutcome(code)) => Self::of_code(code),
            _ => Self::Unknown,
        }
    }

    /// The outcome's number in messages between daemons.
    pub fn code(self) -> u32 {
        match self {
            Self::Done => 1,
            Self::Refused => 2,
            Self::Unknown => 3,
            Self::NoSuchJob => 4,
            Self::Cancelled => 5,
            Self::LimitReached => 6,
        }
    }

    /// The outcome with this number; `Unknown` for an unassigned one.
    fn of_code(code: u32) -> Self {
        match code {
            1 => Self::Done,
            2 => Self::Refused,
            4 => Self::NoSuchJob,
            5 => Self::Cancelled,
            6 => Self::LimitReached,
            _ => Self::Unknown,
        }
    }
}
