//! Command-line arguments.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::{Args, Parser, Subcommand};

use crate::{exit, output::Format};

/// Operates curranthook: checks and publishes configurations, rolls out and withdraws versions,
/// and reads status and bills.
#[derive(Debug, Parser)]
#[command(name = "curranthook", version, after_help = exit::HELP)]
pub struct Cli {
    /// Address of the platform's table service and object store [env: CURRANTHOOK_PLATFORM].
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Operator name, recorded in the published document [env: USER].
    #[arg(long, global = true, value_name = "NAME")]
    pub by: Option<String>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
    /// The subcommand.
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
    /// Publish files. Sites without an overlay on the command line are left unchanged, and so are
    /// withdrawals, drains and rollouts.
    #[command(after_help = "Examples:
  curranthook publish base.yaml --overlay vn-south.yaml
  curranthook publish base.yaml --overlay vn-south.yaml --expect 17")]
    Publish(Publish),
    /// Replace one version with another in stages.
    #[command(after_help = "Example:
  curranthook rollout start --from tally-llm@1 --to tally-llm@2 --stages 0.01,0.1,0.5,1")]
    Rollout {
        /// The rollout operation.
        #[command(subcommand)]
        action: Rollout,
    },
    /// Stop sending new requests to a version, at every site. A rollout to it is aborted.
    #[command(after_help = "Example:
  curranthook withdraw tally-llm@2")]
    Withdraw(Version),
    /// Reinstate a withdrawn version.
    #[command(after_help = "Example:
  curranthook reinstate tally-llm@2")]
    Reinstate(Version),
    /// Stop sending new requests to an endpoint.
    #[command(after_help = "Example:
  curranthook drain tally-llm-07")]
    Drain(Endpoint),
    /// Resume sending requests to a drained endpoint.
    #[command(after_help = "Example:
  curranthook undrain tally-llm-07")]
    Undrain(Endpoint),
    /// List client accounts, or hash a new key for one.
    #[command(after_help = "Examples:
  curranthook accounts
  curranthook accounts hash-key < key.txt")]
    Accounts {
        /// The account operation; lists the accounts if omitted.
        #[command(subcommand)]
        action: Option<Accounts>,
    },
    /// Show the status of routers.
    #[command(after_help = "Example:
  curranthook status 10.20.1.1:8443 10.20.2.1:8443")]
    Status {
        /// The routers' addresses.
        #[arg(required = true, value_name = "IP:PORT")]
        routers: Vec<SocketAddr>,
    },
    /// Sum the bills by account and by the version or service that served the requests.
    #[command(after_help = "Examples:
  curranthook bills
  curranthook bills --account yard-can-tho --since 24h")]
    Bills(Bills),
    /// Show what happened to a request, from node logs.
    #[command(after_help = "Examples:
  curranthook explain 9c41d07be2a35f68 node-1.log node-2.log
  cat *.log | curranthook explain 9c41d07be2a35f68")]
    Explain {
        /// The request's id.
        request: String,
        /// Log files; standard input is read if there are none.
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
    /// A site's overlay file; repeat the option for several sites.
    #[arg(long = "overlay", value_name = "FILE")]
    pub overlays: Vec<PathBuf>,
}

impl Files {
    /// Returns the paths of the overlays.
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

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct Publish {
    /// The files to publish.
    #[command(flatten)]
    pub files: Files,
    /// Publish only if this epoch is in force; 0 if nothing is published yet.
    #[arg(long, value_name = "EPOCH")]
    pub expect: Option<u64>,
}

/// Operations on rollouts.
#[derive(Debug, Subcommand)]
pub enum Rollout {
    /// Start a rollout at its first stage.
    #[command(after_help = "Example:
  curranthook rollout start --from tally-llm@1 --to tally-llm@2 --stages 0.01,0.1,0.5,1")]
    Start {
        /// The version to replace.
        #[arg(long, value_name = "VERSION")]
        from: String,
        /// The replacement version.
        #[arg(long, value_name = "VERSION")]
        to: String,
        /// The share of new sessions that the new version gets at each stage, increasing up to 1.
        #[arg(
            long,
            value_name = "SHARES",
            value_delimiter = ',',
            default_value = "0.01,0.1,0.5,1"
        )]
        stages: Vec<f64>,
    },
    /// Pause a rollout at its current stage.
    #[command(after_help = "Example:
  curranthook rollout pause tally-llm")]
    Pause(Model),
    /// Resume a paused rollout.
    #[command(after_help = "Example:
  curranthook rollout resume tally-llm")]
    Resume(Model),
    /// Abort a rollout; the old version gets all new sessions again.
    #[command(after_help = "Example:
  curranthook rollout abort tally-llm")]
    Abort(Model),
    /// List all rollouts.
    #[command(after_help = "Example:
  curranthook rollout status")]
    Status,
}

/// Operations on accounts.
#[derive(Debug, Subcommand)]
pub enum Accounts {
    /// Read a key from standard input and print the hash that goes into the base file.
    #[command(after_help = "Example:
  curranthook accounts hash-key < key.txt")]
    HashKey,
}

/// The model that an operation applies to.
#[derive(Debug, Args)]
pub struct Model {
    /// The model's name, the part of a version before `@`.
    pub model: String,
}

/// The version that an operation applies to.
#[derive(Debug, Args)]
pub struct Version {
    /// The version, written `model@version`.
    pub version: String,
}

/// The endpoint that an operation applies to.
#[derive(Debug, Args)]
pub struct Endpoint {
    /// The endpoint's id.
    pub endpoint: String,
}

/// Filters for the bill lines to sum.
#[derive(Debug, Default, Args)]
pub struct Bills {
    /// Include only this account.
    #[arg(long, value_name = "ACCOUNT")]
    pub account: Option<String>,
    /// Include only responses more recent than this age, such as 90s, 30m, 24h or 7d.
    #[arg(long, value_name = "AGE", value_parser = parse_age)]
    pub since: Option<Duration>,
}

/// Parses an age such as `24h`.
///
/// ```
/// # use curranthook_cli::args::parse_age;
/// assert_eq!(parse_age("2h").unwrap().as_secs(), 7_200);
/// assert!(parse_age("yesterday").is_err());
/// ```
pub fn parse_age(text: &str) -> Result<Duration, String> {
    /// Unit suffixes with their length in seconds.
    const UNIT_SECS: [(char, u64); 4] = [('s', 1), ('m', 60), ('h', 3_600), ('d', 86_400)];
    let number_and_secs =
        UNIT_SECS.iter().find_map(|(unit, secs)| Some((text.strip_suffix(*unit)?, secs)));
    let parsed = number_and_secs.and_then(|(n, secs)| n.parse::<u64>().ok()?.checked_mul(*secs));
    parsed
        .map(Duration::from_secs)
        .ok_or_else(|| "expected a number and one of s, m, h, d, such as 24h".to_owned())
}
