//! Claims in the table: many in one transaction, conflicting ones one by one.

use crate::table_writer::with_timeout;
use oleander_core::claim::{
    ClaimOutcome, ClaimRequest, ClaimRow, ClaimStep, SettleStep, claim_key, decide_claim,
    decide_release, decide_unknown, held_row,
};
use oleander_core::units::Timestamp;
use oleander_ports::PlatformError;
use oleander_ports::claims::ClaimError;
use oleander_ports::clock::ClockPort;
use oleander_ports::table::{
    RowCondition, TablePort, TableRow, TableTransaction, TransactionOutcome,
};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of claims in one transaction.
pub const MAX_GROUP_CLAIMS: usize = 100;

const MAX_TRIES: u32 = 6;
const MAX_GROUP_TRIES: u32 = 3;
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Result of one claim of a group.
pub type ClaimResult = Result<ClaimOutcome, ClaimError>;

/// Makes, releases and marks claims in the table.
#[derive(Clone)]
pub struct ClaimTable {
    table: Arc<dyn TablePort>,
    clock: Arc<dyn ClockPort>,
}

type ReadClaim = (Option<TableRow>, Option<ClaimRow>);

impl ClaimTable {
    /// Access to the claims in `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>, clock: Arc<dyn ClockPort>) -> Self {
        Self { table, clock }
    }

    /// Makes claims, as many as possible in one transaction. The results are in the order of
    /// `requests`.
    pub async fn claim_group(&self, requests: &[ClaimRequest]) -> Vec<ClaimResult> {
        let mut results: Vec<Option<ClaimResult>> = vec![None; requests.len()];
        let mut pending = first_per_key(requests);
        for _ in 0..MAX_GROUP_TRIES {
            if pending.len() < 2 {
                break;
            }
            match with_timeout(self.table.transact(self.insert_all(requests, &pending))).await {
                Ok(TransactionOutcome::Applied) => {
                    pending.iter().for_each(|&index| {
                        results[index] = Some(Ok(ClaimOutcome::Granted));
                    });
                    break;
                }
                Ok(TransactionOutcome::Conflict(failed)) => {
                    let failed: HashSet<usize> = failed.into_iter().collect();
                    let mut index = 0..;
                    pending.retain(|_| index.next().is_some_and(|index| !failed.contains(&index)));
                }
                Err(PlatformError::Unknown(_)) => break,
                Err(error) => return vec![Err(claim_error(&error)); requests.len()],
            }
        }
        let mut answers = Vec::with_capacity(requests.len());
        for (request, result) in requests.iter().zip(results) {
            answers.push(match result {
                Some(result) => result,
                None => self.claim_one(request).await,
            });
        }
        answers
    }

    fn insert_all(&self, requests: &[ClaimRequest], pending: &[usize]) -> TableTransaction {
        let now = self.clock.now();
        let mut transaction = TableTransaction::new();
        for request in pending.iter().map(|&index| &requests[index]) {
            let key = claim_key(&request.account, &request.key);
            let condition = RowCondition::Absent(Arc::from(key.as_str()));
            let row = held_row(request, now).to_bytes();
            transaction = transaction.with_condition(condition).with_put(&key, row);
        }
        transaction
    }

    /// Makes one claim. After an ambiguous reply the row is read back: if it names this request,
    /// the claim was granted.
    ///
    /// # Errors
    ///
    /// [`ClaimError`] when the result cannot be determined from the table; nothing was granted.
    pub async fn claim_one(&self, request: &ClaimRequest) -> ClaimResult {
        for tries in 0..MAX_TRIES {
            let (stored, claim) = self.read(request).await?;
            match decide_claim(claim.as_ref(), request, self.clock.now()) {
                ClaimStep::Answer(outcome) => return Ok(outcome),
                ClaimStep::AlreadyReleased => return Err(ClaimError("it was given up".to_owned())),
                ClaimStep::Write(row) => {
                    if self.write(request, stored, &row).await? {
                        return Ok(ClaimOutcome::Granted);
                    }
                }
            }
            back_off(tries).await;
        }
        Err(ClaimError("the table did not settle it".to_owned()))
    }

    /// Releases a claim that was never dispatched.
    ///
    /// # Errors
    ///
    /// [`ClaimError`] when another request holds the claim, its outcome is already recorded or
    /// marked as unknown, or the table is unavailable.
    pub async fn release(&self, request: &ClaimRequest) -> Result<(), ClaimError> {
        self.settle(request, decide_release).await
    }

    /// Marks the outcome of a dispatched claim as unknown.
    ///
    /// # Errors
    ///
    /// [`ClaimError`] when another request holds the claim, this request has released it, or the
    /// table is unavailable.
    pub async fn mark_unknown(&self, request: &ClaimRequest) -> Result<(), ClaimError> {
        self.settle(request, decide_unknown).await
    }

    async fn settle(
        &self,
        request: &ClaimRequest,
        decide: fn(Option<&ClaimRow>, &ClaimRequest, Timestamp) -> SettleStep,
    ) -> Result<(), ClaimError> {
        for tries in 0..MAX_TRIES {
            let (stored, claim) = self.read(request).await?;
            match decide(claim.as_ref(), request, self.clock.now()) {
                SettleStep::Settled => return Ok(()),
                SettleStep::Refused => {
                    return Err(ClaimError("it is another request's or is settled".to_owned()));
                }
                SettleStep::Write(row) => {
                    if self.write(request, stored, &row).await? {
                        return Ok(());
                    }
                }
            }
            back_off(tries).await;
        }
        Err(ClaimError("the table did not settle it".to_owned()))
    }

    async fn read(&self, request: &ClaimRequest) -> Result<ReadClaim, ClaimError> {
        let key = claim_key(&request.account, &request.key);
        for tries in 0..MAX_TRIES {
            match with_timeout(self.table.get(&key)).await {
                Ok(None) => return Ok((None, None)),
                Ok(Some(row)) => {
                    let damaged = |error| ClaimError(format!("row {key}: {error}"));
                    let claim = ClaimRow::from_bytes(&row.value).map_err(damaged)?;
                    return Ok((Some(row), Some(claim)));
                }
                Err(PlatformError::Unknown(_)) => back_off(tries).await,
                Err(error) => return Err(claim_error(&error)),
            }
        }
        Err(ClaimError("the table did not answer".to_owned()))
    }

    /// Writes a row on the condition that it is unchanged since it was read. Returns false when it
    /// has changed or the result is unknown.
    async fn write(
        &self,
        request: &ClaimRequest,
        stored: Option<TableRow>,
        row: &ClaimRow,
    ) -> Result<bool, ClaimError> {
        let key = claim_key(&request.account, &request.key);
        let condition = match stored {
            None => RowCondition::Absent(Arc::from(key.as_str())),
            Some(stored) => RowCondition::VersionIs(stored.key, stored.version),
        };
        let transaction =
            TableTransaction::new().with_condition(condition).with_put(&key, row.to_bytes());
        match with_timeout(self.table.transact(transaction)).await {
            Ok(outcome) => Ok(outcome == TransactionOutcome::Applied),
            Err(PlatformError::Unknown(_)) => Ok(false),
            Err(error) => Err(claim_error(&error)),
        }
    }
}

fn first_per_key(requests: &[ClaimRequest]) -> Vec<usize> {
    let mut seen = HashSet::new();
    let firsts = requests.iter().enumerate();
    let firsts = firsts.filter(|(_, request)| seen.insert((&request.account, &request.key)));
    firsts.map(|(index, _)| index).take(MAX_GROUP_CLAIMS).collect()
}

fn claim_error(error: &PlatformError) -> ClaimError {
    ClaimError(error.to_string())
}

async fn back_off(tries: u32) {
    tokio::time::sleep(INITIAL_BACKOFF * 2_u32.saturating_pow(tries)).await;
}
