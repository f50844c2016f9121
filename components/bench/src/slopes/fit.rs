//! Straight lines through points, and tables that show both.

use std::fmt;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// How many.
    pub x: f64,
    /// What it cost.
    pub y: f64,
}

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost at none.
    pub base: f64,
    /// Cost of each one.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
}

/// Fits a line; all points at one place give a flat one.
#[must_use]
pub fn fit(points: &[Point]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let product: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let slope = if spread > 0.0 { product / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let off = |p: &Point| (p.y - base - slope * p.x).powi(2);
    let residual = (points.iter().map(off).sum::<f64>() / count).sqrt();
    Fit {
        base,
        slope,
        residual,
    }
}

/// What was measured at one number.
#[derive(Clone, Debug)]
pub struct Row {
    /// The number.
    pub x: f64,
    /// One value for each column.
    pub values: Vec<f64>,
}

/// Measurements against one number.
#[derive(Clone, Debug)]
pub struct Table {
    /// What was measured, and under which conditions.
    pub title: String,
    /// What the number counts.
    pub axis: &'static str,
    /// The columns with their units.
    pub columns: Vec<&'static str>,
    /// The measurements.
    pub rows: Vec<Row>,
}

impl Table {
    fn points(&self, column: usize, power: i32) -> Vec<Point> {
        let point = |row: &Row| Point {
            x: row.x.powi(power),
            y: row.values[column],
        };
        self.rows.iter().map(point).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let axis = self.axis;
        writeln!(
            f,
            "\n{}\n\n| {axis} | {} |",
            self.title,
            self.columns.join(" | ")
        )?;
        writeln!(f, "|---|{}", "---|".repeat(self.columns.len()))?;
        for row in &self.rows {
            let values: Vec<String> = row.values.iter().map(|v| format!("{v:.4}")).collect();
            writeln!(f, "| {} | {} |", row.x, values.join(" | "))?;
        }
        writeln!(f, "\n| fit | base | slope | residual |\n|---|---|---|---|")?;
        for (number, column) in self.columns.iter().enumerate() {
            for power in [1, 2] {
                let line = fit(&self.points(number, power));
                writeln!(
                    f,
                    "| {column} by ({axis})^{power} | {:.4} | {:.4e} | {:.4} |",
                    line.base, line.slope, line.residual
                )?;
            }
        }
        Ok(())
    }
}
