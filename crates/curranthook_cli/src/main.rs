//! The `curranthook` executable.

use std::{env, io, net::SocketAddr, process::ExitCode, sync::Arc};

use anyhow::Context as _;
use clap::Parser;
use curranthook_cli::{
    Context, Error, Platform, Terminal, args::Cli, exit::Code, output::Format, run,
};
use curranthook_http::{client::Pool, runtime};
use curranthook_platform::client::Client;
use curranthook_types::{Clock, clock};

/// Environment variable for the platform's address, used when `--platform` is not given.
const PLATFORM_VARIABLE: &str = "CURRANTHOOK_PLATFORM";
/// Environment variable for the operator's name, used when `--by` is not given.
const USER_VARIABLE: &str = "USER";
/// Number of worker threads of the async runtime.
const RUNTIME_THREADS: usize = 2;

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => {
            // clap exits with 2 on a usage error, but here 2 means that the files have errors.
            let code = if e.use_stderr() { Code::Other } else { Code::Ok };
            let _closed = e.print();
            return code.into();
        }
    };
    let result = runtime::run(RUNTIME_THREADS, |executor| execute(cli, executor));
    result.unwrap_or_else(|e| {
        eprintln!("error: {e:#}");
        Code::Other.into()
    })
}

async fn execute(cli: Cli, executor: runtime::Handle) -> anyhow::Result<ExitCode> {
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let pool = Arc::new(Pool::new(Arc::clone(&executor), Arc::clone(&clock)));
    let platform = platform_addr(cli.platform)?.map(|addr| {
        let client = Arc::new(Client::new(addr, Arc::clone(&pool)));
        Platform { table: Arc::clone(&client) as _, objects: client }
    });
    let operator = cli.by.or_else(|| env::var(USER_VARIABLE).ok()).unwrap_or_default();
    let ctx = Context { platform, ..Context::new(clock, &operator) };
    let (mut input, mut output) = (io::stdin(), io::stdout());
    let mut terminal = Terminal { input: &mut input, output: &mut output, format: cli.output };
    let result = run(&cli.command, &ctx, (&executor, &pool), &mut terminal).await;
    Ok(result.err().map_or(Code::Ok, |e| print_error(&e, cli.output)).into())
}

fn platform_addr(from_flag: Option<SocketAddr>) -> anyhow::Result<Option<SocketAddr>> {
    if from_flag.is_some() {
        return Ok(from_flag);
    }
    let Ok(text) = env::var(PLATFORM_VARIABLE) else { return Ok(None) };
    let addr = text.parse().with_context(|| format!("{PLATFORM_VARIABLE} isn't IP:port"))?;
    Ok(Some(addr))
}

fn print_error(e: &Error, format: Format) -> Code {
    match format {
        Format::Table => eprintln!("{e}"),
        Format::Json => eprintln!("{:#}", e.to_json()),
    }
    e.code()
}
