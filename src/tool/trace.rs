//! What the logs of several nodes say of one request.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::{Map, Value};

use super::{Code, Done, Failure};

/// Fields that stand before the others, or not at all.
const HEAD: [&str; 5] = ["ms", "code", "event", "level", "node"];

/// What was found in some logs.
#[derive(Debug, Default)]
pub struct Trace {
    /// The lines about the request, in order of time.
    pub lines: Vec<Map<String, Value>>,
    /// Lines that were read.
    pub read: usize,
    /// Lines that are no events of ours, such as cut ones.
    pub passed_over: usize,
}

/// Reads `files` for the request `id` and shows what they say of it.
///
/// # Errors
///
/// If a file can't be read, or no line names the request.
pub(super) fn run(id: &str, files: &[PathBuf], json: bool) -> Done {
    let mut trace = Trace::default();
    for file in files {
        trace.read(file, id)?;
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
        trace.read, trace.passed_over
    );
    if trace.lines.is_empty() {
        let what = format!("no line names request {id} in {} files", files.len());
        return Err(Failure::new(Code::Unknown, what));
    }
    Ok(Code::Accepted)
}

impl Trace {
    fn read(&mut self, path: &Path, id: &str) -> Result<(), Failure> {
        let fault = |error| Failure::new(Code::Usage, format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(fault)?;
        for line in BufReader::new(file).split(b'\n') {
            self.take(&line.map_err(fault)?, id);
        }
        Ok(())
    }

    /// Takes a line in if it is about the request, or about a call made amid it,
    /// whose id begins with the request's and a dot.
    pub fn take(&mut self, line: &[u8], id: &str) {
        if line.is_empty() {
            return;
        }
        self.read += 1;
        // A collector may put its own words before the object.
        let start = line.iter().position(|byte| *byte == b'{').unwrap_or(0);
        let decoded = serde_json::from_slice::<Map<String, Value>>(&line[start..]);
        let Some(event) = decoded.ok().filter(|event| event.contains_key("code")) else {
            self.passed_over += 1;
            return;
        };
        let named = event.get("id").and_then(Value::as_str).unwrap_or_default();
        let is_call = named
            .strip_prefix(id)
            .is_some_and(|rest| rest.starts_with('.'));
        if named == id || is_call {
            self.lines.push(event);
        }
    }

    /// Puts the lines in order of time. Clocks of hosts differ a little: within a
    /// millisecond the order between nodes says nothing.
    pub fn sort(&mut self) {
        let ms = |event: &Map<String, Value>| event.get("ms").and_then(Value::as_u64);
        self.lines.sort_by_key(ms);
    }

    /// Returns the lines for a person, with nodes that were tried but whose logs
    /// are not there named at the end.
    pub fn text(&self) -> Vec<String> {
        let first = self.lines.first().and_then(|line| line.get("ms")?.as_u64());
        let mut text: Vec<String> = self
            .lines
            .iter()
            .map(|line| show(line, first.unwrap_or_default()))
            .collect();
        let missing = self.missing();
        if !missing.is_empty() {
            let nodes = missing.into_iter().collect::<Vec<_>>().join(", ");
            text.push(format!(
                "gap: no line of {nodes}, where the request was sent"
            ));
        }
        text
    }

    fn missing(&self) -> BTreeSet<String> {
        let word = |line: &Map<String, Value>, name: &str| {
            line.get(name).and_then(Value::as_str).map(str::to_owned)
        };
        let seen: BTreeSet<String> = self.lines.iter().filter_map(|l| word(l, "node")).collect();
        let tried = self.lines.iter().filter_map(|l| word(l, "tries"));
        let tried = tried.flat_map(|t| t.split(',').map(str::to_owned).collect::<Vec<_>>());
        tried
            .filter(|node| !node.is_empty() && !seen.contains(node))
            .collect()
    }
}

fn show(line: &Map<String, Value>, first: u64) -> String {
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| line.get(name).map(plain).unwrap_or_default();
    let since = line.get("ms").and_then(Value::as_u64).unwrap_or(first) - first;
    let others = line
        .iter()
        .filter(|(name, _)| !HEAD.contains(&name.as_str()));
    let others: Vec<String> = others.map(|(n, v)| format!("{n}={}", plain(v))).collect();
    format!(
        "+{since} ms {} E{} {}: {}",
        field("node"),
        field("code"),
        field("event"),
        others.join(" ")
    )
}
