//! What can break, and how.

use curranthook_standin::{
    engine,
    fault::Count,
    platform::{
        self,
        fault::{Fault, Mode},
    },
    proxy::link,
    service,
};
use curranthook_tests::Site;

use super::Kind;

/// What is broken.
#[derive(Debug, Clone)]
pub(super) enum Point {
    Link(link::Fault),
    Engine(engine::faults::Faults),
    Service(service::Faults),
    Table(Fault),
}

/// What breaks between the router and endpoints, and what within these or the table.
pub(super) fn all(kind: Kind) -> (Vec<Point>, Vec<Point>) {
    let within = match kind {
        Kind::Whole | Kind::Stream => engine_points(),
        Kind::Repeatable => service_points(),
        Kind::Posting => [service_points(), table_points()].concat(),
    };
    (link_points(), within)
}

/// Breaks something, for all endpoints.
pub(super) async fn break_at(site: &Site, point: &Point) -> anyhow::Result<()> {
    match point {
        Point::Link(fault) => {
            for id in site.engines.keys().chain(site.services.keys()) {
                site.proxy().set(&format!("endpoint/{id}"), fault).await?;
            }
        }
        Point::Engine(faults) => {
            for engine in site.engines.values() {
                engine.set(faults).await?;
            }
        }
        Point::Service(faults) => {
            for service in site.services.values() {
                service.set(faults).await?;
            }
        }
        Point::Table(fault) => {
            let table = Fault { key_prefix: "claims/".to_owned(), ..fault.clone() };
            let faults = platform::fault::Faults { table, ..Default::default() };
            site.platform.set(&faults).await?;
        }
    }
    Ok(())
}

/// Mends everything.
pub(super) async fn mend(site: &Site) -> anyhow::Result<()> {
    // A link keeps its target until it is told another.
    let engines = site.engines.iter().map(|(id, it)| (id, it.addr()));
    let services = site.services.iter().map(|(id, it)| (id, it.addr()));
    for (id, addr) in engines.chain(services) {
        let fault = link::Fault { target: Some(addr), ..Default::default() };
        site.proxy().set(&format!("endpoint/{id}"), &fault).await?;
    }
    break_at(site, &Point::Engine(engine::faults::Faults::default())).await?;
    break_at(site, &Point::Service(service::Faults::default())).await?;
    site.platform.mend().await
}

fn link_points() -> Vec<Point> {
    let mode = |mode| link::Fault { mode, ..Default::default() };
    let swallow = |n| link::Fault { swallow_up_after_bytes: Some(n), ..Default::default() };
    let cut = |n| link::Fault { cut_after_bytes_down: Some(n), ..Default::default() };
    // Nobody listens behind the proxy: connections are accepted and then reset.
    let gone = link::Fault { target: Some(([127, 0, 0, 1], 1).into()), ..Default::default() };
    let mut faults = vec![gone];
    // Before the connection, and with it open but lost.
    faults.extend([mode(link::Mode::Cut), mode(link::Mode::SilenceAll)]);
    faults.extend([mode(link::Mode::OneWayUp), mode(link::Mode::OneWayDown)]);
    faults.push(mode(link::Mode::Pause));
    // Within the head of the request and within its body.
    faults.extend([0, 1, 60, 300].map(swallow));
    // Before the answer, within its head and within its body.
    faults.extend([0, 1, 60, 160, 300, 900].map(cut));
    faults.into_iter().map(Point::Link).collect()
}

fn engine_points() -> Vec<Point> {
    let always = Count::Always(true);
    let none = engine::faults::Faults::default();
    let faults = [
        engine::faults::Faults { refuse: always, ..none.clone() },
        engine::faults::Faults { leaving: true, ..none.clone() },
        engine::faults::Faults { error_rate: Some(1.0), ..none.clone() },
        engine::faults::Faults { hang_before_head: always, ..none.clone() },
        engine::faults::Faults { foreign_id: always, ..none.clone() },
        engine::faults::Faults { cut_after_tokens: Some(0), ..none.clone() },
        engine::faults::Faults { cut_after_tokens: Some(3), ..none.clone() },
        engine::faults::Faults { no_end_marker: always, ..none.clone() },
        engine::faults::Faults { first_token_ms: Some(3_000.0), ..none },
    ];
    faults.into_iter().map(Point::Engine).collect()
}

fn service_points() -> Vec<Point> {
    let always = Count::Always(true);
    let none = service::Faults::default();
    let faults = [
        service::Faults { refuse: always, ..none.clone() },
        service::Faults { leaving: true, ..none.clone() },
        service::Faults { hang_before_head: always, ..none.clone() },
        service::Faults { hang_after_run: always, ..none.clone() },
        service::Faults { error_before_run: always, ..none.clone() },
        service::Faults { error_after_run: always, ..none.clone() },
        service::Faults { foreign_id: always, ..none.clone() },
        service::Faults { answer_late_ms: 3_000, ..none },
    ];
    faults.into_iter().map(Point::Service).collect()
}

fn table_points() -> Vec<Point> {
    let fault = |mode, any| Point::Table(Fault { mode, any, ..Fault::default() });
    vec![fault(Mode::Down, false), fault(Mode::Lost, false), fault(Mode::Lost, true)]
}
