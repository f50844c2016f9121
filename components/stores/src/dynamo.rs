//! Client of the table service, which speaks DynamoDB's JSON 1.0 API. It uses one table.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use errors::Error as Failure;
use hyper::Method;
use net::Client;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    api::{PlatformError, Row, RowKey, Table, Write},
    dynamo_format::{
        self, GetItem, GetItemResponse, Query, QueryResponse, TransactWriteItems, decode_row,
    },
    http::{Answer, Call, CallError, Endpoint},
};

/// Most writes in one commit, a limit of the service.
pub const MAX_COMMIT_WRITES: usize = 100;
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer in bytes: a page of a query has 1 MB, and JSON escapes may make it several times
/// longer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Most rows that one query requests.
const MAX_PAGE_ROWS: usize = 1000;

/// A client of the table service.
pub struct DynamoTable {
    endpoint: Endpoint,
}

impl DynamoTable {
    /// Creates a client of the service at `base`, `http://IP:PORT[/path]`, which sends `token` as a
    /// bearer token.
    ///
    /// # Errors
    /// Fails on an invalid address, or on a token that can't be sent in a header.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?
            .with_header("content-type", "application/x-amz-json-1.0");
        Ok(Self { endpoint })
    }

    async fn call(
        &self,
        operation: &'static str,
        content: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let body = serde_json::to_vec(content).map_err(|e| CallError::Unsent {
            reason: e.to_string().into(),
        })?;
        let endpoint = self.endpoint.clone().with_header("x-amz-target", operation);
        endpoint
            .call(Call {
                method: Method::POST,
                path: "/".into(),
                body: body.into(),
                timeout,
                max_answer_bytes: MAX_ANSWER_BYTES,
            })
            .await
    }

    /// Calls an operation that only reads.
    async fn call_read<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        content: &(impl Serialize + Sync),
    ) -> Result<T, PlatformError> {
        let answer = self.call(operation, content, READ_TIMEOUT).await;
        let answer = answer.map_err(|e| PlatformError::Unavailable { reason: e.reason() })?;
        if !answer.status.is_success() {
            return Err(dynamo_format::decode_read_error(
                answer.status,
                &answer.body,
            ));
        }
        serde_json::from_slice(&answer.body).map_err(|e| PlatformError::Malformed {
            reason: e.to_string().into(),
        })
    }
}

/// Checks that `row` comes after the rows before it. Readers continue after the last row, so that
/// rows out of order could make them loop forever.
fn check_order(rows: &[Row], after: &str, row: &Row) -> Result<(), PlatformError> {
    let last = rows.last().map_or(after, |last| &last.key.sort);
    if *row.key.sort > *last {
        return Ok(());
    }
    let reason = format!("row {} comes after {last}", row.key).into();
    Err(PlatformError::Malformed { reason })
}

#[async_trait]
impl Table for DynamoTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        let answer: GetItemResponse = self
            .call_read("DynamoDB_20120810.GetItem", &GetItem::new(key))
            .await?;
        answer.item.map(decode_row).transpose()
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let mut rows: Vec<Row> = Vec::new();
        while rows.len() < limit {
            let page = (limit - rows.len()).min(MAX_PAGE_ROWS);
            let last = rows.last().map_or(after, |row| &row.key.sort);
            let query = Query::new(partition, last, page);
            let answer: QueryResponse = self.call_read("DynamoDB_20120810.Query", &query).await?;
            let item_count = answer.items.len();
            for item in answer.items {
                let row = decode_row(item)?;
                check_order(&rows, after, &row)?;
                rows.push(row);
            }
            // A page also ends at the service's size limit, so a short page need not be the last.
            if answer.last_evaluated_key.is_none() || item_count == 0 {
                break;
            }
        }
        rows.truncate(limit);
        Ok(rows)
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        if writes.is_empty() {
            return Ok(());
        }
        if writes.len() > MAX_COMMIT_WRITES {
            let reason = format!(
                "{} writes in one commit, at most {MAX_COMMIT_WRITES}",
                writes.len()
            );
            return Err(PlatformError::Unavailable {
                reason: reason.into(),
            });
        }
        let content = TransactWriteItems::new(writes);
        let answer = self
            .call(
                "DynamoDB_20120810.TransactWriteItems",
                &content,
                COMMIT_TIMEOUT,
            )
            .await;
        let answer = answer.map_err(|e| match e {
            CallError::Unsent { reason } => PlatformError::Unavailable { reason },
            CallError::Lost { reason } => PlatformError::Unknown { reason },
        })?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(dynamo_format::decode_commit_error(
            answer.status,
            &answer.body,
        ))
    }
}
