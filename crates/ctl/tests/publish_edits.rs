//! Edits that change the configuration in force into that of a file.

use apricotdale_admin::ConfigView;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Offset;
use apricotdale_ctl::ConfigFile;
use apricotdale_ctl::MissingEntries;
use apricotdale_ctl::edits_between;
use rstest::rstest;

fn in_force() -> ConfigView {
    let model = |name: &str, base: Option<&str>| ModelSpec {
        model: name.into(),
        base: base.map(Into::into),
        group: "telaio".into(),
        bytes: 10,
    };
    ConfigView {
        version: ConfigVersion(7),
        replayed: Offset(9),
        classes: vec![ClassTarget {
            class: "quick".into(),
            answer_within_ms: 900,
        }],
        models: vec![model("a-base", None), model("z-adapter", Some("a-base"))],
        services: vec![ServiceSpec {
            service: "bancone".into(),
            idempotent_paths: vec!["/stock".to_owned()],
        }],
    }
}

const SAME: &str = "\
[class quick]
answer_within_ms = 900
[model a-base]
group = telaio
bytes = 10
[model z-adapter]
base = a-base
group = telaio
bytes = 10
[service bancone]
idempotent_paths = /stock
";

/// Returns each edit as its kind and the name of its entry.
fn edits(text: &str, missing: MissingEntries) -> Vec<String> {
    let file = ConfigFile::from_text(text).expect("the file is valid");
    let edits = edits_between(&in_force(), &file, missing);
    let word = |edit| {
        let value: serde_json::Value = serde_json::to_value(edit).unwrap();
        let (kind, what) = value.as_object().unwrap().iter().next().unwrap();
        let fields = ["class", "model", "service"];
        let name = fields
            .iter()
            .find_map(|field| what.get(field))
            .unwrap_or(what);
        format!("{kind} {}", name.as_str().unwrap())
    };
    edits.iter().map(word).collect()
}

#[rstest]
#[case::same(MissingEntries::Keep)]
#[case::same_and_remove(MissingEntries::Remove)]
fn same_configuration(#[case] missing: MissingEntries) {
    assert!(edits(SAME, missing).is_empty());
}

#[rstest]
#[case::target("= 900", "= 800", "put_class quick")]
#[case::base_bytes(
    "telaio\nbytes = 10\n[model z",
    "telaio\nbytes = 11\n[model z",
    "put_model a-base"
)]
#[case::paths("/stock", "/stock, /bolts", "put_service bancone")]
fn changed_entry(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert_eq!(
        edits(&SAME.replace(from, to), MissingEntries::Keep),
        [expected]
    );
}

/// Guards against edits in the order of names: an adapter whose name sorts before its new base
/// model would be added first, and the valid file would be rejected because the base is unknown.
#[test]
fn base_before_adapter() {
    let text = "\
[model a-new]
base = z-new
group = telaio
bytes = 1
[model z-new]
group = telaio
bytes = 9
";
    let expected = ["put_model z-new", "put_model a-new"];
    assert_eq!(edits(text, MissingEntries::Keep), expected);
}

#[test]
fn adapter_removed_first() {
    let expected = [
        "remove_class quick",
        "remove_model z-adapter",
        "remove_model a-base",
        "remove_service bancone",
    ];
    assert_eq!(edits("", MissingEntries::Remove), expected);
}

#[test]
fn missing_entries_kept() {
    assert!(edits("", MissingEntries::Keep).is_empty());
}
