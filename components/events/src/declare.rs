//! The macro that makes the events and their catalogue from one list, so that neither can lack
//! what the other has.

use derive_more::Display;

/// Severity of an event.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{}", self.name())]
pub enum Level {
    /// An operator is needed now.
    Error,
    /// An operator may be needed.
    Warn,
    /// What happened.
    Info,
    /// Details for maintainers.
    Debug,
}

impl Level {
    /// Its name, as logs and metrics write it.
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

/// What the catalogue tells about an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueEntry {
    /// Its number.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
    /// Its severity.
    pub level: Level,
    /// The log line, with names of fields in braces.
    pub text: &'static str,
    /// What it means.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

/// Declares the events: `Name { fields } = (number, Level, "line", "what to do")`, the meaning as
/// doc comment.
macro_rules! declare_events {
    ($(
        #[doc = $meaning:literal]
        $name:ident $({ $( #[doc = $about:literal] $field:ident: $type:ty, )* })?
        = ($number:literal, $level:ident, $text:literal, $action:literal $(,)?)
    ),* $(,)?) => {
        /// Something worth a log line.
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
            /// All events in the order of their numbers.
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

            /// Its number in the catalogue.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $( Self::$name { .. } => $number, )*
                }
            }

            /// Its name in the catalogue.
            #[must_use]
            pub const fn name(&self) -> &'static str {
                match self {
                    $( Self::$name { .. } => stringify!($name), )*
                }
            }

            /// Its severity.
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
