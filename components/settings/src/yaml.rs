//! An untyped YAML document with the position of every key and value, so that a fault can name
//! its line and column.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{Location, Spanned};

/// A position in a file; line and column count from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Line number.
    pub line: u32,
    /// Column number, in characters.
    pub column: u32,
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        Self {
            line: u32::try_from(location.line()).unwrap_or(u32::MAX),
            column: u32::try_from(location.column()).unwrap_or(u32::MAX),
        }
    }
}

/// A YAML value of any type.
#[derive(Clone, Debug, PartialEq)]
pub enum YamlValue {
    /// An empty value or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// An integer.
    Int(i128),
    /// A number with a fraction or an exponent.
    Float(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<YamlNode>),
    /// A mapping, in the order of the file.
    Map(Vec<YamlEntry>),
}

/// A YAML value with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct YamlNode {
    /// Where it starts.
    pub position: Position,
    /// The value.
    pub value: YamlValue,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct YamlEntry {
    /// Where the key starts.
    pub position: Position,
    /// The key.
    pub key: String,
    /// The value.
    pub value: YamlNode,
}

impl YamlValue {
    /// The type of the value, for messages to the operator.
    #[must_use]
    pub const fn describe(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Int(_) => "a whole number",
            Self::Float(_) => "a number with a fraction",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a section",
        }
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned: Spanned<YamlValue> = Spanned::deserialize(deserializer)?;
        Ok(Self {
            position: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlValue, D::Error> {
        YamlValue::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Int(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Int(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<YamlValue, E> {
        Ok(YamlValue::Int(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlValue, A::Error> {
        let mut list = Vec::new();
        while let Some(value) = seq.next_element()? {
            list.push(value);
        }
        Ok(YamlValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(YamlEntry {
                position: key.referenced.into(),
                key: key.value,
                value: map.next_value()?,
            });
        }
        Ok(YamlValue::Map(entries))
    }
}
