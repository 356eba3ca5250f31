//! Parser generated from `grammar.pest`.

use pest_derive::Parser;

#[derive(Parser)]
#[grammar = "grammar.pest"]
pub(super) struct Grammar;
