//! Execution of the statements that check conditions.

use std::thread;

use crate::ast::Comparison;
use crate::ast::Condition;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::execution::Execution;
use apricotdale_launcher::poll::MAX_POLLS;
use apricotdale_launcher::poll::POLL_INTERVAL;

impl Execution {
    pub(super) fn expect(&mut self, condition: &Condition) -> Result<Option<String>> {
        let found = self.measure(&condition.measure)?;
        match self.holds(condition.comparison, found) {
            true => Ok(Some(format!("found {found}"))),
            false => Err(Error::failed(format!("found {found}"))),
        }
    }

    pub(super) fn eventually(
        &mut self,
        condition: &Condition,
        limit: Option<u32>,
    ) -> Result<Option<String>> {
        let mut last = String::new();
        for poll in 1..=limit.unwrap_or(MAX_POLLS) {
            match self.measure(&condition.measure) {
                Ok(found) if self.holds(condition.comparison, found) => {
                    return Ok(Some(format!("found {found} at poll {poll}")));
                }
                Ok(found) => last = format!("found {found} at the last poll"),
                // A process that is being killed or restarted can't be queried for a while.
                Err(error) => last = error.to_string(),
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(Error::failed(last))
    }

    pub(super) fn always(&mut self, condition: &Condition, polls: u32) -> Result<Option<String>> {
        for poll in 1..=polls {
            let found = self.measure(&condition.measure)?;
            if !self.holds(condition.comparison, found) {
                return Err(Error::failed(format!("found {found} at poll {poll}")));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(None)
    }

    fn holds(&self, comparison: Comparison, found: u64) -> bool {
        match comparison {
            Comparison::Everywhere => found == self.cluster().running_vms().len() as u64,
            Comparison::AtMost(limit) => found <= limit,
            Comparison::AtLeast(limit) => found >= limit,
            Comparison::Exactly(number) => found == number,
        }
    }
}
