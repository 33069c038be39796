//! Puts the faults of a plan in force and mends them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use async_io::Timer;
use curranthook_standin::{
    engine::faults,
    fault::Count,
    platform::fault::{self, Faults},
    proxy::link,
    service,
};
use curranthook_tests::Site;
use curranthook_types::{Clock, clock};

use super::plan::{
    ENGINES, EngineFault, Event, Fault, SERVICES, Service, ServiceFault, VMS, WITHDRAWN,
};

/// How much later a slow or lost call of the platform is carried out.
const PLATFORM_DELAY_MILLIS: u64 = 700;

/// What the faults left behind that the ledger has to know.
#[derive(Debug, Default)]
pub struct Trace {
    /// When the withdrawal was published, in milliseconds since 1970.
    pub withdrawn_millis: Option<u64>,
    /// When news could not reach every router, in milliseconds since 1970.
    pub cut_off: Vec<(u64, u64)>,
}

/// Runs a plan to its end.
pub struct Driver<'a> {
    site: &'a mut Site,
    platform: Faults,
    trace: Trace,
}

impl<'a> Driver<'a> {
    pub fn new(site: &'a mut Site) -> Self {
        Self { site, platform: Faults::default(), trace: Trace::default() }
    }

    /// Lets each fault begin and end in its time, then mends everything.
    pub async fn run(mut self, plan: &[Event], time: Duration) -> anyhow::Result<Trace> {
        let start = Instant::now();
        let mut steps: BTreeMap<(Duration, usize), &Event> = BTreeMap::new();
        for (n, event) in plan.iter().enumerate() {
            steps.insert((event.at, 2 * n), event);
            steps.insert((event.until.min(time), 2 * n + 1), event);
        }
        for ((at, n), event) in steps {
            Timer::at(start + at).await;
            if n % 2 == 0 {
                self.begin(event).await?;
            } else {
                self.end(event).await?;
            }
        }
        Timer::at(start + time).await;
        self.mend().await?;
        Ok(self.trace)
    }

    async fn begin(&mut self, event: &Event) -> anyhow::Result<()> {
        match &event.fault {
            Fault::Kill(vm) => self.site.router_process(vm).kill()?,
            Fault::Freeze(vm) => self.site.router_process(vm).freeze()?,
            Fault::Link(name, mode) => _ = self.site.proxy().set_mode(name, *mode).await?,
            Fault::Platform(service, mode) => self.set_platform(*service, *mode).await?,
            Fault::Engine(id, how) => self.site.engine(id).set(&engine_faults(*how)).await?,
            Fault::Service(id, how) => self.site.service(id).set(&service_faults(*how)).await?,
            Fault::Withdraw => self.withdraw().await?,
        }
        if hides_news(&event.fault) {
            let now = clock::System.unix_millis();
            let lasts = (event.until - event.at).as_millis() as u64;
            self.trace.cut_off.push((now, now + lasts));
        }
        Ok(())
    }

    async fn end(&mut self, event: &Event) -> anyhow::Result<()> {
        match &event.fault {
            Fault::Kill(vm) => self.restart(vm).await?,
            Fault::Freeze(vm) => self.site.router_process(vm).thaw()?,
            Fault::Link(name, _) => _ = self.site.proxy().set_mode(name, link::Mode::Pass).await?,
            Fault::Platform(service, _) => self.set_platform(*service, fault::Mode::Up).await?,
            Fault::Engine(id, _) => self.site.engine(id).set(&faults::Faults::default()).await?,
            Fault::Service(id, _) => self.site.service(id).set(&service::Faults::default()).await?,
            Fault::Withdraw => {}
        }
        Ok(())
    }

    async fn restart(&mut self, vm: &str) -> anyhow::Result<()> {
        // Another kill of the same VM may have been mended before this one.
        if self.site.router_process(vm).is_running() {
            return Ok(());
        }
        self.site.launch_router(vm).await
    }

    async fn set_platform(&mut self, service: Service, mode: fault::Mode) -> anyhow::Result<()> {
        let delay_ms = PLATFORM_DELAY_MILLIS;
        let fault = fault::Fault { mode, delay_ms, ..fault::Fault::default() };
        match service {
            Service::Table => self.platform.table = fault,
            Service::Objects => self.platform.objects = fault,
        }
        self.site.platform.set(&self.platform).await
    }

    /// Withdraws a version by compare-and-set. The operator has a working platform for that:
    /// what is proved is what happens once a withdrawal is accepted.
    async fn withdraw(&mut self) -> anyhow::Result<()> {
        self.site.platform.mend().await?;
        self.site.withdraw(WITHDRAWN).await?;
        self.trace.withdrawn_millis = Some(clock::System.unix_millis());
        self.site.platform.set(&self.platform).await
    }

    async fn mend(&mut self) -> anyhow::Result<()> {
        self.site.platform.mend().await?;
        for name in self.site.proxy().links().await?.into_keys() {
            self.site.proxy().set_mode(&name, link::Mode::Pass).await?;
        }
        for id in ENGINES {
            self.site.engine(id).set(&faults::Faults::default()).await?;
        }
        for id in SERVICES {
            self.site.service(id).set(&service::Faults::default()).await?;
        }
        for vm in VMS {
            self.site.router_process(vm).thaw()?;
            self.restart(vm).await?;
        }
        for vm in VMS {
            self.site.wait_ready(vm).await?;
        }
        Ok(())
    }
}

/// Whether some router may not hear of a new configuration meanwhile.
fn hides_news(fault: &Fault) -> bool {
    match fault {
        Fault::Kill(_) | Fault::Freeze(_) | Fault::Platform(Service::Table, _) => true,
        Fault::Link(name, _) => name.starts_with("platform/") || name.starts_with("peer/"),
        _ => false,
    }
}

fn engine_faults(how: EngineFault) -> faults::Faults {
    let none = faults::Faults::default();
    match how {
        EngineFault::Cut => faults::Faults { cut_after_tokens: Some(3), ..none },
        EngineFault::Foreign => faults::Faults { foreign_id: Count::Always(true), ..none },
        EngineFault::Hang => faults::Faults { hang_before_head: Count::Always(true), ..none },
        EngineFault::NoMarker => faults::Faults { no_end_marker: Count::Always(true), ..none },
        EngineFault::Errors => faults::Faults { error_rate: Some(0.5), ..none },
        EngineFault::Leaving => faults::Faults { leaving: true, ..none },
    }
}

fn service_faults(how: ServiceFault) -> service::Faults {
    let none = service::Faults::default();
    match how {
        ServiceFault::HangAfterRun => {
            service::Faults { hang_after_run: Count::Always(true), ..none }
        }
        ServiceFault::ErrorAfterRun => {
            service::Faults { error_after_run: Count::Always(true), ..none }
        }
        ServiceFault::Foreign => service::Faults { foreign_id: Count::Always(true), ..none },
        ServiceFault::Late => service::Faults { answer_late_ms: 800, ..none },
        ServiceFault::Refuse => service::Faults { refuse: Count::Always(true), ..none },
    }
}
