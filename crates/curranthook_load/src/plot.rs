//! Plots that compare reports, in SVG.

use std::path::{Path, PathBuf};

use anyhow::anyhow;
use plotters::prelude::*;

use crate::{
    report::{Report, ratio},
    table::{self, Figure, Group},
};

const SIZE: (u32, u32) = (900, 560);
const MARGIN: u32 = 24;
const LABEL_AREA: u32 = 64;
/// Width reserved for policy names to the right of the bars, in pixels.
const LEGEND_AREA: u32 = 190;
/// Factor by which the axis exceeds the greatest value, so that no label is clipped.
const HEADROOM: f64 = 1.15;

/// A bar chart with one group of bars per policy.
struct Bars<'a> {
    title: String,
    unit: &'a str,
    names: &'a [&'a str],
    figures: &'a [Figure],
}

/// Writes the plots of every scenario into `dir` and returns the paths of the files.
pub fn write(reports: &[Report], dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let groups = table::groups(reports);
    let mut files = Vec::new();
    for chunk in groups.chunk_by(|a, b| a.scenario == b.scenario) {
        let scenario = chunk[0].scenario;
        let file = |plot: &str| dir.join(format!("{scenario}-{plot}.svg"));
        cost_and_quality(chunk, &file("cost-quality"))?;
        bars(chunk, &latency(scenario), &file("latency"))?;
        bars(chunk, &refusals(scenario), &file("refusals"))?;
        files.extend(["cost-quality", "latency", "refusals"].map(file));
    }
    Ok(files)
}

fn cost_and_quality(groups: &[Group<'_>], file: &Path) -> anyhow::Result<()> {
    const RADIUS: i32 = 5;
    let cost = |it: &Report| it.cost.per_answer;
    let greatest = greatest(groups, &[cost]);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: cost and quality, a point a seed", groups[0].scenario), FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..greatest, 0.0..1.0)
        .map_err(draw_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("cost an answer (millionths)").y_desc("share of good answers");
    mesh.draw().map_err(draw_error)?;
    for (index, group) in groups.iter().enumerate() {
        let points = group.reports.iter().map(|it| (cost(it), table::good_share(it)));
        let color = Palette99::pick(index).to_rgba();
        let circles = points.map(|it| Circle::new(it, RADIUS, color.filled()));
        let series = chart.draw_series(circles).map_err(draw_error)?;
        series
            .label(group.policy)
            .legend(move |(x, y)| Circle::new((x + RADIUS, y), RADIUS, color.filled()));
    }
    let mut legend = chart.configure_series_labels();
    legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK).background_style(WHITE);
    legend.draw().map_err(draw_error)?;
    root.present().map_err(draw_error)
}

fn latency(scenario: &str) -> Bars<'static> {
    Bars {
        title: format!("{scenario}: latency from the intended time, mean of the seeds"),
        unit: "ms",
        names: &["first p50", "first p95", "first p99", "whole p50", "whole p95", "whole p99"],
        figures: &[
            |it| it.latency.first_token.p50,
            |it| it.latency.first_token.p95,
            |it| it.latency.first_token.p99,
            |it| it.latency.whole.p50,
            |it| it.latency.whole.p95,
            |it| it.latency.whole.p99,
        ],
    }
}

fn refusals(scenario: &str) -> Bars<'static> {
    Bars {
        title: format!("{scenario}: how requests ended, mean of the seeds"),
        unit: "share of requests",
        names: &["in time", "late", "refused", "failed"],
        figures: &[
            |it| ratio(it.ends.in_time as f64, it.ends.requests as f64),
            |it| ratio((it.ends.answered - it.ends.in_time) as f64, it.ends.requests as f64),
            |it| ratio(it.ends.refused as f64, it.ends.requests as f64),
            |it| ratio(it.ends.failed as f64, it.ends.requests as f64),
        ],
    }
}

/// Draws grouped bars: one cluster per figure, one colour per policy.
fn bars(groups: &[Group<'_>], bars: &Bars<'_>, file: &Path) -> anyhow::Result<()> {
    let greatest = greatest(groups, bars.figures);
    let n_clusters = bars.names.len();
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&bars.title, FONT)
        .margin(MARGIN)
        .margin_right(LEGEND_AREA)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d((0..n_clusters).into_segmented(), 0.0..greatest)
        .map_err(draw_error)?;
    let name = |it: &SegmentValue<usize>| match it {
        SegmentValue::CenterOf(n) => bars.names.get(*n).copied().unwrap_or_default().to_owned(),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().y_desc(bars.unit).x_label_formatter(&name).x_labels(n_clusters);
    mesh.draw().map_err(draw_error)?;
    let plane = chart.plotting_area();
    let (width, height) = plane.dim_in_pixel();
    let (left, top) = plane.get_base_pixel();
    let cluster = f64::from(width) / n_clusters as f64;
    let bar = cluster / (groups.len() + 1) as f64;
    for (index, group) in groups.iter().enumerate() {
        let color = Palette99::pick(index);
        for (place, figure) in bars.figures.iter().enumerate() {
            let x = cluster * place as f64 + bar * (index as f64 + 0.5);
            let tall = f64::from(height) * group.spread(figure).mean / greatest;
            let from = (left + x as i32, top + (f64::from(height) - tall) as i32);
            let to = (left + (x + bar) as i32, top + height as i32);
            root.draw(&Rectangle::new([from, to], color.filled())).map_err(draw_error)?;
        }
        label(&root, group.policy, index, &color)?;
    }
    root.present().map_err(draw_error)
}

fn label(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    policy: &str,
    index: usize,
    color: &PaletteColor<Palette99>,
) -> anyhow::Result<()> {
    const LEFT: i32 = (SIZE.0 - LEGEND_AREA) as i32 + 10;
    const TOP: i32 = 70;
    const LINE: i32 = 18;
    const BOX: i32 = 10;
    let y = TOP + LINE * index as i32;
    let swatch = Rectangle::new([(LEFT, y), (LEFT + BOX, y + BOX)], color.filled());
    root.draw(&swatch).map_err(draw_error)?;
    let text = Text::new(policy.to_owned(), (LEFT + LINE, y), ("sans-serif", 13));
    root.draw(&text).map_err(draw_error)
}

const FONT: (&str, u32) = ("sans-serif", 18);

fn greatest(groups: &[Group<'_>], figures: &[Figure]) -> f64 {
    let reports = groups.iter().flat_map(|it| &it.reports);
    let values = reports.flat_map(|it| figures.iter().map(|figure| figure(it)));
    let greatest = values.fold(0.0, f64::max);
    if greatest == 0.0 { 1.0 } else { greatest * HEADROOM }
}

/// Drawing errors of the library borrow from the backend, so only their text is kept.
fn draw_error(e: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("can't draw: {e}")
}
