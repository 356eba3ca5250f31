//! Parsing of the statements about requests and their endings.

use pest::iterators::Pair;

use crate::ast::Ending;
use crate::ast::RefusalPattern;
use crate::ast::SendRequests;
use crate::ast::Statement;
use crate::ast::VmSelector;
use crate::ast::Work;
use crate::errors::Result;
use crate::parser::grammar::Rule;
use crate::parser::words::Children;
use crate::parser::words::inner_number;
use crate::parser::words::inner_text;

pub(super) fn send(pair: Pair<'_, Rule>) -> Result<SendRequests> {
    let is_burst = pair.as_rule() == Rule::burst;
    let mut children = Children::of(pair);
    let name = children.text();
    let count = if is_burst { children.number()? } else { 1 };
    let mut send = SendRequests {
        name,
        count,
        selector: selector(children.next()),
        work: work(children.next())?,
        class: None,
        timeout_ms: None,
        key: None,
        body: None,
    };
    for option in children.rest() {
        let option = Children::of(option).next();
        match option.as_rule() {
            Rule::class => send.class = Some(inner_text(option)),
            Rule::timeout_ms => send.timeout_ms = Some(inner_number(option)?),
            Rule::key => send.key = Some(inner_text(option)),
            _ => send.body = Some(inner_text(option)),
        }
    }
    Ok(send)
}

/// Parses the VMs that an `at` clause selects.
pub(super) fn selector(pair: Pair<'_, Rule>) -> VmSelector {
    let selector = Children::of(pair).next();
    let kind = Children::of(selector).next();
    match kind.as_rule() {
        Rule::all => VmSelector::All,
        Rule::not => VmSelector::Not(inner_text(kind)),
        _ => VmSelector::Vm(kind.as_str().to_owned()),
    }
}

fn work(pair: Pair<'_, Rule>) -> Result<Work> {
    let kind = Children::of(pair).next();
    let rule = kind.as_rule();
    let mut children = Children::of(kind);
    let work = match rule {
        Rule::completion => Work::Completion {
            model: children.text(),
            tokens: children.number()?,
            stream: children.next_if(Rule::stream).is_some(),
        },
        _ => Work::Call {
            service: children.text(),
            method: children.text(),
            path: children.text(),
        },
    };
    Ok(work)
}

pub(super) fn await_exit(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    Ok(Statement::AwaitExit(children.text(), children.number()?))
}

pub(super) fn await_end(pair: Pair<'_, Rule>) -> Result<Statement> {
    let mut children = Children::of(pair);
    let name = children.text();
    Ok(Statement::AwaitEnd(name, ending(children.next())?))
}

pub(super) fn ending(pair: Pair<'_, Rule>) -> Result<Ending> {
    let kind = Children::of(pair).next();
    let rule = kind.as_rule();
    let mut children = Children::of(kind);
    let ending = match rule {
        Rule::whole => Ending::Whole(
            children
                .next_if(Rule::status)
                .map(inner_number)
                .transpose()?,
        ),
        Rule::refused => Ending::Refused(refusal_pattern(children)),
        Rule::cut => Ending::Cut(refusal_pattern(children)),
        Rule::lost => Ending::Lost,
        Rule::answered => Ending::Answered,
        _ => Ending::Ended,
    };
    Ok(ending)
}

fn refusal_pattern(mut children: Children<'_>) -> RefusalPattern {
    RefusalPattern {
        reason: children.next_if(Rule::reason).map(inner_text),
        ran: children.next_if(Rule::ran).map(inner_text),
    }
}
