//! `curranthook bills`

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
    output::{Show, table},
};

/// Where the segments of bill lines lie in the object store.
const PREFIX: &str = "bills/";

/// The bills by account and by what gave the answers.
#[derive(Debug, Serialize)]
pub struct Sum {
    /// Ordered by account, the dearest first.
    pub rows: Vec<Row>,
    /// How many lines were left out because their request stands on another line already.
    pub n_duplicates: usize,
}

/// What one account pays for the answers of one version or service.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Who pays.
    pub account: account::Id,
    /// The version or plain service.
    pub served_by: String,
    /// How many requests.
    pub n_requests: u64,
    /// Tokens of the prompts.
    pub prompt_tokens: u64,
    /// Tokens of the answers.
    pub completion_tokens: u64,
    /// What it costs.
    pub cost: price::Micros,
}

/// Sums the bills.
///
/// ```
/// # use curranthook_cli::{Context, Error, args, command::bills};
/// # use curranthook_types::clock;
/// let ctx = Context::new(std::sync::Arc::new(clock::System), "lan");
/// let result = async_io::block_on(bills::run(&ctx, &args::Bills::default()));
/// assert!(matches!(result, Err(Error::NoPlatform)));
/// ```
pub async fn run(ctx: &Context, args: &Bills) -> Result<Sum, Error> {
    let (lines, n_duplicates) = first_lines(ctx.objects()?).await?;
    let age = args.since.map_or(u128::MAX, |it| it.as_millis());
    let age = u64::try_from(age).unwrap_or(u64::MAX);
    let since = ctx.clock.unix_millis().saturating_sub(age);
    let wanted = lines.into_values().filter(|it| {
        let is_account = args.account.as_deref().is_none_or(|name| name == it.account.as_str());
        is_account && since <= it.at_millis
    });
    Ok(Sum { rows: rows(wanted), n_duplicates })
}

/// What names a request. Accounts choose their request ids by themselves, so two of them may
/// use the same one; told apart by the id alone, one of the two would pay nothing.
type Name = (account::Id, request::Id);

/// The first line of each request.
///
/// A request can stand on several lines: its router died after a replica had written the line
/// down, and the caller's next attempt was answered by another router. Were each of them
/// summed, the request would be billed twice.
async fn first_lines(objects: &dyn Objects) -> Result<(HashMap<Name, Line>, usize), Error> {
    let mut lines: HashMap<Name, Line> = HashMap::new();
    let mut n_duplicates = 0;
    for key in objects.list(PREFIX).await? {
        for line in segment(objects, &key).await?.lines {
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

async fn segment(objects: &dyn Objects, key: &str) -> Result<Segment, Error> {
    let unreadable = |why: &str| Error::Segment { key: key.to_owned(), why: why.to_owned() };
    let value = objects.get(key).await?.ok_or_else(|| unreadable("it's listed but not there"))?;
    serde_json::from_slice(&value).map_err(|e| unreadable(&e.to_string()))
}

fn rows(lines: impl Iterator<Item = Line>) -> Vec<Row> {
    let mut sums: BTreeMap<(account::Id, String), Row> = BTreeMap::new();
    for line in lines {
        let key = (line.account.clone(), line.served_by.clone());
        let row = sums.entry(key).or_insert_with(|| Row {
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
    let mut rows: Vec<Row> = sums.into_values().collect();
    rows.sort_by_key(|it| (it.account.clone(), Reverse(it.cost)));
    rows
}

impl Show for Sum {
    fn show(&self) -> String {
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
        let heading = ["ACCOUNT", "SERVED BY", "REQUESTS", "PROMPT", "COMPLETION", "COST (MICROS)"];
        let total: u64 = self.rows.iter().map(|it| it.cost.0).sum();
        let table = table(heading, self.rows.iter().map(row));
        format!("{table}\ntotal {total} micros; {} duplicate lines left out", self.n_duplicates)
    }
}
