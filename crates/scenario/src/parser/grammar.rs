//! The grammar as the parser library reads it.

use pest_derive::Parser;

#[derive(Parser)]
#[grammar = "grammar.pest"]
pub(super) struct Grammar;
