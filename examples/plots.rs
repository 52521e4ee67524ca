//! Draws the figures of the decisions bench, read from standard input, into
//! `docs/`.
//!
//! `cargo bench --bench decisions | cargo run --release --example plots`

use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::io::BufRead;

const SIZE: (u32, u32) = (1_100, 420);
const OURS: RGBColor = RGBColor(31, 119, 180);
const NAIVE: RGBColor = RGBColor(200, 200, 200);
const GROUP: i32 = 3;

type Figures = BTreeMap<String, f64>;

fn read() -> std::io::Result<Figures> {
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

fn mixes(figures: &Figures) -> Vec<String> {
    let names = figures
        .keys()
        .filter_map(|name| name.strip_suffix(".met_percent"));
    names
        .filter(|name| !name.ends_with(".naive"))
        .map(str::to_owned)
        .collect()
}

/// Ours beside the naive version, a pair of bars for each mix.
fn bars(figures: &Figures, figure: &str, title: &str) -> Result<(), Box<dyn Error>> {
    let mixes = mixes(figures);
    let value = |mix: &str| {
        figures
            .get(&format!("{mix}.{figure}"))
            .copied()
            .unwrap_or(0.0)
    };
    let naive = |mix: &str| value(&format!("{mix}.naive"));
    let most = mixes
        .iter()
        .map(|mix| value(mix).max(naive(mix)))
        .fold(1.0, f64::max);
    let path = format!("docs/{figure}.svg");
    let root = SVGBackend::new(&path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = mixes.len() as i32 * GROUP;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0..last, 0.0..most * 1.05)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    for (at, mix) in mixes.iter().enumerate() {
        let left = at as i32 * GROUP;
        let bar = |from: i32, height: f64, color: RGBColor| {
            Rectangle::new([(from, 0.0), (from + 1, height)], color.filled())
        };
        chart.draw_series([
            bar(left, value(mix), OURS),
            bar(left + 1, naive(mix), NAIVE),
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

/// How a decision's time grows with the fleet.
fn sizes(figures: &Figures) -> Result<(), Box<dyn Error>> {
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
    let most = p99.iter().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "time of a decision in microseconds, p50 and p99",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..8_000.0, 0.0..most * 1.1)?;
    chart.configure_mesh().x_desc("workers").draw()?;
    chart.draw_series(LineSeries::new(p50, OURS))?;
    chart.draw_series(LineSeries::new(p99, RED))?;
    root.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let figures = read()?;
    let notes = "ours blue, naive grey";
    bars(
        &figures,
        "met_percent",
        &format!("jobs answered in their class, % ({notes})"),
    )?;
    bars(
        &figures,
        "fragmentation_percent",
        &format!("free accelerators that the shapes in demand cannot use, % ({notes})"),
    )?;
    bars(
        &figures,
        "large_gang_wait_p99_s",
        &format!("wait of gangs from 32 accelerators, p99 in s ({notes})"),
    )?;
    sizes(&figures)
}
