//! Every request: sent, answered, run, billed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use curranthook_standin::{
    engine::{
        answer,
        profile::{self, Profile},
        record::{Outcome, Run},
    },
    service,
};
use curranthook_tests::{
    Site,
    bills::{self, Bills},
    call::Answer,
    eventually,
};
use curranthook_types::{header, refusal};

use super::{
    driver::Trace,
    load::{Ask, Entry, MAX_TOKENS},
    plan::{ENGINES, SERVICES, WITHDRAWN},
};

/// A withdrawn version may get work for this long once every router can know.
const FEW_SECONDS_MILLIS: u64 = 7_000;
/// How long the last bill lines may take: replicas wait for silent owners.
const BILL_LIMIT: Duration = Duration::from_secs(60);
/// Fewer whole answers than this would prove nothing.
const ENOUGH: usize = 100;

/// What was recorded on all sides.
pub struct Ledger {
    entries: Vec<Entry>,
    runs: Vec<Run>,
    calls: Vec<service::Call>,
    trace: Trace,
    faults: Vec<String>,
}

impl Ledger {
    /// Reads what endpoints recorded.
    pub async fn new(site: &Site, entries: Vec<Entry>, trace: Trace) -> anyhow::Result<Self> {
        let (mut runs, mut calls) = (Vec::new(), Vec::new());
        for id in ENGINES {
            runs.extend(site.engine(id).runs().await?);
        }
        for id in SERVICES {
            calls.extend(site.service(id).calls().await?);
        }
        runs.retain(|it| it.outcome != Outcome::Refused);
        Ok(Self { entries, runs, calls, trace, faults: Vec::new() })
    }

    /// Checks everything and returns what is wrong.
    pub async fn check(mut self, site: &Site) -> anyhow::Result<Vec<String>> {
        self.check_answers();
        self.check_refusals();
        self.check_postings();
        self.check_withdrawal();
        self.check_bills(site).await?;
        Ok(self.faults)
    }

    /// The numbers of requests, whole answers, refusals and answers that never came.
    pub fn summary(&self) -> String {
        let n = |of: fn(&&Entry) -> bool| self.entries.iter().filter(of).count();
        format!(
            "{} sent, {} whole, {} refused, {} without an answer; {} runs, {} calls",
            self.entries.len(),
            n(|it| is_whole(it)),
            n(|it| it.answer.as_ref().is_some_and(|it| it.refusal().is_some())),
            n(|it| it.answer.is_none()),
            self.runs.len(),
            self.calls.len(),
        )
    }

    fn check_answers(&mut self) {
        let whole: Vec<_> = self.entries.iter().filter(|it| is_whole(it)).collect();
        if whole.len() < ENOUGH {
            self.faults.push(format!("only {} whole answers", whole.len()));
        }
        let wrong = whole.iter().filter_map(|entry| {
            let answer = entry.answer.as_ref()?;
            let why = wrong(entry, answer)?;
            Some(format!("{}: {why}: {answer:?}", entry.id))
        });
        let wrong: Vec<_> = wrong.collect();
        self.faults.extend(wrong);
    }

    /// "Not run" is true: nothing ran under the request's id.
    fn check_refusals(&mut self) {
        let ran: BTreeSet<_> = self.runs.iter().map(|it| it.request_id.as_str()).collect();
        let called: BTreeSet<_> = self.calls.iter().map(|it| it.request_id.as_str()).collect();
        let lies = self.entries.iter().filter(|entry| {
            let refusal = entry.answer.as_ref().and_then(Answer::refusal);
            let says_not = refusal.is_some_and(|it| it.not_run == refusal::Run::Not);
            says_not && (ran.contains(entry.id.as_str()) || called.contains(entry.id.as_str()))
        });
        let lies: Vec<_> = lies.map(|it| format!("it ran: {it:?}")).collect();
        self.faults.extend(lies);
    }

    fn check_postings(&mut self) {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        let posted = self.calls.iter().filter(|it| it.method == "POST");
        posted.for_each(|it| *runs.entry(it.body.as_str()).or_default() += 1);
        let twice: Vec<_> = runs.iter().filter(|(_, n)| 1 < **n).map(|(key, _)| *key).collect();
        if !twice.is_empty() {
            self.faults.push(format!("postings that ran more than once: {twice:?}"));
        }
    }

    fn check_withdrawal(&mut self) {
        let Some(withdrawn) = self.trace.withdrawn_millis else { return };
        let mut known = withdrawn;
        // A router that news can't reach can't know; the time counts from when it can.
        for (from, until) in &self.trace.cut_off {
            if *from < known + FEW_SECONDS_MILLIS && known < *until {
                known = *until;
            }
        }
        let late =
            |it: &&Run| it.version == WITHDRAWN && known + FEW_SECONDS_MILLIS < it.started_millis;
        let late: Vec<_> = self.runs.iter().filter(late).map(|it| format!("{it:?}")).collect();
        if !late.is_empty() {
            self.faults.push(format!("withdrawn at {withdrawn}, known at {known}: {late:?}"));
        }
    }

    /// Each whole answer has one effective line, and each line belongs to something that ran.
    async fn check_bills(&mut self, site: &Site) -> anyhow::Result<()> {
        let is_billed = |it: &&Entry| {
            let replayed = it.answer.as_ref().and_then(|it| it.header(header::REPLAYED));
            is_whole(it) && replayed.is_none()
        };
        let whole: Vec<_> = self.entries.iter().filter(is_billed).map(|it| it.id.clone()).collect();
        let all = eventually(BILL_LIMIT, async || Ok(Bills::read(site).await?.have_all(&whole)));
        let _checked_below = all.await;
        let bills = Bills::read(site).await?;
        let missing = bills.missing(&whole);
        if !missing.is_empty() {
            self.faults.push(format!("whole answers without a line: {missing:?}"));
        }
        if !bills.contradictory().is_empty() {
            self.faults.push(format!("lines that differ: {:?}", bills.contradictory()));
        }
        let ran = self.runs.iter().map(|it| &it.request_id);
        let ran: BTreeSet<_> = ran.chain(self.calls.iter().map(|it| &it.request_id)).collect();
        let for_nothing: Vec<_> = bills.requests().filter(|it| !ran.contains(it)).collect();
        if !for_nothing.is_empty() {
            self.faults.push(format!("lines of requests that never ran: {for_nothing:?}"));
        }
        let (n_lines, sum) = (bills.requests().count() as u64, bills::sum(site).await?);
        let n_summed: u64 = sum.rows.iter().map(|it| it.n_requests).sum();
        // A router may store more lines between the two reads, but none can vanish.
        if n_summed < n_lines {
            self.faults.push(format!("{n_lines} requests have lines, {n_summed} are summed"));
        }
        Ok(())
    }
}

fn is_whole(entry: &Entry) -> bool {
    entry.answer.as_ref().is_some_and(|answer| match entry.ask {
        Ask::Chat(_) => answer.is_whole(),
        Ask::Get | Ask::Post(_) => answer.status == 200 && answer.broken.is_none(),
    })
}

/// What is wrong with a whole answer, if anything.
fn wrong(entry: &Entry, answer: &Answer) -> Option<String> {
    match &entry.ask {
        Ask::Chat(prompt) => wrong_chat(&entry.id, prompt, answer),
        Ask::Get | Ask::Post(_) => {
            let own = answer.json().ok()?["id"].as_str()?.to_owned();
            // A replay carries the id under which the posting ran.
            let is_ours = match &entry.ask {
                Ask::Post(key) => own.starts_with(key.as_str()),
                _ => own == entry.id,
            };
            (!is_ours).then(|| format!("the answer is {own}'s"))
        }
    }
}

fn wrong_chat(id: &str, prompt: &str, answer: &Answer) -> Option<String> {
    let pieces = answer.pieces();
    let version = pieces.first()?.model.clone();
    if pieces.iter().any(|it| it.id != id) {
        return Some("another request's id".to_owned());
    }
    if pieces.iter().any(|it| it.model != version)
        || answer.header(header::VERSION) != Some(version.as_str())
    {
        return Some("two versions".to_owned());
    }
    let profile::Version { quality, tokens, .. } = Profile::default().default;
    let is_good = answer::difficulty(prompt) < quality;
    let expected = answer::Answer::new(id, &version, is_good, tokens, Some(MAX_TOKENS)).text(0);
    (answer.text() != expected).then(|| format!("the text isn't {expected:?}"))
}
