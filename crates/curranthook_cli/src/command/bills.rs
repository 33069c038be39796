//! The `curranthook bills` subcommand.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, hash_map},
};

use curranthook_platform::Objects;
use curranthook_types::{
    account,
    bill::{Line, Segment},
    price, request,
};
use serde::Serialize;

use crate::{
    Context, Error,
    args::Bills,
    output::{Render, table},
};

/// Key prefix of segments of bill lines in the object store.
const SEGMENT_KEY_PREFIX: &str = "bills/";

/// The bills by account and by the version or service that served the requests.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// One row per account and version or service, sorted by account, then by descending cost.
    pub rows: Vec<Row>,
    /// Number of lines left out of the sums because an earlier line bills the same request.
    pub n_duplicates: usize,
}

/// The requests, tokens and cost of one account at one version or service.
#[derive(Debug, Serialize)]
pub struct Row {
    /// The account that is billed.
    pub account: account::Id,
    /// The model version, or the name of the service under `/services/`, that served the requests.
    pub served_by: String,
    /// Number of requests.
    pub n_requests: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of completion tokens.
    pub completion_tokens: u64,
    /// The total cost.
    pub cost: price::Micros,
}

/// Reads all bill lines from the object store and sums those that match `args`.
///
/// ```
/// # use curranthook_cli::{Context, Error, args, command::bills};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(bills::run(&ctx, &args::Bills::default()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn run(ctx: &Context, args: &Bills) -> Result<Summary, Error> {
    let (lines, n_duplicates) = earliest_lines(ctx.objects()?).await?;
    let max_age_ms = args.since.map_or(u128::MAX, |it| it.as_millis());
    let max_age_ms = u64::try_from(max_age_ms).unwrap_or(u64::MAX);
    let since_millis = ctx.clock.unix_millis().saturating_sub(max_age_ms);
    let selected = lines.into_values().filter(|it| {
        let matches_account =
            args.account.as_deref().is_none_or(|name| name == it.account.as_str());
        matches_account && since_millis <= it.at_millis
    });
    Ok(Summary { rows: sum_rows(selected), n_duplicates })
}

/// Identifies a request. Accounts choose their own request ids, so two accounts may use the same
/// one. With the id alone as the key, one of the two would not be billed.
type RequestKey = (account::Id, request::Id);

/// Returns the earliest line of each request, and the number of other lines.
///
/// A request can have several lines: its router died after a replica had stored the line, and
/// another router served the caller's retry. Summing all of them would bill the request twice.
async fn earliest_lines(
    objects: &dyn Objects,
) -> Result<(HashMap<RequestKey, Line>, usize), Error> {
    let mut lines: HashMap<RequestKey, Line> = HashMap::new();
    let mut n_duplicates = 0;
    for key in objects.list(SEGMENT_KEY_PREFIX).await? {
        for line in read_segment(objects, &key).await?.lines {
            match lines.entry((line.account.clone(), line.request.clone())) {
                hash_map::Entry::Vacant(it) => {
                    it.insert(line);
                }
                hash_map::Entry::Occupied(mut it) => {
                    n_duplicates += 1;
                    if line.at_millis < it.get().at_millis {
                        it.insert(line);
                    }
                }
            }
        }
    }
    Ok((lines, n_duplicates))
}

async fn read_segment(objects: &dyn Objects, key: &str) -> Result<Segment, Error> {
    let unreadable =
        |reason: &str| Error::Segment { key: key.to_owned(), reason: reason.to_owned() };
    let value = objects
        .get(key)
        .await?
        .ok_or_else(|| unreadable("listed, but not found in the object store"))?;
    serde_json::from_slice(&value).map_err(|e| unreadable(&e.to_string()))
}

fn sum_rows(lines: impl Iterator<Item = Line>) -> Vec<Row> {
    let mut row_by_key: BTreeMap<(account::Id, String), Row> = BTreeMap::new();
    for line in lines {
        let key = (line.account.clone(), line.served_by.clone());
        let row = row_by_key.entry(key).or_insert_with(|| Row {
            account: line.account,
            served_by: line.served_by,
            n_requests: 0,
            prompt_tokens: 0,
            completion_tokens: 0,
            cost: price::Micros(0),
        });
        row.n_requests += 1;
        row.prompt_tokens += line.prompt_tokens;
        row.completion_tokens += line.completion_tokens;
        row.cost.0 += line.cost.0;
    }
    let mut rows: Vec<Row> = row_by_key.into_values().collect();
    rows.sort_by_key(|it| (it.account.clone(), Reverse(it.cost)));
    rows
}

impl Render for Summary {
    fn render(&self) -> String {
        let row = |it: &Row| {
            [
                it.account.to_string(),
                it.served_by.clone(),
                it.n_requests.to_string(),
                it.prompt_tokens.to_string(),
                it.completion_tokens.to_string(),
                it.cost.0.to_string(),
            ]
        };
        let header = ["ACCOUNT", "SERVED BY", "REQUESTS", "PROMPT", "COMPLETION", "COST (MICROS)"];
        let total: u64 = self.rows.iter().map(|it| it.cost.0).sum();
        let table = table(header, self.rows.iter().map(row));
        format!("{table}\ntotal {total} micros; {} duplicate lines left out", self.n_duplicates)
    }
}
