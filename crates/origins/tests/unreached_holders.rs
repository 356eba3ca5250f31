//! Streams that are resumed at a VM which reaches none of the others.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Resumption;
use apricotdale_origins::ResumptionStep;
use rstest::rstest;

const BEGIN_MS: u64 = 1_000;
const AFTER_TIMEOUT_MS: u64 = BEGIN_MS + 400;

fn only() -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: Some(SoftwareVersion::from("v1")),
        upstream: None,
    }
}

/// Guards against a VM out of touch that takes the only version that it knows for the one which
/// another VM began a stream with: its list lacks an engine that has just come.
#[rstest]
#[case::nobody_answers(4, None, false)]
#[case::one_knows_nothing(4, Some(Evidence::Nothing), false)]
#[case::one_agrees(4, Some(Evidence::OnlyOrigin(only())), true)]
#[case::one_contradicts(4, Some(Evidence::SeveralVersions), false)]
#[case::only_vm(0, None, true)]
fn only_version(#[case] asked: usize, #[case] answer: Option<Evidence>, #[case] resumes: bool) {
    let names: Vec<VmName> = (0..asked)
        .map(|it| VmName::from(format!("vm-{it}")))
        .collect();
    let mut search = Resumption::new(BEGIN_MS, Evidence::OnlyOrigin(only()), names.clone());
    let reason = match &answer {
        None | Some(Evidence::Nothing) => OriginUnknown::NoEvidence,
        Some(_) => OriginUnknown::SeveralVersions,
    };
    if let Some(evidence) = answer {
        search.record_answer(&names[0], evidence);
    }
    let expected = match resumes {
        true => ResumptionStep::Resume(only()),
        false => ResumptionStep::Refuse(reason),
    };
    assert_eq!(search.decide(AFTER_TIMEOUT_MS), expected);
    assert!(!search.is_recorded());
}

/// Guards against a VM out of step that takes the answers of VMs which know nothing for a confirmation
/// of its own list, while the one that began the stream is silent, and against refusing a stream that
/// no VM can have begun at another version.
#[rstest]
#[case::one_silent(&[Some(Evidence::Nothing), Some(Evidence::Nothing), None], false)]
#[case::one_confirms(&[Some(Evidence::Nothing), Some(Evidence::OnlyOrigin(only())), None], true)]
#[case::none_silent(&[Some(Evidence::Nothing), Some(Evidence::Nothing)], true)]
fn unknowing_vms(#[case] answers: &[Option<Evidence>], #[case] resumes: bool) {
    let names = (0..answers.len()).map(|it| VmName::from(format!("vm-{it}")));
    let names: Vec<VmName> = names.collect();
    let mut search = Resumption::new(BEGIN_MS, Evidence::OnlyOrigin(only()), names.clone());
    for (name, answer) in names.iter().zip(answers) {
        if let Some(evidence) = answer {
            search.record_answer(name, evidence.clone());
        }
    }
    let expected = match resumes {
        true => ResumptionStep::Resume(only()),
        false => ResumptionStep::Refuse(OriginUnknown::NoEvidence),
    };
    assert_eq!(search.decide(AFTER_TIMEOUT_MS), expected);
}
