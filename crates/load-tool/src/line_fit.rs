//! Least-squares line through measured points.

/// Least-squares line through a set of points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Growth of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance of y that the line explains, 0 to 1.
    /// It is 1 if y is constant.
    pub r2: f64,
}

impl LineFit {
    /// Returns the line through points `(x, y)`, or none if fewer than two of the x differ.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variation_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || variation_x == 0.0 {
            return None;
        }
        let covariation: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = covariation / variation_x;
        let intercept = mean_y - slope * mean_x;
        let variation_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let residual: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        let r2 = if variation_y == 0.0 {
            1.0
        } else {
            1.0 - residual / variation_y
        };
        Some(Self {
            slope,
            intercept,
            r2,
        })
    }

    /// Returns the line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
