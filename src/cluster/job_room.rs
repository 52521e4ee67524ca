//! Decides whether the owner has memory for a job, before it is stored.
//!
//! Load pattern: any daemon stores jobs, and the owner keeps all of them in memory. A job of a
//! few hundred bytes may have a hundred thousand tasks, and one of the largest size thousands of
//! steps. So the owner tells the daemons with its heartbeats how much it has left, and they
//! refuse what does not fit. Large jobs get half of the memory, so that they leave the others
//! room. The owner opens no more occurrences than the same memory holds
//! (`scheduler/job_memory.rs`).

use crate::scheduler::LARGE_JOB_SHARE;

/// Part of a machine's memory that jobs may take on the owner.
const JOB_SHARE: u64 = 4;
/// A job that takes more than this is large.
const LARGE_JOB_BYTES: u64 = 64 << 10;

/// The memory for jobs of the owner, as a daemon knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobRoom {
    limit_bytes: u64,
    used_bytes: u64,
    /// Bytes of jobs that this daemon accepted since the last report, and between the last two.
    accepted_bytes: u64,
    accepted_before_bytes: u64,
}

impl JobRoom {
    /// The memory for jobs on a machine with `memory_bytes`, none of which is in use.
    pub fn of_machine(memory_bytes: u64) -> Self {
        Self {
            limit_bytes: memory_bytes / JOB_SHARE,
            used_bytes: 0,
            accepted_bytes: 0,
            accepted_before_bytes: 0,
        }
    }

    /// Memory that jobs may take on the owner, in bytes.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Memory that jobs took on the owner when it last told, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Records what the owner told. It may not know of the jobs that were accepted last.
    pub fn update(&mut self, limit_bytes: u64, used_bytes: u64) {
        self.limit_bytes = limit_bytes;
        self.used_bytes = used_bytes;
        self.accepted_before_bytes = self.accepted_bytes;
        self.accepted_bytes = 0;
    }

    /// Whether an owner without any other job would have memory for a job of `job_bytes`.
    pub fn can_hold(&self, job_bytes: u64) -> bool {
        job_bytes <= self.most_bytes(job_bytes)
    }

    /// Whether the owner has memory for a job of `job_bytes`. If so, the job counts from now on.
    pub fn admit(&mut self, job_bytes: u64) -> bool {
        let accepted_bytes = self.accepted_bytes + self.accepted_before_bytes;
        let used_bytes = self.used_bytes + accepted_bytes + job_bytes;
        let is_admitted = used_bytes <= self.most_bytes(job_bytes);
        if is_admitted {
            self.accepted_bytes += job_bytes;
        }
        is_admitted
    }

    /// The memory of which a job of `job_bytes` may take the last part.
    fn most_bytes(&self, job_bytes: u64) -> u64 {
        match job_bytes > LARGE_JOB_BYTES {
            true => self.limit_bytes / LARGE_JOB_SHARE,
            false => self.limit_bytes,
        }
    }
}
