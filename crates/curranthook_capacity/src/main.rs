//! `curranthook-capacity`: measures the resource usage of a node and prints tables.

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

/// Measures the resource usage of a node, with real processes on this machine.
///
/// Example: curranthook-capacity --quick fleet spread
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Measurements to run; all if omitted.
    #[arg(value_enum)]
    measures: Vec<Measure>,
    /// Short run as a smoke test; the figures are rough.
    #[arg(long)]
    quick: bool,
    /// Directory of the executables; that of this program if not set.
    #[arg(long)]
    bin_dir: Option<PathBuf>,
    /// Directory for the tables as JSON, one file per measurement.
    #[arg(long)]
    json_dir: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Measure {
    /// CPU time, memory and traffic of a node, by fleet size.
    Fleet,
    /// Time from a publication until every node has it.
    Spread,
    /// Propagation time with and without each propagation mechanism.
    Parts,
    /// Cost of a configuration change and memory of a router, by configuration size.
    Tables,
    /// Cost for one node of the version-health evidence from all nodes.
    Evidence,
    /// Requests, tokens and open streams.
    Data,
    /// Time to first token added by a router.
    Latency,
    /// Calls to the platform by routers and stewards.
    Platform,
    /// Bill lines, with the object store up and down.
    Journal,
    /// Nodes that join, leave and fail together.
    Churn,
}

impl Measure {
    async fn run(self, bench: &Bench) -> anyhow::Result<Vec<Table>> {
        match self {
            Self::Fleet => measure::fleet::run(bench).await,
            Self::Spread => measure::spread::run(bench).await,
            Self::Parts => measure::spread::compare_variants(bench).await,
            Self::Tables => measure::tables::run(bench).await,
            Self::Evidence => measure::evidence::run(bench).await,
            Self::Data => measure::data::run(bench).await,
            Self::Latency => measure::data::run_latency(bench).await,
            Self::Platform => measure::platform::run(bench).await,
            Self::Journal => measure::journal::run(bench).await,
            Self::Churn => measure::churn::run(bench).await,
        }
    }
}

fn main() -> anyhow::Result<()> {
    /// Runtime worker threads.
    const N_THREADS: usize = 4;
    let args = Args::parse();
    runtime::run(N_THREADS, |executor| run(executor, args))
}

async fn run(executor: runtime::Handle, args: Args) -> anyhow::Result<()> {
    let executable = std::env::current_exe()?;
    let own_dir = executable
        .parent()
        .context("the path of the executable has no parent directory")?
        .to_owned();
    let work_dir = tempfile::tempdir()?;
    let bench = Bench {
        pool: Arc::new(Pool::new(Arc::clone(&executor), Arc::new(clock::System))),
        executor,
        bin_dir: args.bin_dir.unwrap_or(own_dir),
        work_dir: work_dir.path().to_owned(),
        extent: if args.quick { Extent::Quick } else { Extent::Full },
    };
    let all = Measure::value_variants().to_vec();
    let measures = if args.measures.is_empty() { all } else { args.measures };
    for measure in measures {
        let mut tables = measure.run(&bench).await?;
        for table in &mut tables {
            bench.note_load_average(table)?;
            println!("{}", table.to_markdown());
        }
        if let Some(dir) = &args.json_dir {
            write_json(dir, measure, &tables)?;
        }
    }
    Ok(())
}

fn write_json(dir: &Path, measure: Measure, tables: &[Table]) -> anyhow::Result<()> {
    let name = measure
        .to_possible_value()
        .context("the measurement has no command-line name")?
        .get_name()
        .to_owned();
    fs::create_dir_all(dir)?;
    fs::write(dir.join(format!("{name}.json")), serde_json::to_vec_pretty(tables)?)?;
    Ok(())
}
