//! JSON with comments, read so that every error names its place.

use std::{fmt, path::Path};

use jsonc_parser::{
    ParseOptions,
    ast::{ObjectPropName, Value as Node},
    common::Ranged,
};
use serde::de::DeserializeOwned;

/// A file of JSON with comments.
///
/// # Example
///
/// ```
/// use rilltrack::document::Document;
///
/// let document = Document::parse("demo.jsonc", "{ // a comment\n  \"size\": 3 }")?;
/// assert_eq!(document.line(&["size"]), 2);
/// # Ok::<(), rilltrack::document::Fault>(())
/// ```
#[derive(Clone, Debug)]
pub struct Document {
    name: String,
    text: String,
    /// The content, without comments.
    pub value: serde_json::Value,
}

/// One error in a [`Document`], with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The field, as a path; empty for the whole.
    pub field: String,
    /// What is wrong and how to mend it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "`{}`: ", self.field)?;
        }
        f.write_str(&self.what)
    }
}

impl std::error::Error for Fault {}

impl Document {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// If it can't be read or is not JSON.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Fault {
            file: name.clone(),
            line: 0,
            field: String::new(),
            what: format!("cannot be read: {error}"),
        })?;
        Self::parse(&name, &text)
    }

    /// Parses `text`, which errors call `name`.
    ///
    /// # Errors
    ///
    /// If it is not JSON.
    pub fn parse(name: &str, text: &str) -> Result<Self, Fault> {
        let parsed =
            jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default());
        match parsed {
            Ok(value) => Ok(Self {
                name: name.into(),
                text: text.into(),
                value,
            }),
            Err(error) => Err(Fault {
                file: name.into(),
                line: line_at(text, error.range().start),
                field: String::new(),
                what: format!("is not JSON: {}", error.kind()),
            }),
        }
    }

    /// Returns the line of the value at `path`, or of the nearest value above
    /// it that is there.
    pub fn line(&self, path: &[&str]) -> usize {
        let options = ParseOptions::default();
        let tree = jsonc_parser::parse_to_ast(&self.text, &Default::default(), &options);
        let Some(root) = tree.ok().and_then(|tree| tree.value) else {
            return 1;
        };
        let mut node = &root;
        let mut start = node.start();
        for step in path {
            let Some((at, next)) = child(node, step) else {
                break;
            };
            start = at;
            node = next;
        }
        line_at(&self.text, start)
    }

    /// Returns a fault at `path`.
    pub fn fault(&self, path: &[&str], what: impl Into<String>) -> Fault {
        Fault {
            file: self.name.clone(),
            line: self.line(path),
            field: path.join("."),
            what: what.into(),
        }
    }

    /// Decodes `value`, which stands at `path` in this document.
    ///
    /// # Errors
    ///
    /// If it does not fit the type; the fault names the field.
    pub fn decode<T: DeserializeOwned>(
        &self,
        path: &[&str],
        value: &serde_json::Value,
    ) -> Result<T, Fault> {
        serde_path_to_error::deserialize(value).map_err(|error| {
            let inner: Vec<String> = error
                .path()
                .iter()
                .map(|segment| segment.to_string())
                .collect();
            let inner = inner
                .iter()
                .map(String::as_str)
                .filter(|segment| *segment != "?");
            let path: Vec<&str> = path.iter().copied().chain(inner).collect();
            let path: Vec<&str> = path
                .iter()
                .map(|step| step.trim_matches(['[', ']']))
                .collect();
            self.fault(&path, error.into_inner().to_string())
        })
    }
}

/// Returns where the child `step` starts, and the child.
fn child<'a, 'b>(node: &'b Node<'a>, step: &str) -> Option<(usize, &'b Node<'a>)> {
    match node {
        Node::Object(object) => {
            let name = |name: &ObjectPropName<'_>| name.as_str() == step;
            let property = object.properties.iter().find(|p| name(&p.name))?;
            Some((property.start(), &property.value))
        }
        Node::Array(array) => {
            let value = array.elements.get(step.parse::<usize>().ok()?)?;
            Some((value.start(), value))
        }
        _ => None,
    }
}

fn line_at(text: &str, position: usize) -> usize {
    let end = position.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}
