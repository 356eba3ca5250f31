//! Parsing of the statements about the cluster and its configuration.

use pest::iterators::Pair;

use crate::ast::EngineGroup;
use crate::ast::Publication;
use crate::ast::Setup;
use crate::ast::StandinKind;
use crate::ast::Statement;
use crate::ast::VmSelector;
use crate::errors::Result;
use crate::parser::grammar::Rule;
use crate::parser::requests::selector;
use crate::parser::words::Children;
use crate::parser::words::inner_number;
use crate::parser::words::inner_text;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;

pub(super) fn setup(pair: Pair<'_, Rule>) -> Result<Setup> {
    let rule = pair.as_rule();
    let mut children = Children::of(pair);
    let setup = match rule {
        Rule::vms => Setup::Vms(children.number()?),
        Rule::zones => Setup::Zones(children.texts()),
        Rule::engines => Setup::Engines(engine_group(children)?),
        Rule::service => Setup::Service(children.text(), children.number()?),
        Rule::setting => Setup::Setting(children.text(), children.text(), children.text()),
        Rule::standin => {
            let kind = standin_kind(&children.text());
            Setup::Standin(kind, children.text(), children.text())
        }
        other => unreachable!("{other:?} is no statement"),
    };
    Ok(setup)
}

fn engine_group(mut children: Children<'_>) -> Result<EngineGroup> {
    let mut group = EngineGroup {
        group: children.text(),
        count: children.number()?,
        checks_fence: true,
        memory_bytes: None,
        slots: None,
    };
    for option in children.rest() {
        let option = Children::of(option).next();
        match option.as_rule() {
            Rule::checks_fence => group.checks_fence = inner_text(option) == "true",
            Rule::memory_bytes => group.memory_bytes = Some(inner_number(option)?),
            _ => group.slots = Some(inner_number(option)?),
        }
    }
    Ok(group)
}

fn standin_kind(word: &str) -> StandinKind {
    match word {
        "log" => StandinKind::Log,
        "weights" => StandinKind::Weights,
        "vmlist" => StandinKind::VmList,
        "engine" => StandinKind::Engine,
        _ => StandinKind::Service,
    }
}

pub(super) fn publish(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let edit = edit(children.next())?;
    let selector = children.next_if(Rule::at).map_or(VmSelector::All, selector);
    Ok(Statement::Publish(Publication { edit, selector }))
}

pub(super) fn race(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let mut publication = || -> Result<Publication> {
        Ok(Publication {
            edit: edit(children.next())?,
            selector: selector(children.next()),
        })
    };
    Ok(Statement::Race(publication()?, publication()?))
}

pub(super) fn edit(pair: Pair<'_, Rule>) -> Result<ConfigEdit> {
    let kind = Children::of(pair).next();
    let rule = kind.as_rule();
    let mut children = Children::of(kind);
    let edit = match rule {
        Rule::edit_class => ConfigEdit::PutClass(ClassTarget {
            class: ClassName::from(children.text()),
            answer_within_ms: children.number()?,
        }),
        Rule::edit_model => ConfigEdit::PutModel(ModelSpec {
            model: ModelName::from(children.text()),
            group: GroupName::from(children.text()),
            bytes: children.number()?,
            base: children
                .next_if(Rule::base)
                .map(|base| ModelName::from(inner_text(base))),
        }),
        Rule::edit_service => ConfigEdit::PutService(ServiceSpec {
            service: GroupName::from(children.text()),
            idempotent_paths: children.rest().map(inner_text).collect(),
        }),
        _ => removal(children),
    };
    Ok(edit)
}

fn removal(mut children: Children<'_>) -> ConfigEdit {
    let kind = children.text();
    let name = children.text();
    match kind.as_str() {
        "class" => ConfigEdit::RemoveClass(ClassName::from(name)),
        "model" => ConfigEdit::RemoveModel(ModelName::from(name)),
        _ => ConfigEdit::RemoveService(GroupName::from(name)),
    }
}
