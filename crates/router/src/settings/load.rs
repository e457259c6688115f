//! Loading of settings from a file and flags.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

use super::keys::{self, KEYS, SettingKey};
use super::values::{check_value, toml_value, value_of_flag, wrong_type};
use super::{Location, Problem, Settings, SettingsError, SettingsProblem, validate};

/// A value given on the command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Name of the flag, without the dashes.
    pub flag: &'static str,
    /// The value as given.
    pub value: String,
}

/// Reads `file`, applies `overrides` and validates the result.
///
/// # Errors
///
/// Returns every problem found, with its location and remedy.
pub fn load(file: Option<&Path>, overrides: &[Override]) -> Result<Settings, SettingsError> {
    let mut draft = Draft::default();
    if let Some(path) = file {
        draft.read_file(path);
    }
    for flag_override in overrides {
        draft.override_with(flag_override);
    }
    draft.finish()
}

/// Returns every problem of a settings file without flags. Required keys that are
/// not in the file are reported as missing.
pub fn find_problems(path: &Path) -> Vec<Problem> {
    match load(Some(path), &[]) {
        Ok(_) => Vec::new(),
        Err(error) => error.problems,
    }
}

/// Values and problems collected while settings are loaded.
#[derive(Default)]
struct Draft {
    file: Option<PathBuf>,
    values: BTreeMap<String, Value>,
    locations: BTreeMap<String, Location>,
    problems: Vec<Problem>,
}

impl Draft {
    fn read_file(&mut self, path: &Path) {
        self.file = Some(path.to_owned());
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                let kind = SettingsProblem::Unreadable(error.to_string());
                return self.report(self.location_in_file(None), kind);
            }
        };
        match DeTable::parse(&text) {
            Ok(table) => self.read_table(&text, "", table.get_ref()),
            Err(error) => {
                let position = error.span().map(|span| position_of(&text, span.start));
                let kind = SettingsProblem::Syntax(error.message().to_owned());
                self.report(self.location_in_file(position), kind);
            }
        }
    }

    fn read_table(&mut self, text: &str, table: &str, content: &DeTable<'_>) {
        for (name, value) in content {
            let position = position_of(text, name.span().start);
            let location = self.location_in_file(Some(position));
            let name = name.get_ref().as_ref();
            match (value.get_ref(), keys::find(table, name)) {
                (DeValue::Table(inner), None) if table.is_empty() && is_table(name) => {
                    self.read_table(text, name, inner);
                }
                (_, None) => self.report(location, unknown_key(table, name)),
                (value, Some(key)) => {
                    let value = toml_value(value);
                    self.set_value(key, value, location);
                }
            }
        }
    }

    fn override_with(&mut self, flag_override: &Override) {
        let Some(key) = KEYS.iter().find(|key| key.flag == flag_override.flag) else {
            return;
        };
        let value = value_of_flag(key, &flag_override.value);
        self.set_value(key, value, Location::Flag(key.flag));
    }

    /// Sets the value of a key, or reports its problem.
    fn set_value(&mut self, key: &SettingKey, value: Option<Value>, location: Location) {
        let path = key.path();
        match value
            .ok_or_else(|| wrong_type(key))
            .and_then(|value| check_value(key, value))
        {
            Ok(value) => {
                self.values.insert(path.clone(), value);
                self.locations.insert(path, location);
            }
            Err(kind) => self.report(location, kind),
        }
    }

    fn finish(mut self) -> Result<Settings, SettingsError> {
        self.report_missing();
        let settings = self.build_settings();
        for kind in settings.iter().flat_map(validate::find_problems) {
            let location = self.location_of(&kind);
            self.report(location, kind);
        }
        self.problems
            .sort_by_key(|problem| problem.location.sort_key());
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(SettingsError {
                problems: self.problems,
            }),
        }
    }

    /// Builds the settings if there is no problem so far. They may still contradict
    /// each other.
    fn build_settings(&mut self) -> Option<Settings> {
        if !self.problems.is_empty() {
            return None;
        }
        match self.table().try_into() {
            Ok(settings) => Some(settings),
            Err(error) => {
                let kind = SettingsProblem::Syntax(error.to_string());
                self.report(Location::Whole, kind);
                None
            }
        }
    }

    fn report_missing(&mut self) {
        let reported: Vec<String> = self
            .problems
            .iter()
            .filter_map(|problem| problem.kind.key().map(str::to_owned))
            .collect();
        let unreadable = self.problems.iter().any(|problem| {
            matches!(
                problem.kind,
                SettingsProblem::Unreadable(_) | SettingsProblem::Syntax(_)
            )
        });
        if unreadable {
            return;
        }
        for key in KEYS.iter().filter(|key| key.is_required()) {
            let path = key.path();
            if !self.values.contains_key(&path) && !reported.contains(&path) {
                let kind = SettingsProblem::Missing {
                    key: path,
                    flag: key.flag,
                };
                self.report(self.location_in_file(None), kind);
            }
        }
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        for (path, value) in &self.values {
            match path.split_once('.') {
                None => {
                    table.insert(path.clone(), value.clone());
                }
                Some((outer, name)) => {
                    let inner = table
                        .entry(outer)
                        .or_insert_with(|| Value::Table(Table::new()));
                    if let Value::Table(inner) = inner {
                        inner.insert(name.to_owned(), value.clone());
                    }
                }
            }
        }
        table
    }

    fn location_of(&self, kind: &SettingsProblem) -> Location {
        kind.key()
            .and_then(|key| self.locations.get(key).cloned())
            .unwrap_or_else(|| self.location_in_file(None))
    }

    fn location_in_file(&self, position: Option<(usize, usize)>) -> Location {
        match &self.file {
            Some(path) => Location::File {
                path: path.clone(),
                position,
            },
            None => Location::Whole,
        }
    }

    fn report(&mut self, location: Location, kind: SettingsProblem) {
        self.problems.push(Problem { location, kind });
    }
}

fn is_table(name: &str) -> bool {
    KEYS.iter().any(|key| key.table == name)
}

fn unknown_key(table: &str, name: &str) -> SettingsProblem {
    let path = if table.is_empty() {
        name.to_owned()
    } else {
        format!("{table}.{name}")
    };
    let elsewhere = KEYS
        .iter()
        .find(|key| key.name == name || key.name == name.replace('_', "-"));
    let remedy = match elsewhere {
        Some(key) => format!("write '{}'", key.path()),
        None => "remove it, or see the settings reference for the keys there are".to_owned(),
    };
    SettingsProblem::UnknownKey { key: path, remedy }
}

/// Returns line and column of a byte offset, both counted from 1.
fn position_of(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before
        .rsplit('\n')
        .next()
        .map_or(0, |last| last.chars().count())
        + 1;
    (line, column)
}
