//! What a demonstration shows: steps, and checks that hold or do not.

use std::io::Write;

use crate::errors::Result;

/// `Checks` prints steps and checks, and keeps those that did not hold.
pub struct Checks<'a> {
    out: &'a mut dyn Write,
    passed: usize,
    failed: Vec<String>,
}

impl<'a> Checks<'a> {
    /// Returns checks that are printed to `out`.
    pub fn new(out: &'a mut dyn Write) -> Self {
        Self {
            out,
            passed: 0,
            failed: Vec::new(),
        }
    }

    /// Begins a step.
    ///
    /// # Errors
    ///
    /// Any of printing.
    pub fn step(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "\n{text}")?;
        Ok(())
    }

    /// Prints a line below a check.
    ///
    /// # Errors
    ///
    /// Any of printing.
    pub fn note(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "      {text}")?;
        Ok(())
    }

    /// Notes whether something holds.
    ///
    /// # Errors
    ///
    /// Any of printing.
    pub fn check(&mut self, text: String, holds: bool) -> Result<()> {
        let word = if holds { "ok  " } else { "FAIL" };
        writeln!(self.out, "  {word} {text}")?;
        match holds {
            true => self.passed += 1,
            false => self.failed.push(text),
        }
        Ok(())
    }

    /// Prints the counts and returns whether everything held.
    ///
    /// # Errors
    ///
    /// Any of printing.
    pub fn finish(self) -> Result<bool> {
        let (passed, failed) = (self.passed, self.failed.len());
        writeln!(self.out, "\n{passed} checks held, {failed} did not")?;
        for failed in &self.failed {
            writeln!(self.out, "  did not hold: {failed}")?;
        }
        Ok(self.failed.is_empty())
    }
}
