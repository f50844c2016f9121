//! The table service on the wire: fields are named as DynamoDB names them.

use serde::{Deserialize, Serialize};

#[derive(Serialize)]
pub struct FaultBody<'a> {
    #[serde(rename = "__type")]
    pub kind: String,
    pub message: String,
    #[serde(rename = "CancellationReasons", skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<Reason<'a>>,
}

#[derive(Serialize)]
pub struct Reason<'a> {
    #[serde(rename = "Code")]
    pub code: &'a str,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Text {
    #[serde(rename = "S")]
    pub s: String,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Number {
    #[serde(rename = "N")]
    pub n: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    pub pk: Text,
    pub sk: Text,
    pub ver: Number,
    pub body: Text,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Key {
    pub pk: Text,
    pub sk: Text,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Get {
    pub table_name: String,
    pub key: Key,
    #[serde(default)]
    pub consistent_read: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    pub table_name: String,
    pub key_condition_expression: String,
    pub expression_attribute_values: Range,
    #[serde(default)]
    pub limit: Option<usize>,
    #[serde(default)]
    pub consistent_read: bool,
}

#[derive(Deserialize)]
pub struct Range {
    #[serde(rename = ":p")]
    pub partition: Text,
    #[serde(rename = ":s")]
    pub after: Text,
}

#[derive(Deserialize)]
pub struct Seen {
    #[serde(rename = ":v")]
    pub version: Number,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Commit {
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
    pub expression_attribute_values: Option<Seen>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    pub table_name: String,
    pub key: Key,
    pub condition_expression: String,
    pub expression_attribute_values: Seen,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Got<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<&'a Item>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Found<'a> {
    pub count: usize,
    pub items: Vec<&'a Item>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_evaluated_key: Option<Key>,
}
