//! A YAML document as it stands, with the place of every key and value.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{Location, Spanned};

/// A place in a file, both numbers from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

impl From<Location> for Place {
    fn from(location: Location) -> Self {
        Self {
            line: u32::try_from(location.line()).unwrap_or(u32::MAX),
            column: u32::try_from(location.column()).unwrap_or(u32::MAX),
        }
    }
}

/// A value of any type.
#[derive(Clone, Debug, PartialEq)]
pub enum Raw {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i128),
    /// Another number.
    Float(f64),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<RawValue>),
    /// Keys and values, in the order of the file.
    Map(Vec<RawEntry>),
}

/// A value and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct RawValue {
    /// Where it starts.
    pub place: Place,
    /// The value.
    pub value: Raw,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct RawEntry {
    /// Where the key starts.
    pub place: Place,
    /// The key.
    pub key: String,
    /// The value.
    pub value: RawValue,
}

impl Raw {
    /// What it is, for a sentence.
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

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned: Spanned<Raw> = Spanned::deserialize(deserializer)?;
        Ok(Self {
            place: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Raw, D::Error> {
        Raw::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Int(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Int(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Int(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Raw, A::Error> {
        let mut list = Vec::new();
        while let Some(value) = seq.next_element()? {
            list.push(value);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Raw, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(RawEntry {
                place: key.referenced.into(),
                key: key.value,
                value: map.next_value()?,
            });
        }
        Ok(Raw::Map(entries))
    }
}
