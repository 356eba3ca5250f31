//! Text format of answers.

use std::fmt::Display;

use apricotdale_admin::ConfigView;
use apricotdale_admin::DrainView;
use apricotdale_admin::Explanation;
use apricotdale_admin::MembersView;
use apricotdale_admin::ModelsView;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::ReplicaLine;
use apricotdale_admin::Status;
use apricotdale_admin::UpstreamLine;
use apricotdale_admin::UpstreamsView;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;

use crate::table::Table;

/// Text of a table cell without a value.
const NO_VALUE: &str = "-";

/// Answer that can be printed as text for people.
pub(crate) trait AsText {
    /// Renders the answer as complete lines.
    fn as_text(&self) -> String;
}

impl AsText for Status {
    fn as_text(&self) -> String {
        let mut table = Table::new(&["vm", self.vm.as_str()]);
        let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
        row("region", self.region.to_string());
        row("availability zone", self.zone.to_string());
        row("program version", self.program_version.clone());
        // The request IDs that this process gives begin with this number.
        row("process", format!("{:016x}", self.process_id));
        row("uptime ms", self.uptime_ms.to_string());
        row("ready", yes_or_no(self.ready));
        row("not ready because", optional(&self.not_ready_because));
        row("draining", yes_or_no(self.draining));
        row("requests in progress", self.in_progress.to_string());
        row("control stream replayed to", self.replayed.to_string());
        row("config version", self.config_version.to_string());
        row(
            "last read of the log, ms ago",
            optional(&self.log_read_age_ms),
        );
        table.render()
    }
}

impl AsText for ConfigView {
    fn as_text(&self) -> String {
        let mut classes = Table::new(&["CLASS", "ANSWER WITHIN MS"]);
        for target in &self.classes {
            classes.row([
                target.class.to_string(),
                target.answer_within_ms.to_string(),
            ]);
        }
        let mut models = Table::new(&["MODEL", "BASE", "GROUP", "BYTES"]);
        for spec in &self.models {
            models.row([
                spec.model.to_string(),
                optional(&spec.base),
                spec.group.to_string(),
                spec.bytes.to_string(),
            ]);
        }
        let mut services = Table::new(&["SERVICE", "IDEMPOTENT PATHS"]);
        for spec in &self.services {
            services.row([spec.service.to_string(), spec.idempotent_paths.join(", ")]);
        }
        format!(
            "version {}, control stream replayed to {}\n\n{}\n{}\n{}",
            self.version,
            self.replayed,
            classes.render(),
            models.render(),
            services.render()
        )
    }
}

impl AsText for ModelsView {
    fn as_text(&self) -> String {
        let mut table = Table::new(&[
            "MODEL", "GROUP", "BYTES", "WAITING", "RUNNING", "ENGINE", "STATE", "FENCE", "OWNER",
        ]);
        for line in &self.models {
            let mut add = |replica: Option<&ReplicaLine>| {
                table.row([
                    line.model.to_string(),
                    line.group.to_string(),
                    line.bytes.to_string(),
                    line.waiting.to_string(),
                    line.running.to_string(),
                    optional(&replica.map(|replica| &replica.engine)),
                    optional(&replica.map(|replica| replica.state.as_str())),
                    optional(&replica.map(|replica| replica.fence)),
                    optional(&replica.and_then(|replica| replica.owner.as_ref())),
                ]);
            };
            if line.replicas.is_empty() {
                add(None);
            }
            for replica in &line.replicas {
                add(Some(replica));
            }
        }
        table.render()
    }
}

impl AsText for UpstreamsView {
    fn as_text(&self) -> String {
        let mut table = Table::new(&[
            "UPSTREAM",
            "ROLE",
            "GROUP",
            "ZONE",
            "ADDRESS",
            "LISTED",
            "ACCEPTS",
            "USED BYTES",
            "OF BYTES",
            "RUNNING",
            "WAITING",
            "SLOTS",
            "REPORT MS AGO",
            "CHECKS FENCE",
        ]);
        for line in &self.upstreams {
            table.row(upstream_cells(line));
        }
        format!(
            "list read {} ms ago\n\n{}",
            optional(&self.list_age_ms),
            table.render()
        )
    }
}

fn upstream_cells(line: &UpstreamLine) -> [String; 14] {
    let engine = line.engine.as_ref();
    [
        line.upstream.to_string(),
        role_name(line.role).to_owned(),
        line.group.to_string(),
        line.zone.to_string(),
        line.address.to_string(),
        state_name(line.state).to_owned(),
        yes_or_no(line.accepts),
        optional(&engine.map(|engine| engine.used_bytes)),
        optional(&engine.map(|engine| engine.capacity_bytes)),
        optional(&engine.map(|engine| engine.running)),
        optional(&engine.map(|engine| engine.waiting)),
        optional(&engine.map(|engine| engine.slots)),
        optional(&engine.and_then(|engine| engine.report_age_ms)),
        optional(&engine.map(|engine| yes_or_no(engine.checks_fence))),
    ]
}

impl AsText for MembersView {
    fn as_text(&self) -> String {
        let mut table = Table::new(&[
            "VM",
            "ZONE",
            "STATE",
            "LISTED",
            "EPOCH",
            "REPLAYED",
            "HEARD MS AGO",
            "DIVERGED",
        ]);
        for line in &self.members {
            table.row([
                line.vm.to_string(),
                line.zone.to_string(),
                line.state.as_str().to_owned(),
                optional(&line.listed.map(state_name)),
                optional(&line.epoch),
                optional(&line.replayed),
                optional(&line.heard_age_ms),
                yes_or_no(line.diverged),
            ]);
        }
        format!(
            "list read {} ms ago\n\n{}",
            optional(&self.list_age_ms),
            table.render()
        )
    }
}

impl AsText for Explanation {
    fn as_text(&self) -> String {
        let mut table = Table::new(&["AFTER MS", "STEP", "UPSTREAM", "DETAIL"]);
        for step in &self.steps {
            table.row([
                step.after_ms.to_string(),
                step.step.clone(),
                optional(&step.upstream),
                step.detail.clone(),
            ]);
        }
        format!(
            "request {} at VM {}, class {}, arrived at Unix time {} ms\n\n{}",
            self.request,
            self.vm,
            optional(&self.class),
            self.arrived_unix_ms,
            table.render()
        )
    }
}

impl AsText for DrainView {
    fn as_text(&self) -> String {
        let state = match self.was_draining {
            true => "was already draining",
            false => "drains now",
        };
        format!(
            "the daemon {state}: {} requests in progress, at most {} ms\n",
            self.in_progress, self.grace_ms
        )
    }
}

impl AsText for PublishOutcome {
    fn as_text(&self) -> String {
        match self {
            Self::Accepted { version } => format!("accepted: version {version} is in force\n"),
            // The detail is printed alone if it already begins with the reason.
            Self::Rejected { reason, detail } if detail.starts_with(reason.as_str()) => {
                format!("rejected: {detail}\n")
            }
            Self::Rejected { reason, detail } => format!("rejected: {reason}: {detail}\n"),
            Self::Unknown { change_id, detail } => format!(
                "unknown: change {change_id} may be in force: {detail}\nRun the same command \
                 again: it publishes only what is still missing then.\n"
            ),
        }
    }
}

/// Describes an edit in one line, without a newline.
pub(crate) fn edit_line(edit: &ConfigEdit) -> String {
    match edit {
        ConfigEdit::PutClass(target) => {
            let ms = target.answer_within_ms;
            format!("put class {}: answer within {ms} ms", target.class)
        }
        ConfigEdit::RemoveClass(class) => format!("remove class {class}"),
        ConfigEdit::PutModel(spec) => format!(
            "put model {}: base {}, group {}, {} bytes",
            spec.model,
            optional(&spec.base),
            spec.group,
            spec.bytes
        ),
        ConfigEdit::RemoveModel(model) => format!("remove model {model}"),
        ConfigEdit::PutService(spec) => format!(
            "put service {}: idempotent paths {}",
            spec.service,
            spec.idempotent_paths.join(", ")
        ),
        ConfigEdit::RemoveService(service) => format!("remove service {service}"),
    }
}

fn optional<T: Display>(value: &Option<T>) -> String {
    match value {
        Some(value) => value.to_string(),
        None => NO_VALUE.to_owned(),
    }
}

fn yes_or_no(value: bool) -> String {
    let word = if value { "yes" } else { "no" };
    word.to_owned()
}

fn role_name(role: VmRole) -> &'static str {
    match role {
        VmRole::Entry => "entry",
        VmRole::Engine => "engine",
        VmRole::Service => "service",
    }
}

fn state_name(state: VmState) -> &'static str {
    match state {
        VmState::Live => "live",
        VmState::Leaving => "leaving",
        VmState::Gone => "gone",
    }
}
