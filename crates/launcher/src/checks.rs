//! Output of a demonstration: its steps, and checks that pass or fail.

use std::io::Write;

use crate::errors::Result;

/// Checks of a demonstration, which are printed as they are made; failed ones are repeated at the
/// end.
pub struct Checks<'a> {
    out: &'a mut dyn Write,
    passed: usize,
    failed: Vec<String>,
}

impl<'a> Checks<'a> {
    /// Returns an empty set of checks that are printed to `out`.
    pub fn new(out: &'a mut dyn Write) -> Self {
        Self {
            out,
            passed: 0,
            failed: Vec::new(),
        }
    }

    /// Prints the title of a step.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the text can't be written.
    pub fn step(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "\n{text}")?;
        Ok(())
    }

    /// Prints an indented line below a check.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the text can't be written.
    pub fn note(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "      {text}")?;
        Ok(())
    }

    /// Records and prints whether a check passed.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the text can't be written.
    pub fn check(&mut self, text: String, holds: bool) -> Result<()> {
        let word = if holds { "ok  " } else { "FAIL" };
        writeln!(self.out, "  {word} {text}")?;
        match holds {
            true => self.passed += 1,
            false => self.failed.push(text),
        }
        Ok(())
    }

    /// Prints the counts and the failed checks, and returns whether all passed.
    ///
    /// # Errors
    ///
    /// `Error::Io` if the text can't be written.
    pub fn finish(self) -> Result<bool> {
        let (passed, failed) = (self.passed, self.failed.len());
        writeln!(self.out, "\n{passed} checks passed, {failed} failed")?;
        for failed in &self.failed {
            writeln!(self.out, "  failed: {failed}")?;
        }
        Ok(self.failed.is_empty())
    }
}
