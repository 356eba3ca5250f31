//! What one more item costs.

use std::fmt;
use std::io::Write;

use serde::Serialize;

use apricotdale_load_tool::line_fit::LineFit;

use crate::errors::Error;
use crate::errors::Result;

/// `Unit` is the unit of a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Microseconds of processor time.
    CpuMicroseconds,
    /// Bytes of resident memory, of a message or of a snapshot.
    Bytes,
}

impl Unit {
    /// Returns the unit's symbol.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CpuMicroseconds => "us",
            Self::Bytes => "B",
        }
    }
}

/// `Slope` is a cost measured at growing sizes, with the line through it.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// The unit of the cost.
    pub unit: Unit,
    /// What the sizes count.
    pub per: &'static str,
    /// The sizes with their costs.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub line: LineFit,
}

/// `Row` is a slope in the table.
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
    /// Measures a cost at each size and fits the line.
    ///
    /// # Errors
    ///
    /// The measure's error, or [`Error::TooFewPoints`].
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

/// Writes slopes as a CSV table.
///
/// # Errors
///
/// [`Error::Table`] if it can't be written.
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
