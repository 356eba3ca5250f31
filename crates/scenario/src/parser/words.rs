//! Access to the parts of a parsed pair as texts and numbers.

use std::str::FromStr;

use pest::iterators::Pair;
use pest::iterators::Pairs;

use crate::errors::Error;
use crate::errors::Result;
use crate::parser::grammar::Rule;
use crate::parser::source_position;

/// Parts of a pair, which are read in order.
pub(super) struct Children<'i> {
    pairs: Pairs<'i, Rule>,
}

impl<'i> Children<'i> {
    /// Returns the parts of a pair.
    pub(super) fn of(pair: Pair<'i, Rule>) -> Self {
        Self {
            pairs: pair.into_inner(),
        }
    }

    /// Returns the next part. Panics if the grammar does not guarantee one.
    pub(super) fn next(&mut self) -> Pair<'i, Rule> {
        self.pairs.next().expect("the grammar guarantees this part")
    }

    /// Returns the text of the next part. Panics if the grammar does not guarantee one.
    pub(super) fn text(&mut self) -> String {
        plain_text(&self.next())
    }

    /// Returns the next part as a number. Panics if the grammar does not guarantee one.
    pub(super) fn number<T: FromStr>(&mut self) -> Result<T> {
        parse_number(&self.next())
    }

    /// Returns the next part if it was parsed by a rule, and leaves it unread otherwise.
    pub(super) fn next_if(&mut self, rule: Rule) -> Option<Pair<'i, Rule>> {
        let is_next = self.pairs.peek().is_some_and(|pair| pair.as_rule() == rule);
        is_next.then(|| self.next())
    }

    /// Returns the parts that were not read yet.
    pub(super) fn rest(self) -> Pairs<'i, Rule> {
        self.pairs
    }

    /// Returns the texts of the parts that were not read yet.
    pub(super) fn texts(self) -> Vec<String> {
        self.pairs.map(|pair| plain_text(&pair)).collect()
    }
}

/// Returns the text of a part, without quotes.
pub(super) fn plain_text(pair: &Pair<'_, Rule>) -> String {
    match pair.as_rule() {
        Rule::text => inner_text(pair.clone()),
        _ => pair.as_str().trim_end().to_owned(),
    }
}

/// Returns the text of the only part of a pair.
pub(super) fn inner_text(pair: Pair<'_, Rule>) -> String {
    Children::of(pair).text()
}

/// Returns the number of the only part of a pair.
pub(super) fn inner_number<T: FromStr>(pair: Pair<'_, Rule>) -> Result<T> {
    Children::of(pair).number()
}

/// Parses a part as a number.
pub(super) fn parse_number<T: FromStr>(pair: &Pair<'_, Rule>) -> Result<T> {
    let text = pair.as_str().trim();
    text.parse()
        .map_err(|_| Error::meaning(source_position(pair), format!("{text} is too large")))
}

/// Returns the description of a rule in a syntax error.
pub(super) fn rule_description(rule: &Rule) -> String {
    match rule {
        Rule::EOI => "the end of the line".to_owned(),
        Rule::name => "a name".to_owned(),
        Rule::number => "a number".to_owned(),
        Rule::text => "a text in quotes".to_owned(),
        Rule::path => "a path".to_owned(),
        Rule::value => "a value".to_owned(),
        Rule::title => "scenario \"…\"".to_owned(),
        rule => format!("{rule:?}").replace('_', "-"),
    }
}
