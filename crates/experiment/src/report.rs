//! Prints result tables and draws plots.

use crate::scenario::ExperimentResult;
use plotters::prelude::*;

/// Prints a table with one row for each variant.
pub fn print_table(title: &str, results: &[ExperimentResult]) {
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
    for result in results {
        let metrics = &result.metrics;
        let recovery = result.recovery_s;
        let recovery = recovery.map_or("-".to_owned(), |secs| format!("{secs:.0}"));
        println!(
            "{:<18} {:>8.1} {:>8.1} {:>8.1} {:>7.1} {:>8.2} {:>7.0} {:>7.0} {:>8.1} {:>8}",
            result.name,
            metrics.lookups_per_s,
            metrics.orders_per_s,
            metrics.order_success_ratio * 100.0,
            metrics.wasted_work_ratio * 100.0,
            metrics.attempts_per_action,
            metrics.p50_ms,
            metrics.p99_ms,
            metrics.cross_region_kb_per_s,
            recovery,
        );
    }
}

/// The error with which drawing a plot failed.
pub type PlotError = Box<dyn std::error::Error>;

/// Writes an SVG plot of the goodput over time, with one line for each variant.
pub fn plot_goodput(
    path: &str,
    title: &str,
    results: &[ExperimentResult],
) -> Result<(), PlotError> {
    let secs = results
        .iter()
        .map(|r| r.goodput_per_s.len())
        .max()
        .unwrap_or(1);
    let goodput = results.iter().flat_map(|r| &r.goodput_per_s).copied();
    let max_goodput = goodput.fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, (900, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..secs as f64, 0.0..max_goodput)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("successful actions per second")
        .draw()?;
    for (index, result) in results.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = result.goodput_per_s.iter().enumerate();
        let points = points.map(|(second, goodput)| (second as f64, *goodput));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(result.name)
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
