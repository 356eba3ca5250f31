//! Parsing of the statements that check conditions.

use pest::iterators::Pair;

use crate::ast::Comparison;
use crate::ast::Condition;
use crate::ast::EngineMeasure;
use crate::ast::Measure;
use crate::ast::ModelMeasure;
use crate::ast::Statement;
use crate::errors::Result;
use crate::parser::grammar::Rule;
use crate::parser::requests;
use crate::parser::setup;
use crate::parser::words::Children;
use crate::parser::words::inner_number;
use crate::parser::words::inner_text;
use apricotdale_admin::MemberState;

pub(super) fn statement(pair: Pair<'_, Rule>) -> Result<Statement> {
    let rule = pair.as_rule();
    let mut children = Children::of(pair);
    let condition = condition(children.next())?;
    let statement = match rule {
        Rule::expect => Statement::Expect(condition),
        Rule::eventually => {
            let limit = children.next_if(Rule::within);
            Statement::Eventually(condition, limit.map(inner_number).transpose()?)
        }
        _ => Statement::Always(condition, children.number()?),
    };
    Ok(statement)
}

fn condition(pair: Pair<'_, Rule>) -> Result<Condition> {
    let mut children = Children::of(pair);
    Ok(Condition {
        measure: measure(children.next())?,
        comparison: comparison(children.next())?,
    })
}

fn comparison(pair: Pair<'_, Rule>) -> Result<Comparison> {
    let kind = Children::of(pair).next();
    let comparison = match kind.as_rule() {
        Rule::everywhere => Comparison::Everywhere,
        Rule::at_most => Comparison::AtMost(inner_number(kind)?),
        Rule::at_least => Comparison::AtLeast(inner_number(kind)?),
        _ => Comparison::Exactly(inner_number(kind)?),
    };
    Ok(comparison)
}

fn measure(pair: Pair<'_, Rule>) -> Result<Measure> {
    let kind = Children::of(pair).next();
    let rule = kind.as_rule();
    let word = kind.as_str().to_owned();
    let mut children = Children::of(kind);
    let measure = match rule {
        Rule::engine_measure => {
            let measure = engine_measure(&children.text());
            Measure::Engine(measure, children.next_if(Rule::on).map(inner_text))
        }
        Rule::model_measure => {
            let measure = model_measure(&children.text());
            let model = children.text();
            Measure::Model(measure, model, children.next_if(Rule::on).map(inner_text))
        }
        Rule::calls => Measure::Calls(children.text()),
        Rule::key_calls => Measure::KeyCalls(children.text()),
        Rule::runs => Measure::Runs(children.text()),
        Rule::endings => {
            let name = children.text();
            Measure::Endings(name, requests::ending(children.next())?)
        }
        Rule::race_result if word.ends_with("accepted") => Measure::RaceAccepted,
        Rule::race_result => Measure::RaceRejected,
        Rule::in_force => Measure::InForce(setup::edit(children.next())?),
        Rule::config_versions => Measure::ConfigVersions,
        Rule::diverged => Measure::Diverged,
        Rule::accepting => Measure::Accepting(children.text()),
        Rule::received => Measure::Received(children.text()),
        Rule::ready => Measure::Ready,
        Rule::seen => {
            let vm = children.text();
            Measure::Seen(vm, member_state(&children.text()))
        }
        Rule::verdicts => Measure::Verdicts(children.text()),
        Rule::in_progress => Measure::InProgress(children.text()),
        Rule::unsnapshotted => Measure::Unsnapshotted(children.text()),
        _ => {
            let name = children.text();
            Measure::Metric(name, inner_text(children.next()))
        }
    };
    Ok(measure)
}

fn member_state(word: &str) -> MemberState {
    match word {
        "alive" => MemberState::Alive,
        "suspected" => MemberState::Suspected,
        "draining" => MemberState::Draining,
        _ => MemberState::Gone,
    }
}

fn engine_measure(word: &str) -> EngineMeasure {
    match word {
        "load-orders" => EngineMeasure::LoadOrders,
        "unload-orders" => EngineMeasure::UnloadOrders,
        "refused-orders" => EngineMeasure::RefusedOrders,
        "overcommitted" => EngineMeasure::Overcommitted,
        _ => EngineMeasure::HeldBytes,
    }
}

fn model_measure(word: &str) -> ModelMeasure {
    match word {
        "loads" => ModelMeasure::Loads,
        "loaded" => ModelMeasure::Loaded,
        "resident" => ModelMeasure::Resident,
        "decided" => ModelMeasure::Decided,
        "proposed" => ModelMeasure::Proposed,
        _ => ModelMeasure::Routable,
    }
}
