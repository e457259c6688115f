//! The keys of the settings file and the flags that override them.

/// Type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// Non-empty text.
    Text,
    /// IP address and port.
    Address,
    /// An integer.
    Integer,
    /// A number.
    Number,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
}

impl ValueKind {
    /// Returns the placeholder in help texts.
    pub const fn placeholder(self) -> &'static str {
        match self {
            ValueKind::Text => "TEXT",
            ValueKind::Address => "IP:PORT",
            ValueKind::Integer => "INTEGER",
            ValueKind::Number => "NUMBER",
            ValueKind::Choice(_) => "WORD",
        }
    }
}

/// A key of the settings file.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// Table in the file; empty for the top level.
    pub table: &'static str,
    /// Name within the table.
    pub name: &'static str,
    /// Long flag, without the dashes.
    pub flag: &'static str,
    /// Type of the value.
    pub kind: ValueKind,
    /// Description for help texts and the settings reference.
    pub help: &'static str,
}

impl SettingKey {
    /// Returns whether the file or a flag must set the key. Keys of the top level
    /// have no default, except for [`OPTIONAL_KEYS`].
    pub fn is_required(&self) -> bool {
        self.table.is_empty() && !OPTIONAL_KEYS.contains(&self.name)
    }

    /// Returns `table.name`, or `name` for a key of the top level.
    pub fn path(&self) -> String {
        if self.table.is_empty() {
            self.name.to_owned()
        } else {
            format!("{}.{}", self.table, self.name)
        }
    }
}

/// Keys of the top level that may be omitted.
pub const OPTIONAL_KEYS: &[&str] = &["platform-token-file", "group-size"];

/// Finds a key by its table and name.
pub fn find(table: &str, name: &str) -> Option<&'static SettingKey> {
    KEYS.iter()
        .find(|key| key.table == table && key.name == name)
}

const fn key(
    table: &'static str,
    name: &'static str,
    flag: &'static str,
    kind: ValueKind,
    help: &'static str,
) -> SettingKey {
    SettingKey {
        table,
        name,
        flag,
        kind,
        help,
    }
}

const fn top(name: &'static str, kind: ValueKind, help: &'static str) -> SettingKey {
    key("", name, name, kind, help)
}

const fn timing(name: &'static str, help: &'static str) -> SettingKey {
    key("timing", name, name, ValueKind::Integer, help)
}

const fn limit(name: &'static str, help: &'static str) -> SettingKey {
    key("limits", name, name, ValueKind::Integer, help)
}

/// Formats of log lines.
const LOG_FORMATS: &[&str] = &["human", "json"];
/// Levels of log lines.
const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Every key, in the order of the settings reference.
#[rustfmt::skip]
pub const KEYS: &[SettingKey] = &[
    top("machine", ValueKind::Text, "name of this machine in the platform's machine list"),
    top("region", ValueKind::Text, "region of this machine"),
    top("zone", ValueKind::Text, "zone of this machine"),
    top("caller-address", ValueKind::Address, "address on which callers connect"),
    top("peer-address", ValueKind::Address, "address on which other routers connect"),
    top("operator-address", ValueKind::Address, "address on which operators connect"),
    top("platform-address", ValueKind::Address, "address of the platform's object API"),
    top("machine-list-address", ValueKind::Address, "address of the platform's machine list"),
    top("platform-token-file", ValueKind::Text, "file with the token for the platform's services"),
    top("group-size", ValueKind::Integer, "members of a consensus group: 1, 3 or 5"),
    timing("renewal-ms", "interval between session renewals"),
    timing("lease-ms", "length of a session lease; at least three renewals"),
    timing("drift-percent", "largest difference in rate between two machines' clocks"),
    timing("election-min-ms", "shortest election timeout; at least three heartbeats"),
    timing("election-max-ms", "longest election timeout"),
    timing("heartbeat-ms", "interval between leader heartbeats"),
    timing("confirm-ms", "interval at which a router confirms its revision"),
    timing("confirm-bound-ms", "longest time without confirmation during which new work is taken"),
    limit("max-head-bytes", "largest request head"),
    limit("max-body-bytes", "largest request body"),
    limit("head-timeout-ms", "longest time a caller may take to send a head"),
    limit("idle-timeout-ms", "longest time a caller's connection may stay idle"),
    limit("max-caller-connections", "connections accepted from callers at once"),
    key("limits", "namespace-share", "namespace-share", ValueKind::Number,
        "largest part of this router's capacity that one namespace may hold"),
    limit("drain-timeout-ms", "longest time a planned stop waits for requests in flight"),
    key("log", "format", "log-format", ValueKind::Choice(LOG_FORMATS), "form of log lines"),
    key("log", "level", "log-level", ValueKind::Choice(LOG_LEVELS), "least severe level written"),
];
