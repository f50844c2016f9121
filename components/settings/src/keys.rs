//! The schema of a settings file: every key that it may have. The checker and the reference page
//! are both driven by this table.

/// The type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// A listen address, `IP:PORT`.
    Addr,
    /// The URL of a service, `http://IP:PORT`.
    Url,
    /// A secret of at least this many characters. Its value never appears in a fault.
    Secret(usize),
    /// A list of SHA-256 hashes in hexadecimal.
    Hashes,
    /// An integer between a minimum and a maximum, both inclusive.
    Int(u64, u64),
    /// One of these words.
    OneOf(&'static [&'static str]),
}

/// Whether a key is required.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// The key must be set.
    Required,
    /// The key may be omitted; the text describes the default.
    Default(&'static str),
}

/// A key of the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// The section that contains it.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// The type of its value.
    pub kind: ValueKind,
    /// Whether it is required, and the default if not.
    pub presence: Presence,
    /// Its meaning, as the reference page prints it.
    pub description: &'static str,
}

/// A section of the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// Whether the section must be present.
    pub required: bool,
    /// Its purpose, as the reference page prints it.
    pub description: &'static str,
}

/// All sections, in the order of the reference.
pub const SECTIONS: &[Section] = &[
    section("instance", true, "Identity and addresses of this instance."),
    section(
        "platform",
        true,
        "Addresses of the platform's services and the token that they require.",
    ),
    section("peers", true, "Communication between instances."),
    section("admin", true, "Access to the administration API."),
    section("limits", false, "Limits on callers."),
    section("log", false, "Logs, written to standard error."),
];

/// All keys, in the order of the reference.
pub const KEYS: &[Key] = &[
    key(
        "instance",
        "id",
        ValueKind::Name,
        Presence::Required,
        "Name of this instance, unique in the deployment. The platform's instance list must use the same name.",
    ),
    key(
        "instance",
        "data-centre",
        ValueKind::Name,
        Presence::Required,
        "Name of the data centre it runs in.",
    ),
    key(
        "instance",
        "listen",
        ValueKind::Addr,
        Presence::Required,
        "Address on which callers connect; the load balancer forwards to it.",
    ),
    key(
        "instance",
        "admin",
        ValueKind::Addr,
        Presence::Required,
        "Address of the administration API: administration, health, readiness, metrics and dump. Keep it off the public network.",
    ),
    key(
        "instance",
        "peer",
        ValueKind::Addr,
        Presence::Required,
        "Address on which other instances connect.",
    ),
    key(
        "instance",
        "workers",
        ValueKind::Int(1, 256),
        Presence::Default("one for each core, at most 4"),
        "Worker threads.",
    ),
    key(
        "instance",
        "strategy",
        ValueKind::OneOf(&[
            "owner",
            "oracle",
            "round-robin",
            "least-loaded",
            "fixed-share",
        ]),
        Presence::Default("owner"),
        "How requests are placed. All values but `owner` are baselines for measurements and not meant for production.",
    ),
    key(
        "platform",
        "table",
        ValueKind::Url,
        Presence::Required,
        "The transactional table service.",
    ),
    key(
        "platform",
        "objects",
        ValueKind::Url,
        Presence::Required,
        "The object store. Not used yet.",
    ),
    key(
        "platform",
        "directory",
        ValueKind::Url,
        Presence::Required,
        "The list of instances and targets.",
    ),
    key(
        "platform",
        "token",
        ValueKind::Secret(1),
        Presence::Default("no token is sent"),
        "Bearer token for all three services.",
    ),
    key(
        "peers",
        "key",
        ValueKind::Secret(16),
        Presence::Required,
        "Shared key that authenticates the messages between instances; the same on all of them.",
    ),
    key(
        "peers",
        "heartbeat-ms",
        ValueKind::Int(20, 10_000),
        Presence::Default("200"),
        "Time between two heartbeats, in milliseconds.",
    ),
    key(
        "admin",
        "key-hashes",
        ValueKind::Hashes,
        Presence::Required,
        "SHA-256 of each operator's bearer key, as `celerystand key hash` prints it. With an empty list nobody can administer this instance.",
    ),
    key(
        "limits",
        "header-bytes",
        ValueKind::Int(8192, 1_048_576),
        Presence::Default("16384"),
        "Bytes of a request's headers.",
    ),
    key(
        "limits",
        "body-bytes",
        ValueKind::Int(1024, 1_073_741_824),
        Presence::Default("1048576"),
        "Bytes of a request's body.",
    ),
    key(
        "limits",
        "connections",
        ValueKind::Int(1, 1_000_000),
        Presence::Default("4096"),
        "Open connections of callers.",
    ),
    key(
        "limits",
        "sender-seconds",
        ValueKind::Int(1, 3600),
        Presence::Default("10"),
        "Seconds that a caller may take to send its headers, and between two parts of its body.",
    ),
    key(
        "limits",
        "drain-grace-seconds",
        ValueKind::Int(0, 600),
        Presence::Default("5"),
        "Seconds during which a shutdown still accepts requests, so that the load balancer can take this instance off its list.",
    ),
    key(
        "limits",
        "shutdown-seconds",
        ValueKind::Int(2, 86_400),
        Presence::Default("30"),
        "Seconds from the order to stop until the platform kills the process. Shortly before, calls that are still open are answered, and streams are cut so that their callers resume them at another instance.",
    ),
    key(
        "limits",
        "memory-megabytes",
        ValueKind::Int(32, 1_048_576),
        Presence::Default("512"),
        "Memory that the process may use. A fifth of it is for all that is kept for callers, targets and other instances; beyond that, requests are refused.",
    ),
    key(
        "log",
        "level",
        ValueKind::OneOf(&["error", "warn", "info", "debug"]),
        Presence::Default("info"),
        "Minimum severity of the events that are logged.",
    ),
    key(
        "log",
        "format",
        ValueKind::OneOf(&["text", "json"]),
        Presence::Default("text"),
        "Lines of text for people, or one JSON object a line for machines.",
    ),
];

const fn section(name: &'static str, required: bool, description: &'static str) -> Section {
    Section {
        name,
        required,
        description,
    }
}

const fn key(
    section: &'static str,
    name: &'static str,
    kind: ValueKind,
    presence: Presence,
    description: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        presence,
        description,
    }
}

/// The keys of a section.
pub fn in_section(section: &str) -> impl Iterator<Item = &'static Key> {
    KEYS.iter().filter(move |key| key.section == section)
}

impl ValueKind {
    /// The expected form of the value, as an instruction for the operator.
    #[must_use]
    pub fn expected(&self) -> String {
        match self {
            Self::Name => "write a name of letters, digits, `-`, `_` and `.`".to_owned(),
            Self::Addr => "write IP:PORT, for instance 10.0.1.4:8080".to_owned(),
            Self::Url => "write http://IP:PORT, for instance http://10.0.1.9:8000".to_owned(),
            Self::Secret(1) => "write a text that is not empty".to_owned(),
            Self::Secret(min) => format!("write a text of at least {min} characters"),
            Self::Hashes => {
                "write a list of SHA-256 hashes, each 64 hexadecimal digits, as `celerystand key hash` prints them".to_owned()
            }
            Self::Int(min, max) => format!("write a whole number from {min} to {max}"),
            Self::OneOf(words) => format!("write one of {}", words.join(", ")),
        }
    }
}
