//! The table service over HTTP.

use crate::platform::call::{ServiceClient, status_error};
use crate::platform::wire::{WireOutcome, WireRow, WireTransaction, encode_text};
use http::{Method, StatusCode};
use oleander_ports::table::{TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;
use std::time::Duration;

/// Client of the table service at one address.
pub struct HttpTable {
    client: ServiceClient,
}

impl HttpTable {
    /// A client of the table service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: ServiceClient::new(address) }
    }

    /// Sets the timeout of one call.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.client.set_timeout(timeout);
        self
    }

    async fn read_row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let path = format!("/rows/{}", encode_text(key));
        let answer = self.client.send(Method::GET, &path, &[], Vec::new()).await?;
        match answer.status() {
            StatusCode::OK => {
                let row: Result<WireRow, _> = serde_json::from_slice(answer.body());
                let row = row.map_err(|error| PlatformError::Unknown(error.to_string()))?;
                Ok(Some(row.into()))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&answer)),
        }
    }
}

impl TablePort for HttpTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        Box::pin(async move {
            let body = WireTransaction::from(transaction);
            let outcome: WireOutcome =
                self.client.json(Method::POST, "/transact", Some(&body)).await?;
            Ok(outcome.into())
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(self.read_row(key))
    }

    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>> {
        Box::pin(async move {
            let (start, end) = (encode_text(start), encode_text(end));
            let path = format!("/scan?start={start}&end={end}&limit={limit}");
            let rows: Vec<WireRow> = self.client.json(Method::GET, &path, None::<&()>).await?;
            Ok(rows.into_iter().map(TableRow::from).collect())
        })
    }
}
