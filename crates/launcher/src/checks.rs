//! What a demonstration shows: steps, and checks that hold or do not.

use std::io::Write;

use crate::errors::Result;

/// `Checks` prints steps and checks, and keeps those that did not hold.
pub struct Checks<'a> {
    out: &'a mut dyn Write,
    held: usize,
    broken: Vec<String>,
}

impl<'a> Checks<'a> {
    /// Returns checks that are printed to `out`.
    pub fn new(out: &'a mut dyn Write) -> Self {
        Self {
            out,
            held: 0,
            broken: Vec::new(),
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
            true => self.held += 1,
            false => self.broken.push(text),
        }
        Ok(())
    }

    /// Prints the counts and returns whether everything held.
    ///
    /// # Errors
    ///
    /// Any of printing.
    pub fn finish(self) -> Result<bool> {
        let (held, broken) = (self.held, self.broken.len());
        writeln!(self.out, "\n{held} checks held, {broken} did not")?;
        for broken in &self.broken {
            writeln!(self.out, "  did not hold: {broken}")?;
        }
        Ok(self.broken.is_empty())
    }
}
