//! The record of an engine's runs.

use std::sync::Arc;

use curranthook_types::Clock;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::Recording;

/// One execution of a request by an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// The request's id.
    pub request_id: String,
    /// The model version that ran the request.
    pub version: String,
    /// A hash of the prompt.
    pub prompt_hash: String,
    /// When the engine accepted the request, in milliseconds since the Unix epoch.
    pub started_millis: u64,
    /// When the run ended, in milliseconds since the Unix epoch.
    pub finished_millis: Option<u64>,
    /// How the run ended.
    pub outcome: Outcome,
    /// The index in the answer of the run's first token; above 0 for a resumed answer.
    pub from_token: u64,
    /// The number of tokens generated.
    pub tokens: u64,
    /// Whether the answer is good.
    pub good: bool,
    /// The request's priority; lower values are served first.
    pub priority: i32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Still running, or waiting for a slot.
    Running,
    /// The last token was generated.
    Done,
    /// The caller disconnected.
    Cancelled,
    /// The run failed with an error or was cut by a fault.
    Failed,
    /// Rejected before it started because the queue was full.
    Refused,
}

/// The record of all runs of an engine.
#[derive(Debug)]
pub(super) struct Record {
    recording: Recording,
    clock: Arc<dyn Clock>,
    runs: Mutex<Vec<Run>>,
}

/// A run in progress. If dropped without an outcome it is recorded as cancelled, because the
/// server drops the response of a caller that has disconnected.
#[derive(Debug)]
pub(super) struct Entry {
    record: Arc<Record>,
    index: Option<usize>,
    outcome: Outcome,
    n_tokens: u64,
}

impl Record {
    pub(super) fn new(recording: Recording, clock: Arc<dyn Clock>) -> Self {
        Self { recording, clock, runs: Mutex::default() }
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    /// Adds a run that starts now; `run` is called with the start time.
    pub(super) fn begin(self: &Arc<Self>, run: impl FnOnce(u64) -> Run) -> Entry {
        let index = match self.recording {
            Recording::Off => None,
            Recording::On => {
                let run = run(self.clock.unix_millis());
                let mut runs = self.runs.lock();
                runs.push(run);
                Some(runs.len() - 1)
            }
        };
        Entry { record: Arc::clone(self), index, outcome: Outcome::Cancelled, n_tokens: 0 }
    }
}

impl Entry {
    /// Adds `n` generated tokens.
    pub(super) fn add_tokens(&mut self, n: u64) {
        self.n_tokens += n;
        if let Some(index) = self.index {
            self.record.runs.lock()[index].tokens = self.n_tokens;
        }
    }

    /// The number of tokens generated.
    pub(super) fn n_tokens(&self) -> u64 {
        self.n_tokens
    }

    /// Ends the run with `outcome`.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let Some(index) = self.index else { return };
        let now = self.record.clock.unix_millis();
        let run = &mut self.record.runs.lock()[index];
        run.finished_millis = Some(now);
        run.outcome = self.outcome;
    }
}
