//! A client account of a cell: its declaration, its usage and its retry budget.

use crate::config::AccountDeclaration;

const MS_PER_MINUTE: f64 = 60_000.0;

/// A client account with its current use.
#[derive(Clone, Debug)]
pub struct Account {
    /// What operators declared.
    pub declaration: AccountDeclaration,
    /// Whether the declaration was withdrawn: the account's jobs finish, but it
    /// cannot submit new ones.
    pub withdrawn: bool,
    /// Accelerators that its jobs hold.
    pub used_accelerators: u32,
    /// Accelerators that its jobs hold outside its own pledges.
    pub surplus_accelerators: u32,
    /// Number of its waiting jobs.
    pub waiting_jobs: u32,
    retry_tokens: f64,
    refilled_ms: u64,
}

impl Account {
    /// Creates an account without jobs and with a full retry budget.
    pub fn new(declaration: AccountDeclaration, now_ms: u64) -> Self {
        Self {
            retry_tokens: f64::from(declaration.retries_per_minute),
            declaration,
            withdrawn: false,
            used_accelerators: 0,
            surplus_accelerators: 0,
            waiting_jobs: 0,
            refilled_ms: now_ms,
        }
    }

    /// Takes one retry from the budget, also if none is left: the budget then
    /// becomes negative.
    ///
    /// # Errors
    ///
    /// If none is left, returns the milliseconds until the budget has refilled
    /// enough for this retry.
    pub fn take_retry(&mut self, now_ms: u64) -> Result<(), u64> {
        let per_minute = f64::from(self.declaration.retries_per_minute.max(1));
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.retry_tokens =
            (self.retry_tokens + elapsed_ms * per_minute / MS_PER_MINUTE).min(per_minute);
        self.refilled_ms = now_ms;
        if self.retry_tokens >= 1.0 {
            self.retry_tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.retry_tokens;
        self.retry_tokens -= 1.0;
        Err((missing * MS_PER_MINUTE / per_minute) as u64)
    }
}
