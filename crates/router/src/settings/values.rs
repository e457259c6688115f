//! Conversion of values from a file or a flag to the type of a key.

use std::net::SocketAddr;

use toml::Value;
use toml::de::DeValue;

use super::SettingsProblem;
use super::keys::{SettingKey, ValueKind};

/// Converts a parsed value to a value without source positions. Returns `None`
/// for types that no key has.
pub(super) fn toml_value(value: &DeValue<'_>) -> Option<Value> {
    match value {
        DeValue::String(text) => Some(Value::String(text.to_string())),
        DeValue::Integer(integer) => i64::from_str_radix(integer.as_str(), integer.radix())
            .ok()
            .map(Value::Integer),
        DeValue::Float(float) => float.as_str().parse().ok().map(Value::Float),
        _ => None,
    }
}

/// Parses the value of a flag. Returns `None` if it does not have the key's type.
pub(super) fn value_of_flag(key: &SettingKey, text: &str) -> Option<Value> {
    match key.kind {
        ValueKind::Integer => text.parse().ok().map(Value::Integer),
        ValueKind::Number => text.parse().ok().map(Value::Float),
        ValueKind::Text | ValueKind::Address | ValueKind::Choice(_) => {
            Some(Value::String(text.to_owned()))
        }
    }
}

/// Returns the value if it has the key's type. Integers are converted for keys
/// that hold a number.
pub(super) fn check_value(key: &SettingKey, value: Value) -> Result<Value, SettingsProblem> {
    match (key.kind, &value) {
        (ValueKind::Text, Value::String(_)) => Ok(value),
        (ValueKind::Address, Value::String(text)) => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(value),
            Err(_) => Err(SettingsProblem::NotAnAddress {
                key: key.path(),
                value: text.clone(),
            }),
        },
        (ValueKind::Integer, Value::Integer(number)) if *number >= 0 => Ok(value),
        (ValueKind::Number, Value::Float(_)) => Ok(value),
        (ValueKind::Number, Value::Integer(number)) => Ok(Value::Float(*number as f64)),
        (ValueKind::Choice(choices), Value::String(text)) if choices.contains(&text.as_str()) => {
            Ok(value)
        }
        _ => Err(wrong_type(key)),
    }
}

/// Returns the problem of a value with the wrong type.
pub(super) fn wrong_type(key: &SettingKey) -> SettingsProblem {
    let (expected_type, example) = match key.kind {
        ValueKind::Text => ("a text", "\"some-name\"".to_owned()),
        ValueKind::Address => ("an address", "\"10.0.0.7:8080\"".to_owned()),
        ValueKind::Integer => ("a whole number of at least 0", "500".to_owned()),
        ValueKind::Number => ("a number", "0.5".to_owned()),
        ValueKind::Choice(choices) => ("one of the words allowed", choices.join(", or ")),
    };
    SettingsProblem::WrongType {
        key: key.path(),
        expected_type,
        example,
    }
}
