//! `curranthook-capacity`: measures what a node costs, and prints tables.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::Context as _;
use clap::{Parser, ValueEnum};
use curranthook_capacity::{
    bench::{Bench, Extent},
    measure,
    report::Table,
};
use curranthook_http::{client::Pool, runtime};
use curranthook_types::clock;

/// Measures what a node costs, with real processes on this machine.
///
/// Example: curranthook-capacity --quick fleet spread
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// What to measure; everything if not said.
    #[arg(value_enum)]
    measures: Vec<Measure>,
    /// A short run, to see that it works.
    #[arg(long)]
    quick: bool,
    /// Where the programs are; beside this one if not set.
    #[arg(long)]
    bin_dir: Option<PathBuf>,
    /// Where the tables go as JSON, one file a measurement.
    #[arg(long)]
    json_dir: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Measure {
    /// A node's processor time, memory and traffic, by the size of the fleet.
    Fleet,
    /// From a publication until every node has it.
    Spread,
    /// The same with and without each part of what brings it there.
    Parts,
    /// A node's tables, by the size of the configuration.
    Tables,
    /// Evidence of all nodes in one node's tables.
    Evidence,
    /// Requests, tokens and open streams.
    Data,
    /// What a router adds to the time to the first token.
    Latency,
    /// Calls to the platform by routers and stewards.
    Platform,
    /// Bill lines, with the store up and down.
    Journal,
    /// Nodes that come, go and are lost together.
    Churn,
}

impl Measure {
    async fn run(self, bench: &Bench) -> anyhow::Result<Vec<Table>> {
        match self {
            Self::Fleet => measure::fleet::run(bench).await,
            Self::Spread => measure::spread::run(bench).await,
            Self::Parts => measure::spread::parts(bench).await,
            Self::Tables => measure::tables::run(bench).await,
            Self::Evidence => measure::evidence::run(bench).await,
            Self::Data => measure::data::run(bench).await,
            Self::Latency => measure::data::latency(bench).await,
            Self::Platform => measure::platform::run(bench).await,
            Self::Journal => measure::journal::run(bench).await,
            Self::Churn => measure::churn::run(bench).await,
        }
    }
}

fn main() -> anyhow::Result<()> {
    const THREADS: usize = 4;
    let args = Args::parse();
    runtime::run(THREADS, |ex| run(ex, args))
}

async fn run(ex: runtime::Handle, args: Args) -> anyhow::Result<()> {
    let own = std::env::current_exe()?;
    let beside = own.parent().context("the program lies in no directory")?.to_owned();
    let work_dir = tempfile::tempdir()?;
    let bench = Bench {
        pool: Arc::new(Pool::new(Arc::clone(&ex), Arc::new(clock::System))),
        ex,
        bin_dir: args.bin_dir.unwrap_or(beside),
        work_dir: work_dir.path().to_owned(),
        extent: if args.quick { Extent::Quick } else { Extent::Full },
    };
    let all = Measure::value_variants().to_vec();
    let measures = if args.measures.is_empty() { all } else { args.measures };
    for measure in measures {
        let mut tables = measure.run(&bench).await?;
        for table in &mut tables {
            bench.note_load(table)?;
            println!("{}", table.to_markdown());
        }
        if let Some(dir) = &args.json_dir {
            write_json(dir, measure, &tables)?;
        }
    }
    Ok(())
}

fn write_json(dir: &Path, measure: Measure, tables: &[Table]) -> anyhow::Result<()> {
    let name = measure.to_possible_value().context("a hidden measurement")?.get_name().to_owned();
    fs::create_dir_all(dir)?;
    fs::write(dir.join(format!("{name}.json")), serde_json::to_vec_pretty(tables)?)?;
    Ok(())
}
