//! JSON documents with comments, whose errors name file, line and field.

use std::{fmt, path::Path};

use jsonc_parser::{
    ParseOptions,
    ast::{ObjectPropName, Value as AstNode},
    common::Ranged,
};
use serde::de::DeserializeOwned;

/// A parsed JSON document with comments.
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
    /// The parsed content, without comments.
    pub value: serde_json::Value,
}

/// One error in a [`Document`], with its file, line and field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The name of the document, usually the path of its file.
    pub file: String,
    /// The line, from 1; 0 if the fault is not on any line.
    pub line: usize,
    /// The path of the field, joined by dots; empty for the whole document.
    pub field: String,
    /// What is wrong and, if not obvious, how to correct it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "`{}`: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}

impl Document {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// If the file can't be read or is not JSON with comments.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Fault {
            file: name.clone(),
            line: 0,
            field: String::new(),
            message: format!("cannot be read: {error}"),
        })?;
        Self::parse(&name, &text)
    }

    /// Parses `text`. Faults show `name` as the file.
    ///
    /// # Errors
    ///
    /// If `text` is not JSON with comments.
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
                line: line_number(text, error.range().start),
                field: String::new(),
                message: format!("is not JSON: {}", error.kind()),
            }),
        }
    }

    /// Returns the line of the value at `path`, or of its nearest ancestor that
    /// exists.
    pub fn line(&self, path: &[&str]) -> usize {
        let options = ParseOptions::default();
        let tree = jsonc_parser::parse_to_ast(&self.text, &Default::default(), &options);
        let Some(root) = tree.ok().and_then(|tree| tree.value) else {
            return 1;
        };
        let mut node = &root;
        let mut start = node.start();
        for segment in path {
            let Some((child_start, child_node)) = child(node, segment) else {
                break;
            };
            start = child_start;
            node = child_node;
        }
        line_number(&self.text, start)
    }

    /// Returns a fault at `path` with the message `message`.
    pub fn fault(&self, path: &[&str], message: impl Into<String>) -> Fault {
        Fault {
            file: self.name.clone(),
            line: self.line(path),
            field: path.join("."),
            message: message.into(),
        }
    }

    /// Decodes `value`, which is at `path` in this document.
    ///
    /// # Errors
    ///
    /// If `value` does not match the type. The fault names the field.
    pub fn decode<T: DeserializeOwned>(
        &self,
        path: &[&str],
        value: &serde_json::Value,
    ) -> Result<T, Fault> {
        serde_path_to_error::deserialize(value).map_err(|error| {
            let inner_path: Vec<String> = error
                .path()
                .iter()
                .map(|segment| segment.to_string())
                .collect();
            let inner_path = inner_path
                .iter()
                .map(String::as_str)
                .filter(|segment| *segment != "?");
            let path: Vec<&str> = path.iter().copied().chain(inner_path).collect();
            let path: Vec<&str> = path
                .iter()
                .map(|segment| segment.trim_matches(['[', ']']))
                .collect();
            self.fault(&path, error.into_inner().to_string())
        })
    }
}

/// Returns the child of `node` at `segment`, a property name or an array index,
/// and the byte offset where it starts.
fn child<'a, 'b>(node: &'b AstNode<'a>, segment: &str) -> Option<(usize, &'b AstNode<'a>)> {
    match node {
        AstNode::Object(object) => {
            let matches = |name: &ObjectPropName<'_>| name.as_str() == segment;
            let property = object.properties.iter().find(|p| matches(&p.name))?;
            Some((property.start(), &property.value))
        }
        AstNode::Array(array) => {
            let value = array.elements.get(segment.parse::<usize>().ok()?)?;
            Some((value.start(), value))
        }
        _ => None,
    }
}

/// Returns the line, from 1, of the byte offset `position` in `text`.
fn line_number(text: &str, position: usize) -> usize {
    let end = position.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}
