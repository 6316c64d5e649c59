use std::path::Path;

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

/// Writes an SVG plot of attainment in percent against load relative to capacity.
///
/// Each line has a label and its points of load and attainment.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot(path: &Path, title: &str, lines: &[(String, Vec<(f64, f64)>)]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, (900, 540)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = lines.iter().flat_map(|(_, points)| points);
    let max_load = points.map(|(load, _)| *load).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..max_load, 0.0..100.0)?;
    chart.configure_mesh().x_desc("load relative to capacity").y_desc("attainment, %").draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}
