//! Forms of the requests and answers of DynamoDB's JSON 1.0 API that we use.

use std::{collections::BTreeMap, sync::Arc};

use hyper::StatusCode;
use serde::{Deserialize, Serialize, de::IgnoredAny};

use crate::api::{PlatformError, Row, RowKey, Write};

/// Name of our table.
const TABLE: &str = "celerystand";
/// The service takes no empty text as a sort key; all of ours sort after a space.
const BEFORE_ALL: &str = " ";

/// A row as the service writes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Item {
    pk: Value,
    sk: Value,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ver: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<Value>,
}

/// A typed value: text or a number, the number written as text.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Value {
    /// Text.
    S(Arc<str>),
    /// A number.
    N(Arc<str>),
}

impl Value {
    fn text(text: &str) -> Self {
        Self::S(text.into())
    }

    fn number(number: u64) -> Self {
        Self::N(number.to_string().into())
    }

    fn read_text(&self) -> Option<Arc<str>> {
        match self {
            Self::S(text) => Some(Arc::clone(text)),
            Self::N(_) => None,
        }
    }

    fn read_number(&self) -> Option<u64> {
        match self {
            Self::S(_) => None,
            Self::N(number) => number.parse().ok(),
        }
    }
}

impl Item {
    fn key(key: &RowKey) -> Self {
        Self {
            pk: Value::text(&key.partition),
            sk: Value::text(&key.sort),
            ver: None,
            body: None,
        }
    }

    fn row(key: &RowKey, version: u64, body: &Arc<str>) -> Self {
        Self {
            ver: Some(Value::number(version)),
            body: Some(Value::S(Arc::clone(body))),
            ..Self::key(key)
        }
    }
}

/// Values that conditions name.
type Values = BTreeMap<&'static str, Value>;

/// Reads one row.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItem {
    table_name: &'static str,
    key: Item,
    consistent_read: bool,
}

impl GetItem {
    /// Reads the row of this key as the last answered commit left it.
    #[must_use]
    pub fn new(key: &RowKey) -> Self {
        Self {
            table_name: TABLE,
            key: Item::key(key),
            consistent_read: true,
        }
    }
}

/// Answer to `GetItem`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemAnswer {
    /// The row, if it exists.
    #[serde(default)]
    pub item: Option<Item>,
}

/// Lists rows of a partition.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    table_name: &'static str,
    key_condition_expression: &'static str,
    expression_attribute_values: Values,
    consistent_read: bool,
    limit: usize,
}

impl Query {
    /// Lists rows with a greater sort key.
    #[must_use]
    pub fn new(partition: &str, after: &str, limit: usize) -> Self {
        let after = if after.is_empty() { BEFORE_ALL } else { after };
        Self {
            table_name: TABLE,
            key_condition_expression: "pk = :p AND sk > :s",
            expression_attribute_values: Values::from([
                (":p", Value::text(partition)),
                (":s", Value::text(after)),
            ]),
            consistent_read: true,
            limit,
        }
    }
}

/// Answer to `Query`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryAnswer {
    /// The rows.
    #[serde(default)]
    pub items: Vec<Item>,
    /// Where the page ended; absent on the last.
    #[serde(default)]
    pub last_evaluated_key: Option<IgnoredAny>,
}

/// Writes rows, all or none.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItems {
    transact_items: Vec<TransactItem>,
}

impl TransactWriteItems {
    /// Writes these.
    #[must_use]
    pub fn new(writes: &[Write]) -> Self {
        Self {
            transact_items: writes.iter().map(TransactItem::new).collect(),
        }
    }
}

#[derive(Debug, Serialize)]
enum TransactItem {
    Put(Put),
    Delete(Delete),
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Put {
    table_name: &'static str,
    item: Item,
    condition_expression: &'static str,
    #[serde(skip_serializing_if = "Values::is_empty")]
    expression_attribute_values: Values,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Delete {
    table_name: &'static str,
    key: Item,
    condition_expression: &'static str,
    expression_attribute_values: Values,
}

impl TransactItem {
    fn new(write: &Write) -> Self {
        match write {
            Write::Insert { key, body } => Self::Put(Put {
                table_name: TABLE,
                item: Item::row(key, 1, body),
                condition_expression: "attribute_not_exists(pk)",
                expression_attribute_values: Values::new(),
            }),
            Write::Replace { key, version, body } => Self::Put(Put {
                table_name: TABLE,
                item: Item::row(key, version.saturating_add(1), body),
                condition_expression: "ver = :v",
                expression_attribute_values: Values::from([(":v", Value::number(*version))]),
            }),
            Write::Delete { key, version } => Self::Delete(Delete {
                table_name: TABLE,
                key: Item::key(key),
                condition_expression: "ver = :v",
                expression_attribute_values: Values::from([(":v", Value::number(*version))]),
            }),
        }
    }
}

/// Reads a row.
///
/// # Errors
/// Tells that the row is not one of ours.
pub fn read_row(item: Item) -> Result<Row, PlatformError> {
    let read = || {
        Some(Row {
            key: RowKey {
                partition: item.pk.read_text()?,
                sort: item.sk.read_text()?,
            },
            version: item.ver.as_ref()?.read_number()?,
            body: item.body.as_ref()?.read_text()?,
        })
    };
    read().ok_or_else(|| PlatformError::Malformed {
        reason: "a row without its attributes".into(),
    })
}

/// Errors by which the service says that it takes no more calls at present.
const THROTTLING: [&str; 3] = [
    "ProvisionedThroughputExceededException",
    "RequestLimitExceeded",
    "ThrottlingException",
];

/// An error as the service tells it.
#[derive(Debug, Default, Deserialize)]
struct Refusal {
    #[serde(default, rename = "__type")]
    kind: String,
    #[serde(default, alias = "Message")]
    message: String,
    #[serde(default, rename = "CancellationReasons")]
    reasons: Vec<Reason>,
}

/// What became of one write of a cancelled commit.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Reason {
    #[serde(default)]
    code: String,
}

impl Refusal {
    fn read(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// The name of the error, without the namespace before it.
    fn name(&self) -> &str {
        self.kind.rsplit('#').next().unwrap_or_default()
    }

    fn text(&self) -> Arc<str> {
        format!("{}: {}", self.name(), self.message).into()
    }
}

fn status_text(status: StatusCode) -> Arc<str> {
    format!("status {status}").into()
}

/// Reads the refusal of a read.
#[must_use]
pub fn read_refusal(status: StatusCode, body: &[u8]) -> PlatformError {
    let Some(refusal) = Refusal::read(body) else {
        let reason = status_text(status);
        return PlatformError::Unavailable { reason };
    };
    let reason = refusal.text();
    match THROTTLING.contains(&refusal.name()) {
        true => PlatformError::Busy { reason },
        false => PlatformError::Unavailable { reason },
    }
}

/// Reads the refusal of a commit.
///
/// What was certainly not written must be told from what may have been: a status 500, or one
/// that a proxy on the way made up, says nothing about the write.
#[must_use]
pub fn read_commit_refusal(status: StatusCode, body: &[u8]) -> PlatformError {
    let Some(refusal) = Refusal::read(body).filter(|r| !r.kind.is_empty()) else {
        let reason = status_text(status);
        return PlatformError::Unknown { reason };
    };
    let reason = refusal.text();
    match refusal.name() {
        "TransactionCanceledException" => read_cancellation(&refusal, reason),
        "ConditionalCheckFailedException" => PlatformError::Conflict,
        "InternalServerError" => PlatformError::Unknown { reason },
        name if THROTTLING.contains(&name) => PlatformError::Busy { reason },
        // The service's own errors: it looked at the call and did not take it.
        _ if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            PlatformError::Unavailable { reason }
        }
        _ => PlatformError::Unknown { reason },
    }
}

/// A commit is cancelled for a condition that did not hold, but also for throttling or another
/// commit at the same moment; only the first is settled.
fn read_cancellation(refusal: &Refusal, reason: Arc<str>) -> PlatformError {
    let has = |code: &str| refusal.reasons.iter().any(|r| r.code == code);
    let transient = [
        "TransactionConflict",
        "ThrottlingError",
        "ProvisionedThroughputExceeded",
        "ValidationError",
    ];
    if has("ConditionalCheckFailed") || !transient.into_iter().any(has) {
        return PlatformError::Conflict;
    }
    PlatformError::Busy { reason }
}
