//! Execution of the statements that act on the cluster.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::ast::Alias;
use crate::ast::AliasRole;
use crate::ast::Ending;
use crate::ast::ListedState;
use crate::ast::ProcessVerb;
use crate::ast::Publication;
use crate::ast::RefusalPattern;
use crate::ast::SendRequests;
use crate::ast::StandinKind;
use crate::ast::VmSelector;
use crate::ast::Work;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::fault_body;
use crate::layout;
use crate::run::endings;
use crate::run::execution::Execution;
use crate::run::execution::SentRequest;
use apricotdale_admin::AdminClient;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::refusal::Ran;
use apricotdale_core::vm_list::VmState;
use apricotdale_launcher::caller;
use apricotdale_launcher::caller::CallerRequest;
use apricotdale_launcher::cluster::LOG;
use apricotdale_launcher::cluster::records;
use apricotdale_launcher::poll::MAX_POLLS;
use apricotdale_launcher::poll::POLL_INTERVAL;
use apricotdale_launcher::poll::poll_until;
use apricotdale_launcher::process::Exit;

/// Upper bound of the wait for an answer, so that a run with a hanging request ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Names of the two operators of a race.
const RACE_OPERATORS: [&str; 2] = ["left", "right"];

impl Execution {
    pub(super) fn publish(&mut self, publication: &Publication) -> Result<Option<String>> {
        let vm = self.first_selected_vm(&publication.selector)?;
        let outcome = self
            .cluster()
            .publish(&vm, vec![publication.edit.clone()])?;
        match outcome {
            PublishOutcome::Accepted { version } => Ok(Some(format!("version {version}"))),
            other => Err(Error::failed(format!(
                "the change was not accepted: {other:?}"
            ))),
        }
    }

    pub(super) fn race(
        &mut self,
        left: &Publication,
        right: &Publication,
    ) -> Result<Option<String>> {
        let left_admin = self
            .cluster()
            .admin(&self.first_selected_vm(&left.selector)?)?;
        let right_admin = self
            .cluster()
            .admin(&self.first_selected_vm(&right.selector)?)?;
        let base_version = left_admin.config()?.version;
        let (left, right) = thread::scope(|scope| {
            let left = scope.spawn(|| publish_edit(&left_admin, 0, base_version, &left.edit));
            let right = scope.spawn(|| publish_edit(&right_admin, 1, base_version, &right.edit));
            (join(left), join(right))
        });
        self.race = vec![left?, right?];
        Ok(Some(format!("{:?}", self.race)))
    }

    pub(super) fn alias(&mut self, alias: &Alias) -> Result<Option<String>> {
        let condition = format!("a load of {} is decided", alias.model);
        let log = self.cluster().standin(LOG)?;
        let intent = poll_until(&condition, MAX_POLLS, || {
            // Several VMs may propose at the same time. Only the one whose intent was accepted has
            // sent an order.
            let decided = records::decided_loads(log)?;
            let mut intents = records::load_intents(log)?
                .into_iter()
                .filter(|(_, intent)| intent.model.as_str() == alias.model)
                .filter(|(offset, _)| decided.contains(offset));
            Ok(intents.next_back().map(|(_, intent)| intent))
        })?;
        let real = match alias.role {
            AliasRole::Proposer => intent.proposer.vm.to_string(),
            AliasRole::Engine => intent.engine.to_string(),
        };
        let note = format!("{} is {real}", alias.name);
        self.aliases.insert(alias.name.clone(), real);
        Ok(Some(note))
    }

    pub(super) fn send(&mut self, send: &SendRequests) -> Result<Option<String>> {
        let request = caller_request(send);
        let mut sent = Vec::new();
        for vm in self.selected_vms(&send.selector)? {
            for _ in 0..send.count {
                sent.push(SentRequest {
                    vm: vm.name.clone(),
                    answer: caller::send(vm.addresses.callers, request.clone()),
                });
            }
        }
        let note = match send.selector {
            VmSelector::Vm(_) => None,
            _ => Some(format!("{} requests", sent.len())),
        };
        self.requests.insert(send.name.clone(), sent);
        Ok(note)
    }

    pub(super) fn insist(&mut self, send: &SendRequests) -> Result<Option<String>> {
        let started = Instant::now();
        let mut attempts = 0;
        while started.elapsed() < ANSWER_TIMEOUT {
            attempts += 1;
            self.send(send)?;
            let mut is_refused = false;
            for sent in self.sent(&send.name) {
                let outcome = sent.answer.wait_end(ANSWER_TIMEOUT)?;
                is_refused |= endings::matches_ending(&outcome, &refused_not_run());
                if !is_refused && !outcome.is_whole() {
                    let detail = format!("{} at {}: {outcome}", send.name, sent.vm);
                    return Err(Error::failed(detail));
                }
            }
            if !is_refused {
                return Ok(Some(format!("complete at attempt {attempts}")));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(Error::failed(format!(
            "{} was refused at every attempt",
            send.name
        )))
    }

    pub(super) fn await_begun(&mut self, name: &str) -> Result<Option<String>> {
        for sent in self.sent(name) {
            if sent.answer.wait_events(1, ANSWER_TIMEOUT)? == 0 {
                let outcome = sent.answer.wait_end(ANSWER_TIMEOUT)?;
                return Err(Error::failed(format!("{name} at {} {outcome}", sent.vm)));
            }
        }
        Ok(None)
    }

    pub(super) fn await_end(&mut self, name: &str, ending: &Ending) -> Result<Option<String>> {
        let mut notes = Vec::new();
        for sent in self.sent(name) {
            let outcome = sent.answer.wait_end(ANSWER_TIMEOUT)?;
            if !endings::matches_ending(&outcome, ending) {
                return Err(Error::failed(format!("{name} at {}: {outcome}", sent.vm)));
            }
            notes.push(outcome.to_string());
        }
        notes.sort();
        notes.dedup();
        Ok(Some(notes.join("; ")))
    }

    pub(super) fn await_exit(&mut self, name: &str, code: i32) -> Result<Option<String>> {
        let vm = self.resolve(name);
        match self.cluster().wait_exit(&vm, MAX_POLLS)? {
            Exit::Code(found) if found == code => Ok(None),
            other => Err(Error::failed(format!("{vm} exited with {other:?}"))),
        }
    }

    pub(super) fn fault(&mut self, target: &str, words: &[String]) -> Result<Option<String>> {
        let name = self.resolve(target);
        let body = fault_body(standin_kind_of(&name), words).map_err(Error::failed)?;
        self.cluster().standin(&name)?.fault(&body)?;
        Ok(None)
    }

    pub(super) fn trim(&mut self, stream: &str) -> Result<Option<String>> {
        let log = self.cluster().standin(LOG)?;
        let (_, end) = records::read_stream(log, stream)?;
        log.post("/standin/trim", &json!({"stream": stream, "before": end}))?;
        Ok(Some(format!("records before {end} have expired")))
    }

    pub(super) fn process(&mut self, verb: ProcessVerb, name: &str) -> Result<Option<String>> {
        let real = self.resolve(name);
        let cluster = self.cluster_mut();
        match verb {
            ProcessVerb::Kill => cluster.kill(&real)?,
            ProcessVerb::Freeze => cluster.freeze(&real)?,
            ProcessVerb::Wake => cluster.wake(&real)?,
            ProcessVerb::Terminate => cluster.terminate(&real)?,
            ProcessVerb::Restart => cluster.restart(&real)?,
        }
        Ok(None)
    }

    pub(super) fn list(&mut self, name: &str, state: ListedState) -> Result<Option<String>> {
        let real = self.resolve(name);
        let state = match state {
            ListedState::Live => VmState::Live,
            ListedState::Leaving => VmState::Leaving,
            ListedState::Gone => VmState::Gone,
        };
        self.cluster_mut().list_state(&real, state)?;
        Ok(None)
    }

    fn first_selected_vm(&self, selector: &VmSelector) -> Result<String> {
        let vms = self.selected_vms(selector)?;
        let first = vms.first().ok_or_else(|| Error::failed("no VM runs"))?;
        Ok(first.name.clone())
    }
}

fn publish_edit(
    admin: &AdminClient,
    side: usize,
    base_version: ConfigVersion,
    edit: &ConfigEdit,
) -> Result<PublishOutcome> {
    let request = PublishRequest {
        operator: RACE_OPERATORS[side].to_owned(),
        change_id: None,
        base_version,
        edits: vec![edit.clone()],
    };
    Ok(admin.publish(&request)?)
}

fn join<T>(handle: thread::ScopedJoinHandle<'_, Result<T>>) -> Result<T> {
    handle
        .join()
        .unwrap_or_else(|_| Err(Error::failed("a publisher panicked")))
}

fn caller_request(send: &SendRequests) -> CallerRequest {
    let mut request = match &send.work {
        Work::Completion {
            model,
            tokens,
            stream,
        } => CallerRequest::completion(model, *tokens, *stream),
        Work::Call {
            service,
            method,
            path,
        } => CallerRequest::service_call(service, method, path, send.body.clone()),
    };
    if let Some(class) = &send.class {
        request = request.header("X-Request-Class", class);
    }
    if let Some(timeout_ms) = send.timeout_ms {
        request = request.header("X-Request-Timeout-Ms", timeout_ms.to_string());
    }
    if let Some(key) = &send.key {
        request = request.header("Idempotency-Key", key);
    }
    request
}

/// Returns the ending of a request that its caller may retry.
fn refused_not_run() -> Ending {
    Ending::Refused(RefusalPattern {
        reason: None,
        ran: Some(Ran::NotRun.as_str().to_owned()),
    })
}

fn standin_kind_of(name: &str) -> StandinKind {
    match name {
        layout::LOG => StandinKind::Log,
        layout::WEIGHTS => StandinKind::Weights,
        layout::VM_LIST => StandinKind::VmList,
        _ if name.starts_with("engine") => StandinKind::Engine,
        _ => StandinKind::Service,
    }
}
