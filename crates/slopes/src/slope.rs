//! Costs at growing sizes, the line through them, and their output.

use std::fmt;
use std::io::Write;

use serde::Serialize;

use apricotdale_load_tool::line_fit::LineFit;

use crate::errors::Error;
use crate::errors::Result;

/// Unit of a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Microseconds of processor time.
    CpuMicroseconds,
    /// Bytes of resident memory, of messages or of a snapshot.
    Bytes,
}

impl Unit {
    /// Returns the symbol in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CpuMicroseconds => "us",
            Self::Bytes => "B",
        }
    }
}

/// Costs measured at growing sizes, with the line through them.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Name of the cost in the output.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: Unit,
    /// Kind of item that the sizes count, such as `engine`.
    pub per: &'static str,
    /// Sizes, each with the cost measured there.
    pub points: Vec<(f64, f64)>,
    /// Least-squares line through the points.
    pub line: LineFit,
}

/// Row of the CSV table; the field names are the column names.
#[derive(Serialize)]
struct Row<'a> {
    slope: &'a str,
    unit: &'a str,
    per: &'a str,
    value: f64,
    intercept: f64,
    r2: f64,
    points: String,
}

impl Slope {
    /// Measures the cost at each size with `cost`, and fits the line.
    ///
    /// # Errors
    ///
    /// An error of `cost`, or [`Error::TooFewPoints`] for fewer than two different sizes.
    pub fn measure(
        name: &'static str,
        unit: Unit,
        per: &'static str,
        sizes: &[usize],
        mut cost: impl FnMut(usize) -> Result<f64>,
    ) -> Result<Self> {
        let mut points = Vec::with_capacity(sizes.len());
        for size in sizes {
            points.push((*size as f64, cost(*size)?));
        }
        let line = LineFit::fit(&points).ok_or(Error::TooFewPoints(name))?;
        Ok(Self {
            name,
            unit,
            per,
            points,
            line,
        })
    }

    fn points_text(&self) -> String {
        let point = |(size, cost): &(f64, f64)| format!("{size}:{cost:.3}");
        let points: Vec<String> = self.points.iter().map(point).collect();
        points.join(",")
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "slope={} unit={} per={} value={:.4} intercept={:.3} r2={:.4} points={}",
            self.name,
            self.unit.as_str(),
            self.per,
            self.line.slope,
            self.line.intercept,
            self.line.r2,
            self.points_text(),
        )
    }
}

/// Writes the slopes as a CSV table with a head line.
///
/// # Errors
///
/// [`Error::Table`] or [`Error::System`] if the table can't be written.
pub fn write_table(slopes: &[Slope], out: impl Write) -> Result<()> {
    let mut table = csv::Writer::from_writer(out);
    for slope in slopes {
        table.serialize(Row {
            slope: slope.name,
            unit: slope.unit.as_str(),
            per: slope.per,
            value: slope.line.slope,
            intercept: slope.line.intercept,
            r2: slope.line.r2,
            points: slope.points_text(),
        })?;
    }
    table.flush()?;
    Ok(())
}
