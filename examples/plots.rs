//! Plots the figures of the decisions bench, read from standard input, as SVG files
//! in `docs/`.
//!
//! `cargo bench --bench decisions | cargo run --release --example plots`

use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::io::BufRead;

const CHART_SIZE: (u32, u32) = (1_100, 420);
const SCHEDULER_COLOR: RGBColor = RGBColor(31, 119, 180);
const NAIVE_COLOR: RGBColor = RGBColor(200, 200, 200);
/// Width of the pair of bars of one mix and the gap after it.
const GROUP_WIDTH: i32 = 3;

type Figures = BTreeMap<String, f64>;

fn read_figures() -> std::io::Result<Figures> {
    let mut figures = Figures::new();
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["figure", name, value] = words.as_slice() {
            figures.insert((*name).to_owned(), value.parse().unwrap_or(0.0));
        }
    }
    Ok(figures)
}

/// The names of all mixes that have figures.
fn mix_names(figures: &Figures) -> Vec<String> {
    let names = figures
        .keys()
        .filter_map(|name| name.strip_suffix(".met_percent"));
    names
        .filter(|name| !name.ends_with(".naive"))
        .map(str::to_owned)
        .collect()
}

/// Draws `figure` as a pair of bars for each mix: this scheduler and the naive one.
fn draw_bars(figures: &Figures, figure: &str, title: &str) -> Result<(), Box<dyn Error>> {
    let mixes = mix_names(figures);
    let value = |mix: &str| {
        figures
            .get(&format!("{mix}.{figure}"))
            .copied()
            .unwrap_or(0.0)
    };
    let naive = |mix: &str| value(&format!("{mix}.naive"));
    let max_value = mixes
        .iter()
        .map(|mix| value(mix).max(naive(mix)))
        .fold(1.0, f64::max);
    let path = format!("docs/{figure}.svg");
    let root = SVGBackend::new(&path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let width = mixes.len() as i32 * GROUP_WIDTH;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0..width, 0.0..max_value * 1.05)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    for (at, mix) in mixes.iter().enumerate() {
        let left = at as i32 * GROUP_WIDTH;
        let bar = |from: i32, height: f64, color: RGBColor| {
            Rectangle::new([(from, 0.0), (from + 1, height)], color.filled())
        };
        chart.draw_series([
            bar(left, value(mix), SCHEDULER_COLOR),
            bar(left + 1, naive(mix), NAIVE_COLOR),
        ])?;
        let label = mix.replace('.', " ");
        let style = ("sans-serif", 10).into_font().color(&BLACK);
        let position = chart.backend_coord(&(left, 0.0));
        let row = (at % 2) as i32 * 14;
        root.draw_text(&label, &style, (position.0, position.1 + 6 + row))?;
    }
    root.present()?;
    Ok(())
}

/// Draws the time of a decision by the number of workers.
fn draw_decision_times(figures: &Figures) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new("docs/decision_time.svg", (700, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = |figure: &str| -> Vec<(f64, f64)> {
        [730, 2_300, 7_300]
            .into_iter()
            .filter_map(|workers| {
                let value = figures.get(&format!("size.{workers}.{figure}"))?;
                Some((f64::from(workers), *value))
            })
            .collect()
    };
    let (p50, p99) = (points("decision_p50_us"), points("decision_p99_us"));
    let max_value = p99.iter().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "time of a decision in microseconds, p50 and p99",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..8_000.0, 0.0..max_value * 1.1)?;
    chart.configure_mesh().x_desc("workers").draw()?;
    chart.draw_series(LineSeries::new(p50, SCHEDULER_COLOR))?;
    chart.draw_series(LineSeries::new(p99, RED))?;
    root.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let figures = read_figures()?;
    let notes = "ours blue, naive grey";
    draw_bars(
        &figures,
        "met_percent",
        &format!("jobs answered in their class, % ({notes})"),
    )?;
    draw_bars(
        &figures,
        "fragmentation_percent",
        &format!("free accelerators that the shapes in demand cannot use, % ({notes})"),
    )?;
    draw_bars(
        &figures,
        "large_gang_wait_p99_s",
        &format!("wait of gangs from 32 accelerators, p99 in s ({notes})"),
    )?;
    draw_decision_times(&figures)
}
