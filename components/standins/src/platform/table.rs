//! The table service: the subset of DynamoDB's JSON API that celerystand uses.

use std::{collections::BTreeMap, time::Duration};

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

use crate::platform::{
    Faults, PlatformLog,
    table_api::{
        CancellationReason, ErrorBody, GetRequest, GetResponse, Item, Key, QueryRequest,
        QueryResponse, TransactWriteRequest, Write,
    },
};

/// Prefix of the operation name in the header `x-amz-target`.
pub const PROTOCOL: &str = "DynamoDB_20120810.";
/// Name of the write operation, a transaction.
pub const COMMIT: &str = "TransactWriteItems";
/// Namespace of the error types.
const NAMESPACE: &str = "com.amazonaws.dynamodb.v20120810#";
/// Name of the only table.
const TABLE: &str = "celerystand";
/// Default limit of rows written per second.
const WRITE_RATE: f64 = 400.0;
/// Default limit of reads per second.
const READ_RATE: f64 = 2000.0;
/// Maximum number of writes in one transaction.
const MAX_WRITES: usize = 100;

/// Why the table rejects a request.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TableError {
    /// The condition of a write did not hold.
    #[display("Transaction cancelled")]
    Cancelled {
        /// Code of each write: `None` or `ConditionalCheckFailed`.
        reasons: Vec<&'static str>,
    },
    /// The request exceeds the rate limit.
    #[display("The level of configured provisioned throughput was exceeded")]
    Throttled,
    /// The request is malformed or not supported.
    #[display("{problem}")]
    Invalid {
        /// Description of the problem.
        problem: String,
    },
    /// The fault `table_errors` is set.
    #[display("Internal server error")]
    Internal,
}

impl TableError {
    /// HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Internal => 500,
            _ => 400,
        }
    }

    /// Body of the error response.
    #[must_use]
    pub fn body(&self) -> String {
        let (kind, reasons) = match self {
            Self::Cancelled { reasons } => ("TransactionCanceledException", reasons.as_slice()),
            Self::Throttled => ("ProvisionedThroughputExceededException", &[][..]),
            Self::Invalid { .. } => ("ValidationException", &[][..]),
            Self::Internal => ("InternalServerError", &[][..]),
        };
        let reasons = reasons
            .iter()
            .map(|code| CancellationReason { code })
            .collect();
        to_json(&ErrorBody {
            kind: format!("{NAMESPACE}{kind}"),
            message: self.to_string(),
            reasons,
        })
    }
}

/// Token bucket: allows `rate` operations per second and a burst of one second's worth.
#[derive(Default)]
struct TokenBucket {
    spent: f64,
    at: Duration,
}

impl TokenBucket {
    fn take(&mut self, now: Duration, rate: f64, n: usize) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.spent = (self.spent - passed * rate).max(0.0);
        let fits = self.spent + n as f64 <= rate;
        if fits {
            self.spent += n as f64;
        }
        fits
    }
}

type Rows = BTreeMap<(String, String), Item>;

/// All rows, the rate limits and the log.
#[derive(Default)]
pub struct Table {
    rows: Rows,
    reads: TokenBucket,
    writes: TokenBucket,
    log: PlatformLog,
}

impl Table {
    /// Executes one operation and returns the body of the response.
    ///
    /// # Errors
    /// Returns why the operation was rejected; nothing has been written then.
    pub fn execute(
        &mut self,
        now: Duration,
        faults: &Faults,
        operation: &str,
        body: &[u8],
    ) -> Result<String, TableError> {
        if faults.table_errors == Some(true) {
            return Err(TableError::Internal);
        }
        let read_rate = faults.read_rate.unwrap_or(READ_RATE);
        match operation {
            "GetItem" => {
                let get: GetRequest = parse(body)?;
                check(&get.table_name, get.consistent_read)?;
                self.read(now, read_rate)?;
                let item = self.rows.get(&(get.key.pk.s, get.key.sk.s));
                Ok(to_json(&GetResponse { item }))
            }
            "Query" => {
                let query: QueryRequest = parse(body)?;
                check(&query.table_name, query.consistent_read)?;
                self.read(now, read_rate)?;
                self.query(&query)
            }
            COMMIT => {
                let commit: TransactWriteRequest = parse(body)?;
                let rate = faults.write_rate.unwrap_or(WRITE_RATE);
                self.commit(now, rate, commit.transact_items)
            }
            _ => Err(invalid("no such operation")),
        }
    }

    /// Counts a commit whose response is lost, if `lost` is set.
    pub fn record_lost(&mut self, lost: bool) {
        self.log.lost += u64::from(lost);
    }

    /// Log of the table so far, with all rows.
    #[must_use]
    pub fn log(&self) -> PlatformLog {
        let row_name = |item: &Item| format!("{}/{}", item.pk.s, item.sk.s);
        let rows = self
            .rows
            .values()
            .map(|item| (row_name(item), item.body.s.clone()));
        PlatformLog {
            rows: rows.collect(),
            ..self.log.clone()
        }
    }

    fn read(&mut self, now: Duration, rate: f64) -> Result<(), TableError> {
        if !self.reads.take(now, rate, 1) {
            self.log.throttled += 1;
            return Err(TableError::Throttled);
        }
        self.log.reads += 1;
        Ok(())
    }

    fn query(&self, query: &QueryRequest) -> Result<String, TableError> {
        if query.key_condition_expression != "pk = :p AND sk > :s" {
            return Err(invalid("only the condition `pk = :p AND sk > :s` is known"));
        }
        let values = &query.expression_attribute_values;
        let partition = &values.partition.s;
        let limit = query.limit.unwrap_or(usize::MAX);
        let from = (partition.clone(), values.after.s.clone());
        let mut items: Vec<&Item> = self
            .rows
            .range(from..)
            .filter(|((_, sort), _)| *sort != values.after.s)
            .take_while(|((pk, _), _)| pk == partition)
            .map(|(_, item)| item)
            .take(limit.saturating_add(1))
            .collect();
        let has_more = items.len() > limit;
        items.truncate(limit);
        let last = items.last().filter(|_| has_more).map(|item| Key {
            pk: item.pk.clone(),
            sk: item.sk.clone(),
        });
        Ok(to_json(&QueryResponse {
            count: items.len(),
            items,
            last_evaluated_key: last,
        }))
    }

    fn commit(
        &mut self,
        now: Duration,
        rate: f64,
        writes: Vec<Write>,
    ) -> Result<String, TableError> {
        if writes.is_empty() || writes.len() > MAX_WRITES {
            return Err(invalid("a transaction has 1 to 100 writes"));
        }
        let results = writes
            .iter()
            .map(|write| self.condition_holds(write))
            .collect::<Result<Vec<_>, _>>()?;
        if !self.writes.take(now, rate, writes.len()) {
            self.log.throttled += 1;
            return Err(TableError::Throttled);
        }
        if results.contains(&false) {
            self.log.conflicts += 1;
            let code = |holds| {
                if holds {
                    "None"
                } else {
                    "ConditionalCheckFailed"
                }
            };
            let reasons = results.into_iter().map(code).collect();
            return Err(TableError::Cancelled { reasons });
        }
        self.log.writes += writes.len() as u64;
        for write in writes {
            match write {
                Write::Put(put) => {
                    let key = (put.item.pk.s.clone(), put.item.sk.s.clone());
                    self.rows.insert(key, put.item);
                }
                Write::Delete(delete) => {
                    self.rows.remove(&(delete.key.pk.s, delete.key.sk.s));
                }
            }
        }
        Ok("{}".to_owned())
    }

    fn condition_holds(&self, write: &Write) -> Result<bool, TableError> {
        let (table, pk, sk, condition, expected) = match write {
            Write::Put(put) => (
                &put.table_name,
                &put.item.pk,
                &put.item.sk,
                &put.condition_expression,
                put.expression_attribute_values.as_ref(),
            ),
            Write::Delete(delete) => (
                &delete.table_name,
                &delete.key.pk,
                &delete.key.sk,
                &delete.condition_expression,
                Some(&delete.expression_attribute_values),
            ),
        };
        check(table, true)?;
        let row = self.rows.get(&(pk.s.clone(), sk.s.clone()));
        match (condition.as_str(), expected) {
            ("attribute_not_exists(pk)", None) => Ok(row.is_none()),
            ("ver = :v", Some(expected)) => Ok(row.is_some_and(|row| row.ver == expected.version)),
            _ => Err(invalid("unknown condition, or its values don't fit")),
        }
    }
}

fn check(table: &str, consistent: bool) -> Result<(), TableError> {
    match (table, consistent) {
        (TABLE, true) => Ok(()),
        (TABLE, false) => Err(invalid("only consistent reads are known")),
        _ => Err(invalid("no such table")),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|e| invalid(&e.to_string()))
}

fn invalid(problem: &str) -> TableError {
    TableError::Invalid {
        problem: problem.to_owned(),
    }
}

fn to_json(content: &impl Serialize) -> String {
    // Serializing a struct of strings and numbers can't fail.
    serde_json::to_string(content).unwrap_or_default()
}
