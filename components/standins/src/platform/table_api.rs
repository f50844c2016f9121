//! Request and response bodies of the table service, with the field names of DynamoDB.

use serde::{Deserialize, Serialize};

#[derive(Serialize)]
pub struct ErrorBody<'a> {
    #[serde(rename = "__type")]
    pub kind: String,
    pub message: String,
    #[serde(rename = "CancellationReasons", skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<CancellationReason<'a>>,
}

#[derive(Serialize)]
pub struct CancellationReason<'a> {
    #[serde(rename = "Code")]
    pub code: &'a str,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StringValue {
    #[serde(rename = "S")]
    pub s: String,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NumberValue {
    #[serde(rename = "N")]
    pub n: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    pub pk: StringValue,
    pub sk: StringValue,
    pub ver: NumberValue,
    pub body: StringValue,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Key {
    pub pk: StringValue,
    pub sk: StringValue,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetRequest {
    pub table_name: String,
    pub key: Key,
    #[serde(default)]
    pub consistent_read: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryRequest {
    pub table_name: String,
    pub key_condition_expression: String,
    pub expression_attribute_values: QueryValues,
    #[serde(default)]
    pub limit: Option<usize>,
    #[serde(default)]
    pub consistent_read: bool,
}

#[derive(Deserialize)]
pub struct QueryValues {
    #[serde(rename = ":p")]
    pub partition: StringValue,
    #[serde(rename = ":s")]
    pub after: StringValue,
}

#[derive(Deserialize)]
pub struct ExpectedVersion {
    #[serde(rename = ":v")]
    pub version: NumberValue,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteRequest {
    pub transact_items: Vec<Write>,
}

#[derive(Deserialize)]
pub enum Write {
    Put(Put),
    Delete(Delete),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    pub table_name: String,
    pub item: Item,
    pub condition_expression: String,
    #[serde(default)]
    pub expression_attribute_values: Option<ExpectedVersion>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    pub table_name: String,
    pub key: Key,
    pub condition_expression: String,
    pub expression_attribute_values: ExpectedVersion,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetResponse<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<&'a Item>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryResponse<'a> {
    pub count: usize,
    pub items: Vec<&'a Item>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_evaluated_key: Option<Key>,
}
