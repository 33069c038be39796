//! Plots that compare reports, in SVG.

use std::path::{Path, PathBuf};

use anyhow::anyhow;
use plotters::prelude::*;

use crate::{
    report::{Report, ratio},
    table::{self, Group, Metric},
};

const SIZE_PX: (u32, u32) = (900, 560);
const MARGIN_PX: u32 = 24;
const LABEL_AREA_PX: u32 = 64;
/// Width reserved for policy names to the right of the bars, in pixels.
const LEGEND_WIDTH_PX: u32 = 190;
/// Factor by which the axis exceeds the greatest value, so that no label is clipped.
const AXIS_HEADROOM_FACTOR: f64 = 1.15;

/// A bar chart with one group of bars per policy.
struct Bars<'a> {
    title: String,
    unit: &'a str,
    cluster_labels: &'a [&'a str],
    metrics: &'a [Metric],
}

/// Writes the plots of every scenario into `dir` and returns the paths of the files.
pub fn write(reports: &[Report], dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let groups = table::groups(reports);
    let mut files = Vec::new();
    for chunk in groups.chunk_by(|a, b| a.scenario == b.scenario) {
        let scenario = chunk[0].scenario;
        let file = |plot: &str| dir.join(format!("{scenario}-{plot}.svg"));
        draw_cost_and_quality(chunk, &file("cost-quality"))?;
        draw_bars(chunk, &latency_bars(scenario), &file("latency"))?;
        draw_bars(chunk, &outcome_bars(scenario), &file("refusals"))?;
        files.extend(["cost-quality", "latency", "refusals"].map(file));
    }
    Ok(files)
}

fn draw_cost_and_quality(groups: &[Group<'_>], file: &Path) -> anyhow::Result<()> {
    const RADIUS_PX: i32 = 5;
    let cost = |it: &Report| it.cost.per_answer;
    let maximum = axis_maximum(groups, &[cost]);
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: cost and quality, a point a seed", groups[0].scenario), FONT)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..maximum, 0.0..1.0)
        .map_err(draw_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("cost an answer (millionths)").y_desc("share of good answers");
    mesh.draw().map_err(draw_error)?;
    for (index, group) in groups.iter().enumerate() {
        let points = group.reports.iter().map(|it| (cost(it), table::good_share(it)));
        let color = Palette99::pick(index).to_rgba();
        let circles = points.map(|it| Circle::new(it, RADIUS_PX, color.filled()));
        let series = chart.draw_series(circles).map_err(draw_error)?;
        series
            .label(group.policy)
            .legend(move |(x, y)| Circle::new((x + RADIUS_PX, y), RADIUS_PX, color.filled()));
    }
    let mut legend = chart.configure_series_labels();
    legend.position(SeriesLabelPosition::LowerRight).border_style(BLACK).background_style(WHITE);
    legend.draw().map_err(draw_error)?;
    root.present().map_err(draw_error)
}

fn latency_bars(scenario: &str) -> Bars<'static> {
    Bars {
        title: format!("{scenario}: latency from the intended time, mean of the seeds"),
        unit: "ms",
        cluster_labels: &[
            "first p50",
            "first p95",
            "first p99",
            "whole p50",
            "whole p95",
            "whole p99",
        ],
        metrics: &[
            |it| it.latency.first_token.p50,
            |it| it.latency.first_token.p95,
            |it| it.latency.first_token.p99,
            |it| it.latency.whole.p50,
            |it| it.latency.whole.p95,
            |it| it.latency.whole.p99,
        ],
    }
}

fn outcome_bars(scenario: &str) -> Bars<'static> {
    Bars {
        title: format!("{scenario}: how requests ended, mean of the seeds"),
        unit: "share of requests",
        cluster_labels: &["in time", "late", "refused", "failed"],
        metrics: &[
            |it| ratio(it.ends.in_time as f64, it.ends.requests as f64),
            |it| ratio((it.ends.answered - it.ends.in_time) as f64, it.ends.requests as f64),
            |it| ratio(it.ends.refused as f64, it.ends.requests as f64),
            |it| ratio(it.ends.failed as f64, it.ends.requests as f64),
        ],
    }
}

/// Draws grouped bars: one cluster per metric, one colour per policy.
fn draw_bars(groups: &[Group<'_>], bars: &Bars<'_>, file: &Path) -> anyhow::Result<()> {
    let maximum = axis_maximum(groups, bars.metrics);
    let n_clusters = bars.cluster_labels.len();
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&bars.title, FONT)
        .margin(MARGIN_PX)
        .margin_right(LEGEND_WIDTH_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d((0..n_clusters).into_segmented(), 0.0..maximum)
        .map_err(draw_error)?;
    let cluster_label = |it: &SegmentValue<usize>| match it {
        SegmentValue::CenterOf(n) => {
            bars.cluster_labels.get(*n).copied().unwrap_or_default().to_owned()
        }
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().y_desc(bars.unit).x_label_formatter(&cluster_label).x_labels(n_clusters);
    mesh.draw().map_err(draw_error)?;
    let plot_area = chart.plotting_area();
    let (width, height) = plot_area.dim_in_pixel();
    let (left, top) = plot_area.get_base_pixel();
    let cluster_width = f64::from(width) / n_clusters as f64;
    let bar_width = cluster_width / (groups.len() + 1) as f64;
    for (index, group) in groups.iter().enumerate() {
        let color = Palette99::pick(index);
        for (cluster_index, metric) in bars.metrics.iter().enumerate() {
            let x = cluster_width * cluster_index as f64 + bar_width * (index as f64 + 0.5);
            let bar_height = f64::from(height) * group.spread(metric).mean / maximum;
            let top_left = (left + x as i32, top + (f64::from(height) - bar_height) as i32);
            let bottom_right = (left + (x + bar_width) as i32, top + height as i32);
            root.draw(&Rectangle::new([top_left, bottom_right], color.filled()))
                .map_err(draw_error)?;
        }
        draw_legend_entry(&root, group.policy, index, &color)?;
    }
    root.present().map_err(draw_error)
}

fn draw_legend_entry(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    policy: &str,
    index: usize,
    color: &PaletteColor<Palette99>,
) -> anyhow::Result<()> {
    const LEFT_PX: i32 = (SIZE_PX.0 - LEGEND_WIDTH_PX) as i32 + 10;
    const TOP_PX: i32 = 70;
    const LINE_HEIGHT_PX: i32 = 18;
    const SWATCH_PX: i32 = 10;
    let y = TOP_PX + LINE_HEIGHT_PX * index as i32;
    let swatch =
        Rectangle::new([(LEFT_PX, y), (LEFT_PX + SWATCH_PX, y + SWATCH_PX)], color.filled());
    root.draw(&swatch).map_err(draw_error)?;
    let text = Text::new(policy.to_owned(), (LEFT_PX + LINE_HEIGHT_PX, y), ("sans-serif", 13));
    root.draw(&text).map_err(draw_error)
}

const FONT: (&str, u32) = ("sans-serif", 18);

fn axis_maximum(groups: &[Group<'_>], metrics: &[Metric]) -> f64 {
    let reports = groups.iter().flat_map(|it| &it.reports);
    let values = reports.flat_map(|it| metrics.iter().map(|metric| metric(it)));
    let maximum = values.fold(0.0, f64::max);
    if maximum == 0.0 { 1.0 } else { maximum * AXIS_HEADROOM_FACTOR }
}

/// Drawing errors of the library borrow from the backend, so only their text is kept.
fn draw_error(e: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("can't draw: {e}")
}
