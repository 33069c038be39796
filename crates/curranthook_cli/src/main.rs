//! The program `curranthook`.

use std::{env, io, net::SocketAddr, process::ExitCode, sync::Arc};

use anyhow::Context as _;
use clap::Parser;
use curranthook_cli::{
    Context, Error, Platform, Terminal, args::Cli, exit::Code, output::Format, run,
};
use curranthook_http::{client::Pool, runtime};
use curranthook_platform::client::Client;
use curranthook_types::{Clock, clock};

const PLATFORM_VARIABLE: &str = "CURRANTHOOK_PLATFORM";
const USER_VARIABLE: &str = "USER";
const THREADS: usize = 2;

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => {
            // The parser's own code for wrong usage, 2, means something else here.
            let code = if e.use_stderr() { Code::Other } else { Code::Ok };
            let _closed = e.print();
            return code.into();
        }
    };
    let result = runtime::run(THREADS, |ex| carry_out(cli, ex));
    result.unwrap_or_else(|e| {
        eprintln!("error: {e:#}");
        Code::Other.into()
    })
}

async fn carry_out(cli: Cli, ex: runtime::Handle) -> anyhow::Result<ExitCode> {
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    let pool = Arc::new(Pool::new(Arc::clone(&ex), Arc::clone(&clock)));
    let platform = platform(cli.platform)?.map(|addr| {
        let client = Arc::new(Client::new(addr, Arc::clone(&pool)));
        Platform { table: Arc::clone(&client) as _, objects: client }
    });
    let by = cli.by.or_else(|| env::var(USER_VARIABLE).ok()).unwrap_or_default();
    let ctx = Context { platform, ..Context::new(clock, &by) };
    let (mut input, mut output) = (io::stdin(), io::stdout());
    let mut terminal = Terminal { input: &mut input, output: &mut output, format: cli.output };
    let result = run(&cli.command, &ctx, (&ex, &pool), &mut terminal).await;
    Ok(result.err().map_or(Code::Ok, |e| report(&e, cli.output)).into())
}

fn platform(given: Option<SocketAddr>) -> anyhow::Result<Option<SocketAddr>> {
    if given.is_some() {
        return Ok(given);
    }
    let Ok(text) = env::var(PLATFORM_VARIABLE) else { return Ok(None) };
    let addr = text.parse().with_context(|| format!("{PLATFORM_VARIABLE} isn't IP:port"))?;
    Ok(Some(addr))
}

fn report(e: &Error, format: Format) -> Code {
    match format {
        Format::Table => eprintln!("{e}"),
        Format::Json => eprintln!("{:#}", e.to_json()),
    }
    e.code()
}
