//! Text tables and a plot.

use crate::scenario::Outcome;
use plotters::prelude::*;

/// Prints one experiment's table.
pub fn table(title: &str, outcomes: &[Outcome]) {
    println!("\n{title}");
    println!(
        "{:<18} {:>8} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>8} {:>8}",
        "",
        "lookups",
        "orders",
        "orders",
        "wasted",
        "attempts",
        "p50",
        "p99",
        "regions",
        "recovery"
    );
    println!(
        "{:<18} {:>8} {:>8} {:>8} {:>7} {:>8} {:>7} {:>7} {:>8} {:>8}",
        "", "/s", "/s", "% asked", "%", "/action", "ms", "ms", "kB/s", "s"
    );
    for outcome in outcomes {
        let figures = &outcome.during;
        let recovery = outcome.recovery;
        let recovery = recovery.map_or("-".to_owned(), |secs| format!("{secs:.0}"));
        println!(
            "{:<18} {:>8.1} {:>8.1} {:>8.1} {:>7.1} {:>8.2} {:>7.0} {:>7.0} {:>8.1} {:>8}",
            outcome.name,
            figures.lookups,
            figures.orders,
            figures.orders_share * 100.0,
            figures.wasted * 100.0,
            figures.attempts,
            figures.p50,
            figures.p99,
            figures.region_kb,
            recovery,
        );
    }
}

/// Why there is no plot.
pub type PlotError = Box<dyn std::error::Error>;

/// Draws goodput over time, one line a variant.
pub fn plot(path: &str, title: &str, outcomes: &[Outcome]) -> Result<(), PlotError> {
    let secs = outcomes.iter().map(|o| o.goodput.len()).max().unwrap_or(1);
    let most = outcomes.iter().flat_map(|o| &o.goodput).copied();
    let most = most.fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, (900, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..secs as f64, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("whole answers a second")
        .draw()?;
    for (nth, outcome) in outcomes.iter().enumerate() {
        let color = Palette99::pick(nth).to_rgba();
        let points = outcome.goodput.iter().enumerate();
        let points = points.map(|(at, goodput)| (at as f64, *goodput));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(outcome.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
