//! The table service: DynamoDB's JSON 1.0 API over one table.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use errors::Error as Failure;
use hyper::Method;
use net::Client;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    api::{PlatformError, Row, RowKey, Table, Write},
    dynamo_form::{self, GetItem, GetItemAnswer, Query, QueryAnswer, TransactWriteItems, read_row},
    http::{Answer, Call, CallError, Endpoint},
};

/// Most writes of one commit; the service takes no more.
pub const COMMIT_LIMIT: usize = 100;
/// Time for a read.
const READ_TIME: Duration = Duration::from_secs(2);
/// Time for a commit.
const COMMIT_TIME: Duration = Duration::from_secs(3);
/// Most bytes of an answer: a page of a query has 1 MB, and JSON may escape much of it.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Most rows asked for at once.
const PAGE_LIMIT: usize = 1000;

/// A client of the table service.
pub struct DynamoTable {
    endpoint: Endpoint,
}

impl DynamoTable {
    /// Names the service, `http://IP:PORT[/path]`, and the bearer token it wants.
    ///
    /// # Errors
    /// Tells what is wrong with the address or the token.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?
            .with_header("content-type", "application/x-amz-json-1.0");
        Ok(Self { endpoint })
    }

    async fn call(
        &self,
        operation: &'static str,
        content: &(impl Serialize + Sync),
        within: Duration,
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
                within,
                limit: ANSWER_LIMIT,
            })
            .await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        content: &(impl Serialize + Sync),
    ) -> Result<T, PlatformError> {
        let answer = self.call(operation, content, READ_TIME).await;
        let answer = answer.map_err(|e| PlatformError::Unavailable { reason: e.reason() })?;
        if !answer.status.is_success() {
            return Err(dynamo_form::read_refusal(answer.status, &answer.body));
        }
        serde_json::from_slice(&answer.body).map_err(|e| PlatformError::Malformed {
            reason: e.to_string().into(),
        })
    }
}

/// Readers go on from the last row; rows out of order could make them go round for ever.
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
        let answer: GetItemAnswer = self
            .ask("DynamoDB_20120810.GetItem", &GetItem::new(key))
            .await?;
        answer.item.map(read_row).transpose()
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let mut rows: Vec<Row> = Vec::new();
        while rows.len() < limit {
            let page = (limit - rows.len()).min(PAGE_LIMIT);
            let last = rows.last().map_or(after, |row| &row.key.sort);
            let query = Query::new(partition, last, page);
            let answer: QueryAnswer = self.ask("DynamoDB_20120810.Query", &query).await?;
            let found = answer.items.len();
            for item in answer.items {
                let row = read_row(item)?;
                check_order(&rows, after, &row)?;
                rows.push(row);
            }
            // A page ends at the service's limit of size too, so a short page is not the last.
            if answer.last_evaluated_key.is_none() || found == 0 {
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
        if writes.len() > COMMIT_LIMIT {
            let reason = format!(
                "{} writes in one commit, at most {COMMIT_LIMIT}",
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
                COMMIT_TIME,
            )
            .await;
        let answer = answer.map_err(|e| match e {
            CallError::Unsent { reason } => PlatformError::Unavailable { reason },
            CallError::Lost { reason } => PlatformError::Unknown { reason },
        })?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(dynamo_form::read_commit_refusal(
            answer.status,
            &answer.body,
        ))
    }
}
