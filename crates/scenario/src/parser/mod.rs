//! Parser of scenario files.

mod conditions;
mod grammar;
mod requests;
mod setup;
mod words;

use pest::Parser;
use pest::iterators::Pair;

use crate::ast::Alias;
use crate::ast::AliasRole;
use crate::ast::ListedState;
use crate::ast::Position;
use crate::ast::ProcessVerb;
use crate::ast::Scenario;
use crate::ast::Statement;
use crate::ast::Step;
use crate::errors::Error;
use crate::errors::Result;
use crate::parser::grammar::Grammar;
use crate::parser::grammar::Rule;
use crate::parser::words::Children;
use crate::parser::words::inner_text;

/// Parses the text of a scenario file.
///
/// # Errors
///
/// `Error::Syntax` if the text does not follow the grammar, `Error::Meaning` if a number is too
/// large, both with the line and the column.
pub fn parse(text: &str) -> Result<Scenario> {
    let mut files = Grammar::parse(Rule::scenario, text)
        .map_err(|error| Error::Syntax(error.renamed_rules(words::rule_description).to_string()))?;
    let file = files.next().expect("the grammar has one file at its root");
    let mut title = String::new();
    let mut steps = Vec::new();
    for pair in file.into_inner() {
        match pair.as_rule() {
            Rule::title => title = inner_text(pair),
            Rule::statement => steps.push(step(pair)?),
            _ => {}
        }
    }
    Ok(Scenario { title, steps })
}

fn step(pair: Pair<'_, Rule>) -> Result<Step> {
    let position = source_position(&pair);
    let text = pair.as_str().trim_end().to_owned();
    let statement = pair
        .into_inner()
        .next()
        .expect("a statement is one of its kinds");
    Ok(Step {
        position,
        text,
        statement: parse_statement(statement)?,
    })
}

fn parse_statement(pair: Pair<'_, Rule>) -> Result<Statement> {
    let rule = pair.as_rule();
    match rule {
        Rule::start => Ok(Statement::Start),
        Rule::alias => alias(pair),
        Rule::fault => fault(pair),
        Rule::process => process(pair),
        Rule::listing => listing(pair),
        Rule::trim => Ok(Statement::Trim(Children::of(pair).text())),
        Rule::publish => setup::publish(pair),
        Rule::race => setup::race(pair),
        Rule::request | Rule::burst => requests::send(pair).map(Statement::SendRequests),
        Rule::insist => requests::send(pair).map(Statement::Insist),
        Rule::await_begun => Ok(Statement::AwaitBegun(Children::of(pair).text())),
        Rule::await_exit => requests::await_exit(pair),
        Rule::await_end => requests::await_end(pair),
        Rule::expect | Rule::eventually | Rule::always => conditions::statement(pair),
        _ => setup::setup(pair).map(Statement::Setup),
    }
}

fn alias(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let name = children.text();
    let role = match children.text().as_str() {
        "proposer" => AliasRole::Proposer,
        _ => AliasRole::Engine,
    };
    let model = children.text();
    Ok(Statement::Alias(Alias { name, role, model }))
}

fn fault(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let target = children.text();
    Ok(Statement::Fault(target, children.texts()))
}

fn process(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let verb = match children.text().as_str() {
        "kill" => ProcessVerb::Kill,
        "freeze" => ProcessVerb::Freeze,
        "wake" => ProcessVerb::Wake,
        "terminate" => ProcessVerb::Terminate,
        _ => ProcessVerb::Restart,
    };
    Ok(Statement::Process(verb, children.text()))
}

fn listing(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let name = children.text();
    let state = match children.text().as_str() {
        "live" => ListedState::Live,
        "leaving" => ListedState::Leaving,
        _ => ListedState::Gone,
    };
    Ok(Statement::List(name, state))
}

fn source_position(pair: &Pair<'_, Rule>) -> Position {
    let (line, column) = pair.line_col();
    Position { line, column }
}
