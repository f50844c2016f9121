//! A macro that generates the event type and its catalogue from one list, so that the two can't
//! differ.

use derive_more::Display;

/// Severity of an event.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{}", self.name())]
pub enum Level {
    /// An operator is needed now.
    Error,
    /// An operator may be needed.
    Warn,
    /// Normal operation.
    Info,
    /// Details for maintainers.
    Debug,
}

impl Level {
    /// The name of the level in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

/// An event's entry in the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueEntry {
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: &'static str,
    /// Severity of the event.
    pub level: Level,
    /// Template of the log line, with names of fields in braces.
    pub text: &'static str,
    /// What the event means.
    pub meaning: &'static str,
    /// Advice for the operator.
    pub action: &'static str,
}

/// Declares the events as `Name { fields } = (number, Level, "log line", "advice")`. The doc
/// comment of an event is its meaning in the catalogue.
macro_rules! declare_events {
    ($(
        #[doc = $meaning:literal]
        $name:ident $({ $( #[doc = $about:literal] $field:ident: $type:ty, )* })?
        = ($number:literal, $level:ident, $text:literal, $action:literal $(,)?)
    ),* $(,)?) => {
        /// An event in the log. [`Event::CATALOGUE`] describes each kind.
        #[derive(Clone, Debug, derive_more::Display, PartialEq, serde::Serialize)]
        #[serde(untagged)]
        pub enum Event {
            $(
                #[doc = $meaning]
                #[doc = concat!("Number ", $number, ".")]
                #[display($text)]
                $name $({ $( #[doc = $about] $field: $type, )* })?,
            )*
        }

        impl Event {
            /// All kinds of events, ordered by number.
            pub const CATALOGUE: &[$crate::declare::CatalogueEntry] = &[$(
                $crate::declare::CatalogueEntry {
                    number: $number,
                    name: stringify!($name),
                    level: $crate::declare::Level::$level,
                    text: $text,
                    meaning: $meaning,
                    action: $action,
                },
            )*];

            /// The number of the event in the catalogue.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $( Self::$name { .. } => $number, )*
                }
            }

            /// The name of the event in the catalogue.
            #[must_use]
            pub const fn name(&self) -> &'static str {
                match self {
                    $( Self::$name { .. } => stringify!($name), )*
                }
            }

            /// The severity of the event.
            #[must_use]
            pub const fn level(&self) -> $crate::declare::Level {
                match self {
                    $( Self::$name { .. } => $crate::declare::Level::$level, )*
                }
            }
        }
    };
}

pub(crate) use declare_events;
