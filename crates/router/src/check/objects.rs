//! Checking of object files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;
use threadledge_types::validation::{self, ObjectSet, split_document};

use super::{CheckProblem, CheckProblemKind};

/// The object files of a run.
#[derive(Default)]
pub(super) struct ObjectFiles {
    objects: ObjectSet,
    /// The file of each object, by kind, namespace and name.
    file_of: BTreeMap<(String, String, String), PathBuf>,
}

impl ObjectFiles {
    /// Adds one file and returns the problems of its objects.
    pub(super) fn add(&mut self, file: &Path) -> Vec<CheckProblem> {
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(error) => {
                let kind = CheckProblemKind::Unreadable(error.to_string());
                return vec![problem(file, kind)];
            }
        };
        self.add_text(file, &text)
    }

    fn add_text(&mut self, file: &Path, text: &str) -> Vec<CheckProblem> {
        let mut problems = Vec::new();
        let mut empty = true;
        for document in documents(text) {
            empty = false;
            match document {
                Ok(document) => {
                    for object in split_document(document) {
                        problems.extend(self.add_object(file, &object));
                    }
                }
                Err(error) => {
                    // After a syntax error the following documents cannot be
                    // separated.
                    problems.push(syntax_problem(file, &error));
                    break;
                }
            }
        }
        if empty {
            problems.push(problem(file, CheckProblemKind::Empty));
        }
        problems
    }

    fn add_object(&mut self, file: &Path, object: &Value) -> Vec<CheckProblem> {
        let field = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let metadata = &object["metadata"];
        let key = (
            field(&object["kind"]),
            field(&metadata["namespace"]),
            field(&metadata["name"]),
        );
        match self.objects.add(object) {
            Ok(()) => {
                self.file_of.insert(key, file.to_owned());
                Vec::new()
            }
            Err(problems) => problems
                .into_iter()
                .map(|found| problem(file, CheckProblemKind::Object(found)))
                .collect(),
        }
    }

    /// Returns the conflicts between objects of all files.
    pub(super) fn cross_object_problems(&self) -> Vec<CheckProblem> {
        self.objects
            .cross_object_problems()
            .into_iter()
            .map(|found| problem(self.file_of(&found), CheckProblemKind::Object(found)))
            .collect()
    }

    fn file_of(&self, found: &validation::Problem) -> &Path {
        let object = &found.object;
        let key = (
            object.kind.clone(),
            object.namespace.clone(),
            object.name.clone(),
        );
        match self.file_of.get(&key) {
            Some(file) => file,
            None => Path::new("all files"),
        }
    }
}

/// Parses the documents of a file. JSON is parsed as YAML, of which it is a
/// subset.
fn documents(text: &str) -> impl Iterator<Item = Result<Value, serde_norway::Error>> {
    serde_norway::Deserializer::from_str(text)
        .map(Value::deserialize)
        .filter(|document| !matches!(document, Ok(Value::Null)))
}

fn syntax_problem(file: &Path, error: &serde_norway::Error) -> CheckProblem {
    let location = match error.location() {
        Some(location) => format!(
            "{}:{}:{}",
            file.display(),
            location.line(),
            location.column()
        ),
        None => file.display().to_string(),
    };
    CheckProblem {
        location,
        kind: CheckProblemKind::Syntax(error.to_string()),
    }
}

fn problem(file: &Path, kind: CheckProblemKind) -> CheckProblem {
    CheckProblem {
        location: file.display().to_string(),
        kind,
    }
}
