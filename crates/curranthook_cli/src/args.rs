//! What can be typed.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::{Args, Parser, Subcommand};

use crate::{exit, output::Format};

/// Operates curranthook: checks and publishes configurations, rolls versions out and withdraws
/// them, and reads status and bills.
#[derive(Debug, Parser)]
#[command(name = "curranthook", version, after_help = exit::HELP)]
pub struct Cli {
    /// The platform's table and object store [env: CURRANTHOOK_PLATFORM].
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Your name, for the published document [env: USER].
    #[arg(long, global = true, value_name = "NAME")]
    pub by: Option<String>,
    /// How to print results.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check files and print the merged configuration, or every error at once.
    #[command(after_help = "Example:
  curranthook check base.yaml --overlay vn-south.yaml")]
    Check(Files),
    /// Show what publishing files would change.
    #[command(after_help = "Example:
  curranthook diff base.yaml --overlay vn-south.yaml")]
    Diff(Files),
    /// Publish files. Sites without an overlay here stay as they are, and so do withdrawals,
    /// drains and roll-outs.
    #[command(after_help = "Examples:
  curranthook publish base.yaml --overlay vn-south.yaml
  curranthook publish base.yaml --overlay vn-south.yaml --expect 17")]
    Publish(Publish),
    /// Replace a version by another, stage by stage.
    #[command(after_help = "Example:
  curranthook rollout start --from tally-llm@1 --to tally-llm@2 --stages 0.01,0.1,0.5,1")]
    Rollout {
        /// What to do.
        #[command(subcommand)]
        action: Rollout,
    },
    /// Keep a version away from all new work, at every site. A roll-out to it is aborted.
    #[command(after_help = "Example:
  curranthook withdraw tally-llm@2")]
    Withdraw(Version),
    /// Allow a withdrawn version again.
    #[command(after_help = "Example:
  curranthook reinstate tally-llm@2")]
    Reinstate(Version),
    /// Give an endpoint no new work.
    #[command(after_help = "Example:
  curranthook drain tally-llm-07")]
    Drain(Endpoint),
    /// Give a drained endpoint work again.
    #[command(after_help = "Example:
  curranthook undrain tally-llm-07")]
    Undrain(Endpoint),
    /// List client accounts, or hash a new key for one.
    #[command(after_help = "Examples:
  curranthook accounts
  curranthook accounts hash-key < key.txt")]
    Accounts {
        /// What to do; lists the accounts if left out.
        #[command(subcommand)]
        action: Option<Accounts>,
    },
    /// Ask routers how they are.
    #[command(after_help = "Example:
  curranthook status 10.20.1.1:8443 10.20.2.1:8443")]
    Status {
        /// The routers' addresses.
        #[arg(required = true, value_name = "IP:PORT")]
        routers: Vec<SocketAddr>,
    },
    /// Sum the bills by account and by what gave the answers.
    #[command(after_help = "Examples:
  curranthook bills
  curranthook bills --account yard-can-tho --since 24h")]
    Bills(Bills),
    /// Show what happened to a request, from the logs of the nodes.
    #[command(after_help = "Examples:
  curranthook explain 9c41d07be2a35f68 node-1.log node-2.log
  cat *.log | curranthook explain 9c41d07be2a35f68")]
    Explain {
        /// The request's id.
        request: String,
        /// Log files; standard input if none is given.
        files: Vec<PathBuf>,
    },
    /// Show the epoch in force.
    #[command(after_help = "Example:
  curranthook epoch --output json")]
    Epoch,
}

/// A base file and overlays.
#[derive(Debug, Args)]
pub struct Files {
    /// The base file.
    pub base: PathBuf,
    /// A site's overlay; can be given for several sites.
    #[arg(long = "overlay", value_name = "FILE")]
    pub overlays: Vec<PathBuf>,
}

impl Files {
    /// The overlays' paths.
    ///
    /// ```
    /// # use curranthook_cli::args::Files;
    /// let files = Files { base: "base.yaml".into(), overlays: vec!["south.yaml".into()] };
    /// assert_eq!(files.overlays(), [std::path::Path::new("south.yaml")]);
    /// ```
    pub fn overlays(&self) -> Vec<&Path> {
        self.overlays.iter().map(PathBuf::as_path).collect()
    }
}

/// Files to publish.
#[derive(Debug, Args)]
pub struct Publish {
    /// The files.
    #[command(flatten)]
    pub files: Files,
    /// Publish only if this epoch is in force; 0 if nothing is published yet.
    #[arg(long, value_name = "EPOCH")]
    pub expect: Option<u64>,
}

/// What to do with roll-outs.
#[derive(Debug, Subcommand)]
pub enum Rollout {
    /// Begin at the first stage.
    #[command(after_help = "Example:
  curranthook rollout start --from tally-llm@1 --to tally-llm@2 --stages 0.01,0.1,0.5,1")]
    Start {
        /// The version that is replaced.
        #[arg(long, value_name = "VERSION")]
        from: String,
        /// The version that replaces it.
        #[arg(long, value_name = "VERSION")]
        to: String,
        /// The shares of new sessions, rising up to 1.
        #[arg(
            long,
            value_name = "SHARES",
            value_delimiter = ',',
            default_value = "0.01,0.1,0.5,1"
        )]
        stages: Vec<f64>,
    },
    /// Hold a roll-out at its stage.
    #[command(after_help = "Example:
  curranthook rollout pause tally-llm")]
    Pause(Model),
    /// Let a held roll-out go on.
    #[command(after_help = "Example:
  curranthook rollout resume tally-llm")]
    Resume(Model),
    /// Give a roll-out up; the old version gets everything.
    #[command(after_help = "Example:
  curranthook rollout abort tally-llm")]
    Abort(Model),
    /// List the roll-outs.
    #[command(after_help = "Example:
  curranthook rollout status")]
    Status,
}

/// What to do with accounts.
#[derive(Debug, Subcommand)]
pub enum Accounts {
    /// Read a key on standard input and print the hash that goes into the base file.
    #[command(after_help = "Example:
  curranthook accounts hash-key < key.txt")]
    HashKey,
}

/// A model.
#[derive(Debug, Args)]
pub struct Model {
    /// The model's name, the part of a version before `@`.
    pub model: String,
}

/// A version.
#[derive(Debug, Args)]
pub struct Version {
    /// The version, written `model@version`.
    pub version: String,
}

/// An endpoint.
#[derive(Debug, Args)]
pub struct Endpoint {
    /// The endpoint's id.
    pub endpoint: String,
}

/// Which bill lines to sum.
#[derive(Debug, Default, Args)]
pub struct Bills {
    /// Only this account.
    #[arg(long, value_name = "ACCOUNT")]
    pub account: Option<String>,
    /// Only answers younger than this, such as 90s, 30m, 24h or 7d.
    #[arg(long, value_name = "AGE", value_parser = parse_age)]
    pub since: Option<Duration>,
}

/// Reads an age such as `24h`.
///
/// ```
/// # use curranthook_cli::args::parse_age;
/// assert_eq!(parse_age("2h").unwrap().as_secs(), 7_200);
/// assert!(parse_age("yesterday").is_err());
/// ```
pub fn parse_age(text: &str) -> Result<Duration, String> {
    const UNITS: [(char, u64); 4] = [('s', 1), ('m', 60), ('h', 3_600), ('d', 86_400)];
    let unit = UNITS.iter().find_map(|(unit, secs)| Some((text.strip_suffix(*unit)?, secs)));
    let parsed = unit.and_then(|(n, secs)| n.parse::<u64>().ok()?.checked_mul(*secs));
    parsed
        .map(Duration::from_secs)
        .ok_or_else(|| "a number and one of s, m, h, d, such as 24h".to_owned())
}
