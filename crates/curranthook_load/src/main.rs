//! `curranthook-load`: runs scenarios, loads single addresses, and compares reports.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::Context as _;
use clap::{Args, Parser, Subcommand};
use curranthook_http::runtime;
use curranthook_load::{
    direct,
    fleet::Topology,
    plot,
    report::Report,
    run::{self, Options},
    scenario::Scenario,
    streams, table,
};
use curranthook_types::version;

/// Load generator and experiment runner.
#[derive(Debug, Parser)]
#[command(name = "curranthook-load", version)]
struct Cli {
    /// Number of threads of the load tool itself.
    #[arg(long, global = true, default_value_t = 2)]
    threads: usize,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario on real processes.
    ///
    /// Example: curranthook-load run scenarios/mekong.yaml --policy ours --seed 1 --out r.json
    Run(RunArgs),
    /// Start a scenario's processes without sending requests, and print where they listen.
    ///
    /// Example: curranthook-load hold scenarios/overhead.yaml --seconds 60
    Hold(HoldArgs),
    /// Check scenario files without running them.
    ///
    /// Example: curranthook-load check scenarios/*.yaml
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Load one address; open-loop by default.
    ///
    /// Example: curranthook-load direct --target 127.0.0.1:8080 --rate 1000 --seconds 10
    Direct(DirectArgs),
    /// Keep many streams open at one address.
    ///
    /// Example: curranthook-load streams --target 127.0.0.1:8080 --open 5000 --pid 4711
    Streams(StreamsArgs),
    /// Print reports side by side.
    ///
    /// Example: curranthook-load compare ours.json best.json
    Compare {
        /// Report files.
        #[arg(required = true)]
        reports: Vec<PathBuf>,
    },
    /// Write a table and plots of many reports.
    ///
    /// Example: curranthook-load report reports/*.json --out-dir docs/figures
    Report {
        /// Report files.
        #[arg(required = true)]
        reports: Vec<PathBuf>,
        /// Directory for the table and the plots.
        #[arg(long)]
        out_dir: PathBuf,
    },
}

#[derive(Debug, Args)]
struct FleetArgs {
    /// Scenario file.
    scenario: PathBuf,
    /// Policy of the routers.
    #[arg(long, default_value = "ours")]
    policy: String,
    /// Start no routers; callers request this version directly from the engines.
    #[arg(long, conflicts_with = "policy", value_name = "VERSION")]
    direct: Option<String>,
    /// Directory of the programs; defaults to the directory of this executable.
    #[arg(long)]
    bin_dir: Option<PathBuf>,
    /// Directory for logs and settings files; defaults to one that is deleted after the run.
    #[arg(long)]
    work_dir: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct RunArgs {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to write the report to.
    #[arg(long)]
    out: PathBuf,
}

#[derive(Debug, Args)]
struct HoldArgs {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Duration in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
}

#[derive(Debug, Args)]
struct TemplateArgs {
    /// API key.
    #[arg(long, default_value = "key-load")]
    key: String,
    /// Model or version to request.
    #[arg(long, default_value = "auto")]
    model: String,
    /// Kind of work.
    #[arg(long, default_value = "summary")]
    kind: String,
    /// Prompt text.
    #[arg(long, default_value = "How much did the herd weigh?")]
    prompt: String,
}

#[derive(Debug, Args)]
struct DirectArgs {
    /// Address that receives the calls.
    #[arg(long)]
    target: SocketAddr,
    /// Calls per second.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Number of connections.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Request streamed responses.
    #[arg(long)]
    stream: bool,
    /// Closed loop: send as soon as a connection is free, instead of at a fixed rate.
    #[arg(long)]
    closed: bool,
    /// Seed of the arrival times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    template: TemplateArgs,
}

#[derive(Debug, Args)]
struct StreamsArgs {
    /// Address that receives the requests.
    #[arg(long)]
    target: SocketAddr,
    /// Number of streams.
    #[arg(long)]
    open: usize,
    /// Streams to open per second.
    #[arg(long, default_value_t = 1_000.0)]
    rate: f64,
    /// Seconds to keep the streams open after all have begun.
    #[arg(long, default_value_t = 2.0)]
    hold_seconds: f64,
    /// Process ID to read the memory of while all streams are open.
    #[arg(long)]
    pid: Option<u32>,
    #[command(flatten)]
    template: TemplateArgs,
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    match cli.command {
        Command::Run(args) => run_scenario(cli.threads, args),
        Command::Hold(args) => hold_fleet(cli.threads, args),
        Command::Check { scenarios } => check(&scenarios),
        Command::Direct(args) => run_direct(cli.threads, &args),
        Command::Streams(args) => run_streams(cli.threads, &args),
        Command::Compare { reports } => {
            print!("{}", table::markdown(&read_reports(&reports)?));
            Ok(())
        }
        Command::Report { reports, out_dir } => write_report(&read_reports(&reports)?, &out_dir),
    }
}

fn run_scenario(threads: usize, args: RunArgs) -> anyhow::Result<()> {
    let temp_dir = tempfile::tempdir()?;
    let options = options(args.fleet, args.seed, temp_dir.path())?;
    let report = runtime::run(threads, |ex| async move { run::run(&ex, options).await })?;
    fs::write(&args.out, serde_json::to_vec_pretty(&report)?)
        .with_context(|| format!("can't write {}", args.out.display()))?;
    print!("{}", table::markdown(&[report]));
    Ok(())
}

fn hold_fleet(threads: usize, args: HoldArgs) -> anyhow::Result<()> {
    let temp_dir = tempfile::tempdir()?;
    let options = options(args.fleet, 0, temp_dir.path())?;
    let duration = Duration::try_from_secs_f64(args.seconds)?;
    let print = |running: &_| println!("{}", serde_json::json!(running));
    runtime::run(
        threads,
        |ex| async move { run::keep_running(&ex, options, duration, print).await },
    )
}

fn options(args: FleetArgs, seed: u64, temp_dir: &Path) -> anyhow::Result<Options> {
    let scenario = load_scenario(&args.scenario)?;
    let work_dir = args.work_dir.unwrap_or_else(|| temp_dir.to_owned());
    fs::create_dir_all(&work_dir)?;
    let bin_dir = args.bin_dir.map_or_else(executable_dir, Ok)?;
    let topology = match args.direct {
        Some(version) => Topology::Direct(version::Id::new(version)),
        None => Topology::Routers(args.policy),
    };
    Ok(Options { scenario, topology, seed, bin_dir, work_dir })
}

fn executable_dir() -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    Ok(executable.parent().context("the executable has no parent directory")?.to_owned())
}

fn check(files: &[PathBuf]) -> anyhow::Result<()> {
    for file in files {
        let scenario = load_scenario(file)?;
        println!("{}: {} s, sound", scenario.name, scenario.duration().as_secs_f64());
    }
    Ok(())
}

fn load_scenario(file: &Path) -> anyhow::Result<Scenario> {
    Scenario::load(file).with_context(|| file.display().to_string())
}

fn run_direct(threads: usize, args: &DirectArgs) -> anyhow::Result<()> {
    let mode = if args.closed { direct::Mode::Closed } else { direct::Mode::Open(args.rate) };
    let load = direct::Load {
        target: args.target,
        mode,
        duration: Duration::try_from_secs_f64(args.seconds)?,
        n_connections: args.connections,
        template: direct::Template { stream: args.stream, ..template_from(&args.template) },
        seed: args.seed,
    };
    let outcomes = runtime::run(threads, |ex| async move { direct::run(&ex, load).await });
    println!("{}", serde_json::to_string_pretty(&outcomes)?);
    Ok(())
}

fn run_streams(threads: usize, args: &StreamsArgs) -> anyhow::Result<()> {
    let load = streams::Load {
        target: args.target,
        n_streams: args.open,
        rate: args.rate,
        hold_duration: Duration::try_from_secs_f64(args.hold_seconds)?,
        template: template_from(&args.template),
        pid: args.pid,
    };
    let outcomes = runtime::run(threads, |ex| async move { streams::run(&ex, load).await });
    println!("{}", serde_json::to_string_pretty(&outcomes)?);
    Ok(())
}

fn template_from(args: &TemplateArgs) -> direct::Template {
    direct::Template {
        key: args.key.clone(),
        model: args.model.clone(),
        kind: args.kind.clone(),
        text: args.prompt.clone(),
        stream: true,
    }
}

fn read_reports(files: &[PathBuf]) -> anyhow::Result<Vec<Report>> {
    let read = |file: &PathBuf| {
        let text = fs::read(file).with_context(|| file.display().to_string())?;
        serde_json::from_slice(&text).with_context(|| file.display().to_string())
    };
    files.iter().map(read).collect()
}

fn write_report(reports: &[Report], out_dir: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(out_dir)?;
    let file = out_dir.join("table.md");
    fs::write(&file, table::markdown(reports))?;
    println!("{}", file.display());
    for file in plot::write(reports, out_dir)? {
        println!("{}", file.display());
    }
    Ok(())
}
