//! Every key that a settings file may have: what the checker and the reference go by.

/// What a key's value must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// An address to listen on, `IP:PORT`.
    Addr,
    /// The address of a service, `http://IP:PORT`.
    Url,
    /// A secret text of at least this many characters.
    Secret(usize),
    /// A list of SHA-256 hashes in hexadecimal.
    Hashes,
    /// A whole number between two bounds, both included.
    Int(u64, u64),
    /// One of these words.
    OneOf(&'static [&'static str]),
}

/// Whether a key must be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// It must.
    Required,
    /// It may be left out, which means this.
    Default(&'static str),
}

/// One key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// The section it stands in.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What its value must be.
    pub kind: Kind,
    /// Whether it must be written.
    pub presence: Presence,
    /// What it means.
    pub about: &'static str,
}

/// One section.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// Whether it must be written.
    pub required: bool,
    /// What it holds.
    pub about: &'static str,
}

/// All sections, in the order of the reference.
pub const SECTIONS: &[Section] = &[
    section("instance", true, "Who and where this instance is."),
    section(
        "platform",
        true,
        "Where the platform's services are and how to be let in.",
    ),
    section("peers", true, "How instances talk to each other."),
    section("admin", true, "Who may use the administration API."),
    section("limits", false, "Limits towards callers."),
    section("log", false, "Logs, written to standard error."),
];

/// All keys, in the order of the reference.
pub const KEYS: &[Key] = &[
    key(
        "instance",
        "id",
        Kind::Name,
        Presence::Required,
        "Name of this instance, unique in the deployment. The platform's instance list must use the same name.",
    ),
    key(
        "instance",
        "data-centre",
        Kind::Name,
        Presence::Required,
        "Name of the data centre it runs in.",
    ),
    key(
        "instance",
        "listen",
        Kind::Addr,
        Presence::Required,
        "Where callers connect; the balancer's back end address.",
    ),
    key(
        "instance",
        "admin",
        Kind::Addr,
        Presence::Required,
        "Where operators connect: administration, health, readiness, metrics and dump. Keep it off the public network.",
    ),
    key(
        "instance",
        "peer",
        Kind::Addr,
        Presence::Required,
        "Where other instances connect.",
    ),
    key(
        "instance",
        "workers",
        Kind::Int(1, 256),
        Presence::Default("one for each core, at most 4"),
        "Worker threads.",
    ),
    key(
        "instance",
        "strategy",
        Kind::OneOf(&[
            "owner",
            "oracle",
            "round-robin",
            "least-loaded",
            "fixed-share",
        ]),
        Presence::Default("owner"),
        "How requests are placed. All but `owner` are baselines for measurements and not meant for service.",
    ),
    key(
        "platform",
        "table",
        Kind::Url,
        Presence::Required,
        "The transactional table service.",
    ),
    key(
        "platform",
        "objects",
        Kind::Url,
        Presence::Required,
        "The object store. Not used yet.",
    ),
    key(
        "platform",
        "directory",
        Kind::Url,
        Presence::Required,
        "The list of instances and targets.",
    ),
    key(
        "platform",
        "token",
        Kind::Secret(1),
        Presence::Default("no token is sent"),
        "Bearer token for all three.",
    ),
    key(
        "peers",
        "key",
        Kind::Secret(16),
        Presence::Required,
        "Shared key that authenticates the messages between instances; the same on all of them.",
    ),
    key(
        "peers",
        "heartbeat-ms",
        Kind::Int(20, 10_000),
        Presence::Default("200"),
        "Time between two heartbeats, in milliseconds.",
    ),
    key(
        "admin",
        "key-hashes",
        Kind::Hashes,
        Presence::Required,
        "SHA-256 of each operator's bearer key, as `celerystand key hash` prints it. With an empty list nobody can administer this instance.",
    ),
    key(
        "limits",
        "header-bytes",
        Kind::Int(8192, 1_048_576),
        Presence::Default("16384"),
        "Bytes of a request's headers.",
    ),
    key(
        "limits",
        "body-bytes",
        Kind::Int(1024, 1_073_741_824),
        Presence::Default("1048576"),
        "Bytes of a request's body.",
    ),
    key(
        "limits",
        "connections",
        Kind::Int(1, 1_000_000),
        Presence::Default("4096"),
        "Open connections of callers.",
    ),
    key(
        "limits",
        "sender-seconds",
        Kind::Int(1, 3600),
        Presence::Default("10"),
        "Seconds that a caller may take to send its headers, and between two parts of its body.",
    ),
    key(
        "limits",
        "drain-grace-seconds",
        Kind::Int(0, 600),
        Presence::Default("5"),
        "Seconds that a shutdown goes on accepting work while the balancer's list still names this instance.",
    ),
    key(
        "log",
        "level",
        Kind::OneOf(&["error", "warn", "info", "debug"]),
        Presence::Default("info"),
        "The least severe events that are logged.",
    ),
    key(
        "log",
        "format",
        Kind::OneOf(&["text", "json"]),
        Presence::Default("text"),
        "Lines of text for people, or one JSON object a line for machines.",
    ),
];

const fn section(name: &'static str, required: bool, about: &'static str) -> Section {
    Section {
        name,
        required,
        about,
    }
}

const fn key(
    section: &'static str,
    name: &'static str,
    kind: Kind,
    presence: Presence,
    about: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        presence,
        about,
    }
}

/// The keys of a section.
pub fn of_section(section: &str) -> impl Iterator<Item = &'static Key> {
    KEYS.iter().filter(move |key| key.section == section)
}

impl Kind {
    /// What a right value looks like, for a sentence.
    #[must_use]
    pub fn right(&self) -> String {
        match self {
            Self::Name => "write a name of letters, digits, `-`, `_` and `.`".to_owned(),
            Self::Addr => "write IP:PORT, for instance 10.0.1.4:8080".to_owned(),
            Self::Url => "write http://IP:PORT, for instance http://10.0.1.9:8000".to_owned(),
            Self::Secret(1) => "write a text that is not empty".to_owned(),
            Self::Secret(least) => format!("write a text of at least {least} characters"),
            Self::Hashes => {
                "write a list of SHA-256 hashes, each 64 hexadecimal digits, as `celerystand key hash` prints them".to_owned()
            }
            Self::Int(least, most) => format!("write a whole number from {least} to {most}"),
            Self::OneOf(words) => format!("write one of {}", words.join(", ")),
        }
    }
}
