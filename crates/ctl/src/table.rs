//! Text tables with aligned columns.

/// Text between two columns.
const COLUMN_GAP: &str = "  ";

/// Table of a header and rows, all with the same number of cells.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table that has only its header.
    pub(crate) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Appends a row, which must have as many cells as the header.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Renders the header and the rows as lines without trailing spaces.
    pub(crate) fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or_default()
        };
        (0..columns).map(width).collect()
    }
}
