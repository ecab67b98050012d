//! The log lines of several nodes about one request.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::{Map, Value};

use super::{Code, CommandResult, Failure};

/// Fields that are printed before the others (`ms`, `node`, `code`, `event`) or not at all
/// (`level`).
const LEADING_FIELDS: [&str; 5] = ["ms", "code", "event", "level", "node"];

/// The lines about one request in some log files.
#[derive(Debug, Default)]
pub struct Trace {
    /// The lines about the request; in order of time after [`Self::sort`].
    pub lines: Vec<Map<String, Value>>,
    /// Number of lines read.
    pub lines_read: usize,
    /// Number of lines that are not rilltrack events, such as truncated ones.
    pub skipped: usize,
}

/// Prints the lines of `files` about the request `id`.
///
/// # Errors
///
/// If a file can't be read, or no line is about the request.
pub(super) fn run(id: &str, files: &[PathBuf], json: bool) -> CommandResult {
    let mut trace = Trace::default();
    for file in files {
        trace.read_file(file, id)?;
    }
    trace.sort();
    if json {
        println!(
            "{}",
            Value::from(
                trace
                    .lines
                    .iter()
                    .map(|l| Value::from(l.clone()))
                    .collect::<Vec<_>>()
            )
        );
    } else {
        trace.text().iter().for_each(|line| println!("{line}"));
    }
    eprintln!(
        "{} lines read, {} passed over",
        trace.lines_read, trace.skipped
    );
    if trace.lines.is_empty() {
        let message = format!("no line names request {id} in {} files", files.len());
        return Err(Failure::new(Code::Unknown, message));
    }
    Ok(Code::Accepted)
}

impl Trace {
    /// Adds the lines of a log file about the request `id`.
    fn read_file(&mut self, path: &Path, id: &str) -> Result<(), Failure> {
        let failure = |error| Failure::new(Code::Usage, format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(failure)?;
        for line in BufReader::new(file).split(b'\n') {
            self.add_line(&line.map_err(failure)?, id);
        }
        Ok(())
    }

    /// Adds a line if it is about the request `id`, or about a call that a target made while
    /// it ran the request: the id of such a call is the request's id, a dot and a suffix.
    pub fn add_line(&mut self, line: &[u8], id: &str) {
        if line.is_empty() {
            return;
        }
        self.lines_read += 1;
        // A log collector may put a prefix before the JSON object.
        let start = line.iter().position(|byte| *byte == b'{').unwrap_or(0);
        let decoded = serde_json::from_slice::<Map<String, Value>>(&line[start..]);
        let Some(event) = decoded.ok().filter(|event| event.contains_key("code")) else {
            self.skipped += 1;
            return;
        };
        let line_id = event.get("id").and_then(Value::as_str).unwrap_or_default();
        let is_call = line_id
            .strip_prefix(id)
            .is_some_and(|rest| rest.starts_with('.'));
        if line_id == id || is_call {
            self.lines.push(event);
        }
    }

    /// Sorts the lines by time. The clocks of hosts differ a little, so the order of lines of
    /// different nodes within a millisecond is not reliable.
    pub fn sort(&mut self) {
        let ms = |event: &Map<String, Value>| event.get("ms").and_then(Value::as_u64);
        self.lines.sort_by_key(ms);
    }

    /// Returns the lines as text. A last line names the nodes that the request was sent to but
    /// that no line comes from.
    pub fn text(&self) -> Vec<String> {
        let start_ms = self.lines.first().and_then(|line| line.get("ms")?.as_u64());
        let mut text: Vec<String> = self
            .lines
            .iter()
            .map(|line| format_line(line, start_ms.unwrap_or_default()))
            .collect();
        let missing = self.missing_nodes();
        if !missing.is_empty() {
            let nodes = missing.into_iter().collect::<Vec<_>>().join(", ");
            text.push(format!(
                "gap: no line of {nodes}, where the request was sent"
            ));
        }
        text
    }

    /// Returns the nodes that the request was sent to but that no line comes from.
    fn missing_nodes(&self) -> BTreeSet<String> {
        let text_field = |line: &Map<String, Value>, name: &str| {
            line.get(name).and_then(Value::as_str).map(str::to_owned)
        };
        let logged: BTreeSet<String> = self
            .lines
            .iter()
            .filter_map(|l| text_field(l, "node"))
            .collect();
        let tried = self.lines.iter().filter_map(|l| text_field(l, "tries"));
        let tried = tried.flat_map(|t| t.split(',').map(str::to_owned).collect::<Vec<_>>());
        tried
            .filter(|node| !node.is_empty() && !logged.contains(node))
            .collect()
    }
}

/// Returns a line as text, with its time relative to `start_ms`.
fn format_line(line: &Map<String, Value>, start_ms: u64) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| line.get(name).map(text).unwrap_or_default();
    let elapsed_ms = line.get("ms").and_then(Value::as_u64).unwrap_or(start_ms) - start_ms;
    let others = line
        .iter()
        .filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
    let others: Vec<String> = others.map(|(n, v)| format!("{n}={}", text(v))).collect();
    format!(
        "+{elapsed_ms} ms {} E{} {}: {}",
        field("node"),
        field("code"),
        field("event"),
        others.join(" ")
    )
}
