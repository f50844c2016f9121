//! Requests and responses of DynamoDB's JSON 1.0 API, as far as celerystand uses it.

use std::{collections::BTreeMap, sync::Arc};

use hyper::StatusCode;
use serde::{Deserialize, Serialize, de::IgnoredAny};

use crate::api::{PlatformError, Row, RowKey, Write};

const TABLE_NAME: &str = "celerystand";
/// A sort key before all keys in use. The service rejects an empty one.
const MIN_SORT_KEY: &str = " ";

/// A row in the service's format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Item {
    pk: Value,
    sk: Value,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ver: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    body: Option<Value>,
}

/// A typed attribute value. Numbers are written as text.
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

    fn as_text(&self) -> Option<Arc<str>> {
        match self {
            Self::S(text) => Some(Arc::clone(text)),
            Self::N(_) => None,
        }
    }

    fn as_number(&self) -> Option<u64> {
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

/// Values of the placeholders in condition expressions.
type Values = BTreeMap<&'static str, Value>;

/// Request to read one row.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItem {
    table_name: &'static str,
    key: Item,
    consistent_read: bool,
}

impl GetItem {
    /// Requests a strongly consistent read of the row with this key.
    #[must_use]
    pub fn new(key: &RowKey) -> Self {
        Self {
            table_name: TABLE_NAME,
            key: Item::key(key),
            consistent_read: true,
        }
    }
}

/// Response to [`GetItem`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemResponse {
    /// The row, if it exists.
    #[serde(default)]
    pub item: Option<Item>,
}

/// Request to list rows of a partition.
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
    /// Requests the rows with a sort key greater than `after`.
    #[must_use]
    pub fn new(partition: &str, after: &str, limit: usize) -> Self {
        let after = if after.is_empty() {
            MIN_SORT_KEY
        } else {
            after
        };
        Self {
            table_name: TABLE_NAME,
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

/// Response to [`Query`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryResponse {
    /// The rows.
    #[serde(default)]
    pub items: Vec<Item>,
    /// Key of the page's last row; absent on the last page.
    #[serde(default)]
    pub last_evaluated_key: Option<IgnoredAny>,
}

/// Request to apply all writes or none.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItems {
    transact_items: Vec<TransactItem>,
}

impl TransactWriteItems {
    /// Creates the request for a commit.
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
                table_name: TABLE_NAME,
                item: Item::row(key, 1, body),
                condition_expression: "attribute_not_exists(pk)",
                expression_attribute_values: Values::new(),
            }),
            Write::Replace { key, version, body } => Self::Put(Put {
                table_name: TABLE_NAME,
                item: Item::row(key, version.saturating_add(1), body),
                condition_expression: "ver = :v",
                expression_attribute_values: Values::from([(":v", Value::number(*version))]),
            }),
            Write::Delete { key, version } => Self::Delete(Delete {
                table_name: TABLE_NAME,
                key: Item::key(key),
                condition_expression: "ver = :v",
                expression_attribute_values: Values::from([(":v", Value::number(*version))]),
            }),
        }
    }
}

/// Decodes a row.
///
/// # Errors
/// Fails if an attribute is missing or has the wrong type.
pub fn decode_row(item: Item) -> Result<Row, PlatformError> {
    let decode = || {
        Some(Row {
            key: RowKey {
                partition: item.pk.as_text()?,
                sort: item.sk.as_text()?,
            },
            version: item.ver.as_ref()?.as_number()?,
            body: item.body.as_ref()?.as_text()?,
        })
    };
    decode().ok_or_else(|| PlatformError::Malformed {
        reason: "a row without its attributes".into(),
    })
}

/// Names of the errors with which the service throttles calls.
const THROTTLING: [&str; 3] = [
    "ProvisionedThroughputExceededException",
    "RequestLimitExceeded",
    "ThrottlingException",
];

/// An error response of the service.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default, rename = "__type")]
    kind: String,
    #[serde(default, alias = "Message")]
    message: String,
    #[serde(default, rename = "CancellationReasons")]
    reasons: Vec<CancellationReason>,
}

/// Why one write of a cancelled commit failed.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CancellationReason {
    #[serde(default)]
    code: String,
}

impl ErrorBody {
    fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// The name of the error without its namespace.
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

/// Converts the error response to a read.
#[must_use]
pub fn decode_read_error(status: StatusCode, body: &[u8]) -> PlatformError {
    let Some(error) = ErrorBody::decode(body) else {
        let reason = status_text(status);
        return PlatformError::Unavailable { reason };
    };
    let reason = error.text();
    match THROTTLING.contains(&error.name()) {
        true => PlatformError::Busy { reason },
        false => PlatformError::Unavailable { reason },
    }
}

/// Converts the error response to a commit.
///
/// A commit that certainly wrote nothing must be distinguished from one that may have: a status
/// 500, or an error that a proxy on the path generated, says nothing about the write.
#[must_use]
pub fn decode_commit_error(status: StatusCode, body: &[u8]) -> PlatformError {
    let Some(error) = ErrorBody::decode(body).filter(|r| !r.kind.is_empty()) else {
        let reason = status_text(status);
        return PlatformError::Unknown { reason };
    };
    let reason = error.text();
    match error.name() {
        "TransactionCanceledException" => decode_cancellation(&error, reason),
        "ConditionalCheckFailedException" => PlatformError::Conflict,
        "InternalServerError" => PlatformError::Unknown { reason },
        name if THROTTLING.contains(&name) => PlatformError::Busy { reason },
        // Any other error that the service itself names means that it rejected the call.
        _ if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            PlatformError::Unavailable { reason }
        }
        _ => PlatformError::Unknown { reason },
    }
}

/// Converts the cancellation of a commit. The service cancels a commit when a condition does not
/// hold, but also when it throttles or when another commit runs at the same time. Only the first
/// is a conflict; in the other cases a retry may succeed.
fn decode_cancellation(error: &ErrorBody, reason: Arc<str>) -> PlatformError {
    let has = |code: &str| error.reasons.iter().any(|r| r.code == code);
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
