//! Tables of measurements with linear fits, their plots, and helpers for measuring.

use anyhow::Context;
use anyhow::Result;
use plotters::prelude::*;
use std::path::Path;

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);
/// The number of segments in which the line of a fit is drawn.
const FIT_STEPS: u32 = 50;

/// A table of measurements.
///
/// Its rows are either named or start with a size, against which the other columns
/// can be fitted.
pub struct Table {
    pub title: String,
    pub columns: Vec<String>,
    pub rows: Vec<Vec<f64>>,
    /// The names of the rows, shown in the first column; empty if rows start with a size.
    pub row_names: Vec<String>,
}

/// A line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(ToString::to_string).collect(),
            rows: Vec::new(),
            row_names: Vec::new(),
        }
    }

    /// Adds a row whose first value is the size.
    pub fn push(&mut self, row: impl Into<Vec<f64>>) {
        self.rows.push(row.into());
    }

    /// Adds a named row; its values start at the second column.
    pub fn push_named(&mut self, name: &str, row: impl Into<Vec<f64>>) {
        self.row_names.push(name.to_owned());
        self.rows.push(row.into());
    }

    /// Returns whether columns can be fitted: rows start with a size, and there are at least three.
    pub fn has_fit(&self) -> bool {
        self.row_names.is_empty() && self.rows.len() > 2
    }

    /// Returns the file name of the plot without its extension, derived from the title.
    pub fn file_stem(&self) -> String {
        let sanitize = |c: char| {
            if c.is_ascii_alphanumeric() {
                c.to_ascii_lowercase()
            } else {
                '-'
            }
        };
        self.title
            .chars()
            .map(sanitize)
            .collect::<String>()
            .replace("--", "-")
    }

    /// Fits a line to the values of a column over the sizes in the first one.
    pub fn fit(&self, column: usize) -> Fit {
        let points: Vec<(f64, f64)> = self.rows.iter().map(|r| (r[0], r[column])).collect();
        let n = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let residuals = points.iter().map(|p| (p.1 - slope * p.0 - intercept).abs());
        Fit {
            slope,
            intercept,
            residual: residuals.fold(0.0, f64::max) / largest,
        }
    }

    /// Returns the table in Markdown, followed by the fit of each column if there is one.
    pub fn markdown(&self) -> String {
        let mut lines = vec![format!("### {}\n", self.title)];
        lines.push(format!("| {} |", self.columns.join(" | ")));
        lines.push(format!("|{}", "---|".repeat(self.columns.len())));
        for (i, row) in self.rows.iter().enumerate() {
            let mut cells: Vec<String> = self.row_names.get(i).cloned().into_iter().collect();
            cells.extend(row.iter().map(|v| format_number(*v)));
            lines.push(format!("| {} |", cells.join(" | ")));
        }
        if self.has_fit() {
            lines.push(String::new());
            for (i, name) in self.columns.iter().enumerate().skip(1) {
                let fit = self.fit(i);
                lines.push(format!(
                    "- {name}: {} + {} x {}, largest residual {:.0}%",
                    format_number(fit.intercept),
                    format_number(fit.slope),
                    self.columns[0],
                    fit.residual * 100.0
                ));
            }
        }
        lines.join("\n") + "\n"
    }

    /// Draws every column with its fit to an SVG file, each scaled to its largest value.
    pub fn draw_plot(&self, path: &Path) -> Result<()> {
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let max_x = self.rows.iter().map(|r| r[0]).fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..max_x * 1.05, 0.0..1.1)?;
        let axes = (self.columns[0].as_str(), "share of the largest value");
        chart
            .configure_mesh()
            .x_desc(axes.0)
            .y_desc(axes.1)
            .draw()?;
        for column in 1..self.columns.len() {
            let colour = Palette99::pick(column).to_rgba();
            let largest = self
                .rows
                .iter()
                .map(|r| r[column])
                .fold(f64::MIN_POSITIVE, f64::max);
            let fit = self.fit(column);
            let line = (0..=FIT_STEPS).map(|i| {
                let x = max_x * f64::from(i) / f64::from(FIT_STEPS);
                (x, (fit.intercept + fit.slope * x) / largest)
            });
            let series = chart.draw_series(LineSeries::new(line, colour.stroke_width(1)))?;
            series
                .label(&self.columns[column])
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
            let points = self.rows.iter().map(|r| (r[0], r[column] / largest));
            chart.draw_series(points.map(|p| Circle::new(p, 3, colour.filled())))?;
        }
        let drawn = chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw();
        drawn?;
        area.present()
            .with_context(|| format!("writing {}", path.display()))?;
        Ok(())
    }
}

/// Formats a number with three significant digits; larger numbers keep their integer part.
fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    match digits {
        d if d <= 0 => format!("{value:.0}"),
        d => format!("{value:.*}", d.min(9) as usize),
    }
}

/// Sorts the values and returns the given quantile (0 to 1), or 0 if there are none.
pub fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}

/// Returns the resident memory of this process, in bytes, assuming pages of 4 KiB.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|t| t.parse().ok())
        .unwrap_or(0.0);
    pages * 4096.0
}
