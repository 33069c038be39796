//! An accepted configuration is in force everywhere within seconds and never reverts.

#[path = "accepted_configuration/operators.rs"]
mod operators;
#[path = "accepted_configuration/stewards.rs"]
mod stewards;

use std::time::{Duration, Instant};

use async_io::Timer;
use curranthook_standin::{platform::fault, proxy::link::Mode};
use curranthook_tests::{Site, run};
use yare::parameterized;

/// Within this time an accepted configuration is in force everywhere.
const PROMISE: Duration = Duration::from_secs(7);

fn down() -> fault::Fault {
    fault::Fault { mode: fault::Mode::Down, ..fault::Fault::default() }
}

/// Part of the network fails while an operator publishes: all nodes but one lose the platform,
/// or all lose each other, and connections break or just go silent. A caller of a node that
/// lags would still be served by what the operator has taken away.
#[parameterized(
    platform_cut = { Mode::Cut, Mode::Pass },
    platform_silent = { Mode::SilenceAll, Mode::Pass },
    peers_cut = { Mode::Pass, Mode::Cut },
    peers_silent = { Mode::Pass, Mode::SilenceAll },
)]
fn a_publication_is_in_force_everywhere_in_time(platform: Mode, peers: Mode) -> anyhow::Result<()> {
    const VMS: [&str; 4] = ["r1", "r2", "r3", "r4"];
    run(async {
        let site =
            Site::builder().engine("e1", &["m@1", "m@2"]).routers(4).behind_proxy().start().await?;
        site.wait_peers().await?;
        site.set_peers(peers).await?;
        for vm in &VMS[1..] {
            site.proxy().set_mode(&format!("platform/{vm}"), platform).await?;
        }
        for version in ["m@1", "m@2"] {
            let epoch = site.withdraw(version).await?.epoch;
            let start = Instant::now();
            site.wait_epoch(&VMS, epoch).await?;
            let took = start.elapsed();
            assert!(took <= PROMISE, "{version}: {took:?}");
        }
        Ok(())
    })
}

/// A node was frozen with an old configuration and wakes in an outage of the platform, another
/// one starts anew in it. Nobody may take over the old configuration from the one that woke,
/// and it takes the newer one from its peers.
#[test]
fn a_node_that_wakes_with_an_old_configuration_brings_it_to_nobody() -> anyhow::Result<()> {
    /// Time for each node to have spoken with each other one.
    const ROUNDS: Duration = Duration::from_secs(5);
    run(async {
        let mut site = Site::builder().engine("e1", &["m@1"]).routers(3).start().await?;
        site.wait_peers().await?;
        site.router_process("r3").freeze()?;
        let epoch = site.withdraw("m@1").await?.epoch;
        site.wait_epoch(&["r1", "r2"], epoch).await?;
        let faults = fault::Faults { table: down(), vms: down(), ..fault::Faults::default() };
        site.platform.set(&faults).await?;
        site.router_process("r2").kill()?;
        site.router_process("r3").thaw()?;
        site.launch_router("r2").await?;
        site.wait_ready("r2").await?;
        let start = Instant::now();
        while start.elapsed() < ROUNDS {
            for vm in ["r1", "r2"] {
                assert_eq!(site.status(vm).await?.epoch, epoch, "{vm}");
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        site.wait_epoch(&["r3"], epoch).await
    })
}
