//! Edits that change the configuration in force into that of a file.

use apricotdale_admin::ConfigView;
use apricotdale_core::config::ConfigEdit;

use crate::config_file::ConfigFile;

/// Treatment of entries that are in force but not in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingEntries {
    /// Leave them in force.
    Keep,
    /// Remove them.
    Remove,
}

/// Returns the edits that make the entries of `file` the configuration in force.
///
/// Each edit is valid after the ones before it: a base model is added before its adapters and
/// removed after them.
pub fn edits_between(
    in_force: &ConfigView,
    file: &ConfigFile,
    missing: MissingEntries,
) -> Vec<ConfigEdit> {
    let mut edits = Vec::new();
    put_classes(in_force, file, &mut edits);
    put_models(in_force, file, &mut edits);
    put_services(in_force, file, &mut edits);
    if missing == MissingEntries::Remove {
        remove_missing(in_force, file, &mut edits);
    }
    edits
}

fn put_classes(in_force: &ConfigView, file: &ConfigFile, edits: &mut Vec<ConfigEdit>) {
    let changed = file
        .classes
        .values()
        .filter(|class| !in_force.classes.contains(class));
    edits.extend(changed.cloned().map(ConfigEdit::PutClass));
}

fn put_models(in_force: &ConfigView, file: &ConfigFile, edits: &mut Vec<ConfigEdit>) {
    let changed = || {
        file.models
            .values()
            .filter(|model| !in_force.models.contains(model))
    };
    let models = changed().filter(|model| model.base.is_none());
    let adapters = changed().filter(|model| model.base.is_some());
    edits.extend(models.chain(adapters).cloned().map(ConfigEdit::PutModel));
}

fn put_services(in_force: &ConfigView, file: &ConfigFile, edits: &mut Vec<ConfigEdit>) {
    let changed = file
        .services
        .values()
        .filter(|service| !in_force.services.contains(service));
    edits.extend(changed.cloned().map(ConfigEdit::PutService));
}

fn remove_missing(in_force: &ConfigView, file: &ConfigFile, edits: &mut Vec<ConfigEdit>) {
    for target in &in_force.classes {
        if !file.classes.contains_key(&target.class) {
            edits.push(ConfigEdit::RemoveClass(target.class.clone()));
        }
    }
    let missing = || {
        let models = in_force.models.iter();
        models.filter(|spec| !file.models.contains_key(&spec.model))
    };
    let adapters = missing().filter(|spec| spec.base.is_some());
    let models = missing().filter(|spec| spec.base.is_none());
    for spec in adapters.chain(models) {
        edits.push(ConfigEdit::RemoveModel(spec.model.clone()));
    }
    for spec in &in_force.services {
        if !file.services.contains_key(&spec.service) {
            edits.push(ConfigEdit::RemoveService(spec.service.clone()));
        }
    }
}
