//! Execution of the commands.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use apricotdale_admin::AdminClient;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::ConfigView;
use apricotdale_admin::Error as AdminError;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_settings::Problem;
use apricotdale_settings::Settings;
use bpaf::Args;
use bpaf::ParseFailure;
use serde::Serialize;

use crate::arguments::Command;
use crate::arguments::Format;
use crate::arguments::Publication;
use crate::arguments::Target;
use crate::arguments::arguments;
use crate::config_file::ConfigFile;
use crate::edits::MissingEntries;
use crate::edits::edits_between;
use crate::errors::Error;
use crate::errors::FileProblem;
use crate::errors::Result;
use crate::exit::ExitStatus;
use crate::story;
use crate::text::AsText;
use crate::text::edit_line;

/// Largest change ID: the largest integer up to which a program that reads JSON numbers as 64-bit
/// floats represents all integers exactly.
const MAX_CHANGE_ID: u64 = (1 << 53) - 1;

/// Runs the command that the arguments of the process ask for.
///
/// Answers are written to `output`, errors and usage messages to `errors`.
pub fn run(output: &mut dyn Write, errors: &mut dyn Write) -> ExitStatus {
    let arguments = match arguments().run_inner(Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => return print_parse_failure(failure, output, errors),
    };
    let mut session = Session { output };
    match session.run(arguments.command) {
        Ok(status) => status,
        Err(error) => {
            // If standard error can't be written, there is no other place to report the error.
            let _ = writeln!(errors, "{error}");
            error.exit_status()
        }
    }
}

fn print_parse_failure(
    failure: ParseFailure,
    output: &mut dyn Write,
    errors: &mut dyn Write,
) -> ExitStatus {
    let result = match &failure {
        ParseFailure::Stdout(doc, full) => (
            writeln!(output, "{}", doc.monochrome(*full)),
            ExitStatus::Done,
        ),
        ParseFailure::Completion(text) => (write!(output, "{text}"), ExitStatus::Done),
        ParseFailure::Stderr(doc) => (
            writeln!(errors, "{}", doc.monochrome(true)),
            ExitStatus::Usage,
        ),
    };
    match result {
        (Ok(()), status) => status,
        (Err(_), _) => ExitStatus::OutputFailed,
    }
}

struct Session<'a> {
    output: &'a mut dyn Write,
}

#[derive(Serialize)]
struct DryRun<'a> {
    base_version: ConfigVersion,
    edits: &'a [ConfigEdit],
}

impl Session<'_> {
    fn run(&mut self, command: Command) -> Result<ExitStatus> {
        match command {
            Command::Publish {
                target,
                publication,
                remove_missing,
                files,
            } => {
                let file = read_config(&files)?;
                let missing = match remove_missing {
                    true => MissingEntries::Remove,
                    false => MissingEntries::Keep,
                };
                self.publish(target, publication, |config| {
                    edits_between(config, &file, missing)
                })
            }
            Command::SetClass {
                target,
                publication,
                answer_within_ms,
                class,
            } => {
                let class = ClassTarget {
                    class: ClassName::from(class),
                    answer_within_ms,
                };
                self.publish(target, publication, |config| {
                    match config.classes.contains(&class) {
                        true => Vec::new(),
                        false => vec![ConfigEdit::PutClass(class)],
                    }
                })
            }
            Command::Config { target } => self.show(target.format, &client(target).config()?),
            Command::Status { target } => self.show(target.format, &client(target).status()?),
            Command::Models { target } => self.show(target.format, &client(target).models()?),
            Command::Upstreams { target } => self.show(target.format, &client(target).upstreams()?),
            Command::Members { target } => self.show(target.format, &client(target).members()?),
            Command::Explain { target, request } => {
                let request = RequestId::from(request);
                self.show(target.format, &client(target).explain(&request)?)
            }
            Command::Story { request, files } => {
                let lines = story::write_story(&request, &files, self.output)?;
                Ok(match lines {
                    0 => ExitStatus::Refused,
                    _ => ExitStatus::Done,
                })
            }
            Command::Drain { target } => {
                let drained = client(target).drain().map_err(change_error)?;
                self.show(target.format, &drained)
            }
            Command::CheckSettings { file } => self.check_settings(&file),
        }
    }

    fn publish(
        &mut self,
        target: Target,
        publication: Publication,
        edits: impl FnOnce(&ConfigView) -> Vec<ConfigEdit>,
    ) -> Result<ExitStatus> {
        let client = client(target);
        let in_force = client.config()?;
        let edits = edits(&in_force);
        let base_version = match publication.base_version {
            Some(version) => ConfigVersion(version),
            None => in_force.version,
        };
        if publication.dry_run {
            return self.show_dry_run(target.format, base_version, &edits);
        }
        if edits.is_empty() {
            let version = in_force.version;
            return self.show(target.format, &PublishOutcome::Accepted { version });
        }
        let change_id = rand::random_range(1..=MAX_CHANGE_ID);
        let change = PublishRequest {
            operator: publication.operator,
            change_id: Some(change_id),
            base_version,
            edits,
        };
        let outcome = publish_outcome(client.publish(&change), change_id)?;
        self.show(target.format, &outcome)?;
        Ok(match outcome {
            PublishOutcome::Accepted { .. } => ExitStatus::Done,
            PublishOutcome::Rejected { .. } => ExitStatus::Refused,
            PublishOutcome::Unknown { .. } => ExitStatus::OutcomeUnknown,
        })
    }

    fn show_dry_run(
        &mut self,
        format: Format,
        base_version: ConfigVersion,
        edits: &[ConfigEdit],
    ) -> Result<ExitStatus> {
        if format == Format::Json {
            let dry_run = DryRun {
                base_version,
                edits,
            };
            return self.show_json(&dry_run);
        }
        writeln!(
            self.output,
            "base version {base_version}, {} edits",
            edits.len()
        )?;
        for edit in edits {
            writeln!(self.output, "{}", edit_line(edit))?;
        }
        Ok(ExitStatus::Done)
    }

    fn check_settings(&mut self, file: &Path) -> Result<ExitStatus> {
        let settings = Settings::from_file(file)
            .map_err(|problems| Error::BadFile(in_file(file, problems)))?;
        writeln!(
            self.output,
            "the settings of {} are valid",
            settings.vm.name
        )?;
        Ok(ExitStatus::Done)
    }

    fn show<T: AsText + Serialize>(&mut self, format: Format, answer: &T) -> Result<ExitStatus> {
        if format == Format::Json {
            return self.show_json(answer);
        }
        self.output.write_all(answer.as_text().as_bytes())?;
        Ok(ExitStatus::Done)
    }

    fn show_json<T: Serialize>(&mut self, answer: &T) -> Result<ExitStatus> {
        let text = serde_json::to_string(answer)
            .expect("an answer has only types that JSON can represent");
        writeln!(self.output, "{text}")?;
        Ok(ExitStatus::Done)
    }
}

/// Returns the outcome of a publication; a lost answer is an unknown outcome.
fn publish_outcome(
    answer: apricotdale_admin::Result<PublishOutcome>,
    change_id: u64,
) -> Result<PublishOutcome> {
    match answer.map_err(change_error) {
        Err(AdminError::OutcomeUnknown(detail)) => {
            Ok(PublishOutcome::Unknown { change_id, detail })
        }
        answer => Ok(answer?),
    }
}

/// Maps an error of a call that changes something. An answer that can't be decoded, or that reports
/// a fault inside the daemon, does not say whether the change was made.
fn change_error(error: AdminError) -> AdminError {
    match error {
        AdminError::Malformed(detail) | AdminError::Internal(detail) => {
            AdminError::OutcomeUnknown(detail)
        }
        error => error,
    }
}

fn client(target: Target) -> AdminClient {
    AdminClient::new(target.vm, ClientOptions::default())
}

fn read_config(files: &[PathBuf]) -> Result<ConfigFile> {
    let mut all = ConfigFile::default();
    let mut problems = Vec::new();
    for file in files {
        let added = match fs::read_to_string(file) {
            Ok(text) => all.add_text(&text),
            Err(error) => {
                let detail = format!("can't be read: {error}");
                vec![Problem::of_section("", None, detail)]
            }
        };
        problems.extend(in_file(file, added));
    }
    match problems.is_empty() {
        true => Ok(all),
        false => Err(Error::BadFile(problems)),
    }
}

fn in_file(file: &Path, problems: Vec<Problem>) -> Vec<FileProblem> {
    let with_file = |problem| FileProblem {
        file: file.to_owned(),
        problem,
    };
    problems.into_iter().map(with_file).collect()
}
