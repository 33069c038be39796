//! Bill lines as the platform holds them, and as the operators' command sums them.

use std::collections::BTreeMap;

use anyhow::{Context, ensure};
use curranthook_types::bill::{Line, Segment};
use serde::Deserialize;

use crate::{Site, program};

/// All lines in the object store.
#[derive(Debug, Clone)]
pub struct Bills {
    lines: BTreeMap<String, Vec<Line>>,
}

/// What `curranthook bills` sums up.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Sum {
    /// By account and by what gave the answers.
    pub rows: Vec<Row>,
    /// Lines that stand on another line already.
    pub n_duplicates: usize,
}

/// A row of the sum.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Row {
    /// Who pays.
    pub account: String,
    /// The version or service.
    pub served_by: String,
    /// How many requests.
    pub n_requests: u64,
    /// Tokens of the answers.
    pub completion_tokens: u64,
    /// What it costs.
    pub cost: u64,
}

impl Bills {
    /// Reads what is in the object store now.
    pub async fn read(site: &Site) -> anyhow::Result<Self> {
        let mut lines: BTreeMap<String, Vec<Line>> = BTreeMap::new();
        for (key, text) in site.platform.objects().await? {
            let segment: Segment = serde_json::from_str(&text).with_context(|| key.clone())?;
            ensure!(segment.key() == key, "{key} holds the segment {}", segment.key());
            for line in segment.lines {
                lines.entry(line.request.as_str().to_owned()).or_default().push(line);
            }
        }
        Ok(Self { lines })
    }

    /// The lines of a request, in the order of their segments.
    pub fn of(&self, request: &str) -> &[Line] {
        self.lines.get(request).map_or(&[], Vec::as_slice)
    }

    /// Whether each of these requests has a line.
    pub fn have_all<'a>(&self, requests: impl IntoIterator<Item = &'a String>) -> bool {
        requests.into_iter().all(|it| self.lines.contains_key(it))
    }

    /// Those of these requests that have no line.
    pub fn missing<'a>(&self, requests: impl IntoIterator<Item = &'a String>) -> Vec<&'a String> {
        requests.into_iter().filter(|it| !self.lines.contains_key(*it)).collect()
    }

    /// The requests that have lines.
    pub fn requests(&self) -> impl Iterator<Item = &String> {
        self.lines.keys()
    }

    /// The requests whose lines differ from one another.
    pub fn contradictory(&self) -> Vec<&[Line]> {
        let differ = |lines: &&Vec<Line>| lines.iter().any(|it| *it != lines[0]);
        self.lines.values().filter(differ).map(Vec::as_slice).collect()
    }
}

/// What the operators' command says.
pub async fn sum(site: &Site) -> anyhow::Result<Sum> {
    let platform = site.platform.addr().to_string();
    let args = ["--platform", platform.as_str(), "--output", "json", "bills"];
    Ok(serde_json::from_str(&program::run("curranthook", &args).await?)?)
}
