//! Generates every request of a run before the first is sent.

use std::{collections::HashMap, time::Duration};

use curranthook_types::{account, chat, kind};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::{
    scenario::{Kind, Scenario},
    schedule,
};

/// Vocabulary of generated prompts.
const VOCABULARY: [&str; 12] = [
    "weight",
    "crate",
    "herd",
    "yard",
    "reading",
    "scale",
    "ledger",
    "column",
    "archive",
    "correction",
    "query",
    "dossier",
];
/// Value XORed into the seed, so that prompts and arrival times use different random numbers.
const PROMPT_SEED_MASK: u64 = 0x70_72_6f_6d_70_74;

/// A planned request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Request ID, unique in the run.
    pub id: String,
    /// Scheduled time since the start of the arrivals.
    pub at: Duration,
    /// Index of the arrival phase.
    pub phase: usize,
    /// Client account that sends it.
    pub account: account::Id,
    /// The kind of work.
    pub kind: kind::Id,
    /// Session ID, if the request belongs to a session.
    pub session: Option<String>,
    /// Prompt text.
    pub text: String,
}

impl Request {
    /// Number of words in the prompt, which stand-in engines count as tokens.
    pub fn prompt_tokens(&self) -> u64 {
        u64::try_from(self.text.split_whitespace().count()).unwrap_or(u64::MAX)
    }

    /// Builds the request body for `model`.
    pub fn chat_request(&self, kind: &Kind, model: &str) -> chat::Request {
        chat::Request {
            model: model.to_owned(),
            messages: vec![chat::Message { role: "user".to_owned(), content: self.text.clone() }],
            stream: kind.stream,
            max_tokens: None,
            rest: serde_json::Map::new(),
        }
    }
}

/// All requests of a run, ordered by time; deterministic for a seed.
///
/// ```no_run
/// # fn main() -> Result<(), curranthook_load::scenario::Error> {
/// use curranthook_load::{plan, scenario::Scenario};
/// let scenario = Scenario::load("scenarios/mekong.yaml".as_ref())?;
/// assert_eq!(plan::requests(&scenario, 1), plan::requests(&scenario, 1));
/// # Ok(()) }
/// ```
pub fn requests(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut generator = Generator::new(scenario, seed);
    let arrivals = schedule::arrivals(&scenario.phases, seed);
    let mut all: Vec<Request> = arrivals.iter().map(|it| generator.request(it)).collect();
    all.extend(repeated_requests(scenario, seed));
    all.sort_by_key(|it| it.at);
    all
}

#[derive(Debug)]
struct Generator<'a> {
    scenario: &'a Scenario,
    seed: u64,
    rng: Pcg64,
    n_requests: u64,
    sessions: HashMap<(account::Id, kind::Id), u64>,
}

impl<'a> Generator<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let rng = Pcg64::seed_from_u64(seed ^ PROMPT_SEED_MASK);
        Self { scenario, seed, rng, n_requests: 0, sessions: HashMap::new() }
    }

    fn request(&mut self, arrival: &schedule::Arrival) -> Request {
        let accounts = self.scenario.accounts.iter().map(|(id, it)| (id, it.weight));
        let account = weighted_choice(accounts, self.rng.random()).clone();
        let kinds = self.scenario.kinds.iter().map(|(id, it)| (id, it.weight));
        let kind = weighted_choice(kinds, self.rng.random()).clone();
        let spec = &self.scenario.kinds[&kind];
        let (seed, n) = (self.seed, self.n_requests);
        self.n_requests += 1;
        Request {
            id: format!("load-{seed}-{n}"),
            at: arrival.at,
            phase: arrival.phase,
            session: spec.session_length.map(|it| self.session(&account, &kind, it)),
            text: self.prompt_text(&kind, spec.words),
            account,
            kind,
        }
    }

    fn session(&mut self, account: &account::Id, kind: &kind::Id, length: u64) -> String {
        let n = self.sessions.entry((account.clone(), kind.clone())).or_default();
        let session = *n / length.max(1);
        *n += 1;
        format!("{account}-{kind}-{}-{session}", self.seed)
    }

    fn prompt_text(&mut self, kind: &kind::Id, n_words: usize) -> String {
        // The number makes each prompt, and therefore its difficulty, unique.
        let mut text = format!("{kind} {}-{}", self.seed, self.n_requests);
        for _ in 2..n_words {
            text.push(' ');
            text.push_str(VOCABULARY[self.rng.random_range(0..VOCABULARY.len())]);
        }
        text
    }
}

fn repeated_requests(scenario: &Scenario, seed: u64) -> impl Iterator<Item = Request> {
    scenario.repeats.iter().enumerate().flat_map(move |(index, repeat)| {
        (0..repeat.times).map(move |n| Request {
            id: format!("repeat-{seed}-{index}-{n}"),
            at: repeat.at + repeat.every * n,
            phase: 0,
            account: repeat.account.clone(),
            kind: repeat.kind.clone(),
            session: None,
            text: repeat.text.clone(),
        })
    })
}

/// Selects an item by weight; `draw` is a random number from 0 to 1.
fn weighted_choice<'a, T>(choices: impl Iterator<Item = (&'a T, f64)> + Clone, draw: f64) -> &'a T {
    let mut remaining = draw * choices.clone().map(|(_, weight)| weight).sum::<f64>();
    let mut last = None;
    for (choice, weight) in choices {
        if remaining < weight {
            return choice;
        }
        remaining -= weight;
        last = Some(choice);
    }
    // Rounding can leave a small remainder after the last weight.
    last.expect("a validated scenario has accounts and kinds")
}
