//! The `curranthook explain` subcommand.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read},
    path::PathBuf,
};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Error, output::Render};

/// Log fields that `render` does not print as `name=value`: the request id is printed once in the
/// header, and the other three at the start of each line.
const HEADER_FIELDS: [&str; 4] = ["at_ms", "node", "event", "request"];

/// The events of a request on all nodes.
#[derive(Debug, Serialize)]
pub struct Timeline {
    /// The request's id.
    pub request: String,
    /// The events in order of time.
    pub steps: Vec<LogEvent>,
    /// Number of lines that contain a `{` but can't be parsed as a log event.
    #[serde(rename = "unread")]
    pub n_unparsed: usize,
}

/// One event from a node's log, such as a routing decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEvent {
    /// Time of the event, in milliseconds of the node's wall clock.
    pub at_ms: u64,
    /// The node that logged the event.
    pub node: String,
    /// The kind of event, such as `sent` or `ended`.
    pub event: String,
    /// All other fields of the JSON object, such as the inputs of a decision and its outcome.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Collects the events of `request` from log files, or from `input` if there are no files.
///
/// ```
/// # use curranthook_cli::command::explain;
/// let log = br#"{"at_ms":7,"node":"n-1","event":"sent","request":"r-1","endpoint":"e-1"}"#;
/// let timeline = explain::run("r-1", &[], &mut &log[..]).unwrap();
/// assert_eq!(timeline.steps[0].event, "sent");
/// ```
pub fn run(request: &str, files: &[PathBuf], input: &mut dyn Read) -> Result<Timeline, Error> {
    let mut timeline = Timeline { request: request.to_owned(), steps: Vec::new(), n_unparsed: 0 };
    if files.is_empty() {
        timeline.read_lines(BufReader::new(input))?;
    }
    for file in files {
        timeline.read_lines(BufReader::new(File::open(file)?))?;
    }
    timeline.keep_latest_context();
    // The clocks of the nodes differ slightly. The stable sort keeps the order of lines that have
    // the same time, which is correct within a node.
    timeline.steps.sort_by_key(|it| it.at_ms);
    Ok(timeline)
}

impl Timeline {
    fn read_lines(&mut self, lines: impl BufRead) -> Result<(), Error> {
        for line in lines.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            // Log collectors may prepend a time or a name to each line.
            let Some(start) = text.find('{') else { continue };
            match serde_json::from_str::<LogEvent>(&text[start..]) {
                Ok(event) if self.is_relevant(&event) => self.steps.push(event),
                Ok(_unrelated) => {}
                Err(_unparsed) => self.n_unparsed += 1,
            }
        }
        Ok(())
    }

    /// Returns whether an event may belong to the timeline: it is about the request, or it reports
    /// a change in the state of endpoints, configurations or rollouts as a node sees it.
    fn is_relevant(&self, event: &LogEvent) -> bool {
        match event.fields.get("request") {
            Some(request) => *request == self.request,
            None => matches!(event.event.as_str(), "endpoint" | "configuration" | "roll_out"),
        }
    }

    /// Of the events that are not about the request, keeps only the latest endpoint and
    /// configuration event of the same node before each attempt.
    fn keep_latest_context(&mut self) {
        let (request_events, context_events): (Vec<_>, Vec<_>) = std::mem::take(&mut self.steps)
            .into_iter()
            .partition(|it| it.fields.contains_key("request"));
        let mut latest_events: Vec<LogEvent> = Vec::new();
        for attempt in request_events.iter().filter(|it| it.event == "sent") {
            for (event, matching_field) in [("endpoint", "endpoint"), ("configuration", "")] {
                let precedes_attempt = |it: &&LogEvent| {
                    it.event == event
                        && it.node == attempt.node
                        && it.at_ms <= attempt.at_ms
                        && (matching_field.is_empty()
                            || it.fields.get(matching_field) == attempt.fields.get(matching_field))
                };
                if let Some(latest) =
                    context_events.iter().filter(precedes_attempt).max_by_key(|it| it.at_ms)
                {
                    latest_events.push(latest.clone());
                }
            }
        }
        latest_events.sort_by_key(|it| it.at_ms);
        latest_events.dedup_by(|a, b| a.at_ms == b.at_ms && a.event == b.event && a.node == b.node);
        self.steps = latest_events.into_iter().chain(request_events).collect();
    }
}

impl Render for Timeline {
    fn render(&self) -> String {
        let is_request_event = |it: &&LogEvent| it.fields.contains_key("request");
        let Some(first_event) = self.steps.iter().find(is_request_event) else {
            return format!("no line of request {} was found", self.request);
        };
        let start_ms = first_event.at_ms;
        let mut text = format!("request {}\n", self.request);
        for it in &self.steps {
            let offset_secs = it.at_ms as f64 / 1e3 - start_ms as f64 / 1e3;
            text += &format!("{offset_secs:+9.3} s  {}  {}", it.node, it.event);
            for (name, value) in &it.fields {
                if !HEADER_FIELDS.contains(&name.as_str()) && !value.is_null() {
                    let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                    text += &format!("  {name}={value}");
                }
            }
            text.push('\n');
        }
        text
    }
}
