//! `curranthook explain`

use std::{
    fs::File,
    io::{BufRead, BufReader, Read},
    path::PathBuf,
};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Error, output::Show};

/// The names of fields that stand in the head of a line, not among what was known.
const HEAD: [&str; 4] = ["at_ms", "node", "event", "request"];

/// A request's way over all nodes.
#[derive(Debug, Serialize)]
pub struct Story {
    /// The request.
    pub request: String,
    /// What happened, in order.
    pub steps: Vec<Step>,
    /// Lines that aren't JSON of ours.
    pub unread: usize,
}

/// A decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Step {
    /// When, in milliseconds of the node's wall clock.
    pub at_ms: u64,
    /// Where.
    pub node: String,
    /// What.
    pub event: String,
    /// With what knowledge, and how it ended.
    #[serde(flatten)]
    pub knew: Map<String, Value>,
}

/// Finds the way of `request` in log files, or in standard input if there are none.
///
/// ```
/// # use curranthook_cli::command::explain;
/// let log = br#"{"at_ms":7,"node":"n-1","event":"sent","request":"r-1","endpoint":"e-1"}"#;
/// let story = explain::run("r-1", &[], &mut &log[..]).unwrap();
/// assert_eq!(story.steps[0].event, "sent");
/// ```
pub fn run(request: &str, files: &[PathBuf], input: &mut dyn Read) -> Result<Story, Error> {
    let mut story = Story { request: request.to_owned(), steps: Vec::new(), unread: 0 };
    if files.is_empty() {
        story.read(BufReader::new(input))?;
    }
    for file in files {
        story.read(BufReader::new(File::open(file)?))?;
    }
    story.add_context();
    // The clocks of the nodes differ a little; within a node the order of the lines is right.
    story.steps.sort_by_key(|it| it.at_ms);
    Ok(story)
}

impl Story {
    fn read(&mut self, lines: impl BufRead) -> Result<(), Error> {
        for line in lines.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            // Whoever gathers logs may put a time or a name before each line.
            let Some(start) = text.find('{') else { continue };
            match serde_json::from_str::<Step>(&text[start..]) {
                Ok(step) if self.concerns(&step) => self.steps.push(step),
                Ok(_other) => {}
                Err(_not_ours) => self.unread += 1,
            }
        }
        Ok(())
    }

    /// Whether a line may belong to the story: lines of the request, and what nodes came to
    /// believe of endpoints and configurations.
    fn concerns(&self, step: &Step) -> bool {
        match step.knew.get("request") {
            Some(request) => *request == self.request,
            None => matches!(step.event.as_str(), "endpoint" | "configuration" | "roll_out"),
        }
    }

    /// Keeps, of what the nodes believed, only the last word before each attempt.
    fn add_context(&mut self) {
        let (own, beliefs): (Vec<_>, Vec<_>) = std::mem::take(&mut self.steps)
            .into_iter()
            .partition(|it| it.knew.contains_key("request"));
        let mut kept: Vec<Step> = Vec::new();
        for sent in own.iter().filter(|it| it.event == "sent") {
            for (event, field) in [("endpoint", "endpoint"), ("configuration", "")] {
                let same = |it: &&Step| {
                    it.event == event
                        && it.node == sent.node
                        && it.at_ms <= sent.at_ms
                        && (field.is_empty() || it.knew.get(field) == sent.knew.get(field))
                };
                if let Some(last) = beliefs.iter().filter(same).max_by_key(|it| it.at_ms) {
                    kept.push(last.clone());
                }
            }
        }
        kept.sort_by_key(|it| it.at_ms);
        kept.dedup_by(|a, b| a.at_ms == b.at_ms && a.event == b.event && a.node == b.node);
        self.steps = kept.into_iter().chain(own).collect();
    }
}

impl Show for Story {
    fn show(&self) -> String {
        let is_own = |it: &&Step| it.knew.contains_key("request");
        let Some(first) = self.steps.iter().find(is_own) else {
            return format!("no line of request {} was found", self.request);
        };
        let start = first.at_ms;
        let mut text = format!("request {}\n", self.request);
        for it in &self.steps {
            let since = it.at_ms as f64 / 1e3 - start as f64 / 1e3;
            text += &format!("{since:+9.3} s  {}  {}", it.node, it.event);
            for (name, value) in &it.knew {
                if !HEAD.contains(&name.as_str()) && !value.is_null() {
                    let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                    text += &format!("  {name}={value}");
                }
            }
            text.push('\n');
        }
        text
    }
}
