//! Checks that the pages and sample files in the repository agree with the program.

use fuchsiaslip::cluster::StoredKind;
use fuchsiaslip::core::RefusalReason;
use fuchsiaslip::daemon::Settings;
use fuchsiaslip::events;
use fuchsiaslip::platform::{
    MAX_ENTRY_BYTES,
    decode_worker, //
};
use serde_json::{
    Value,
    json, //
};
use std::collections::HashSet;

fn document(name: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

#[test]
fn every_event_is_in_the_catalogue_with_its_remedy() {
    let catalogue = document("docs/EVENTS.md");
    let mut numbers = HashSet::new();

    for event in events::ALL {
        let row = format!(
            "| E{:03} | {} | {} | {} |",
            event.number, event.level, event.meaning, event.remedy
        );
        assert!(catalogue.contains(&row), "docs/EVENTS.md lacks: {row}");
        assert!(
            numbers.insert(event.number),
            "E{:03} is the number of two events",
            event.number
        );
    }
    let rows = catalogue
        .lines()
        .filter(|line| line.starts_with("| E"))
        .count();
    assert_eq!(
        rows,
        events::ALL.len(),
        "the catalogue has rows of events that do not exist"
    );
}

#[test]
fn every_refusal_reason_is_in_the_operators_page() {
    let page = document("docs/OPERATIONS.md");

    for reason in RefusalReason::ALL {
        let name = format!("`{}`", reason.name());
        assert!(page.contains(&name), "docs/OPERATIONS.md lacks {name}");
        assert_eq!(RefusalReason::from_name(reason.name()), Some(reason));
    }
}

/// Operators look up the `kind` and `reason` of a log line in the pages.
#[test]
fn every_kind_of_stored_value_and_every_reason_is_in_the_pages() {
    let (faults, operations) = (document("docs/FAULTS.md"), document("docs/OPERATIONS.md"));
    let entry = json!({ "service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready",
        "capacity": { "cpu": 1, "mem_mb": 1 }, "labels": ["a"] });
    let with_field = |field: &str, value: Value| {
        let mut entry = entry.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let deeply_nested = format!("{}{}", "[".repeat(40), "]".repeat(40));
    let invalid = [
        vec![b' '; MAX_ENTRY_BYTES + 1],
        deeply_nested.into_bytes(),
        vec![0xff],
        vec![b'{'],
        b"{}".to_vec(),
        with_field("state", json!("down")),
        with_field("service", json!("")),
        with_field("zone", json!("")),
        with_field("address", json!("nowhere")),
        with_field("labels", json!([])),
        with_field("slots", json!(-1)),
    ];

    for kind in StoredKind::ALL {
        let name = format!("| `{}` |", kind.name());
        assert!(faults.contains(&name), "docs/FAULTS.md lacks {name}");
        let name = format!("`{}`", kind.name());
        assert!(
            operations.contains(&name),
            "docs/OPERATIONS.md lacks {name}"
        );
    }
    let mut reasons = HashSet::from(["bad_name", "bad_job", "other_address"]);
    for value in invalid {
        let error = decode_worker("i-1", &value).expect_err("the value is invalid");
        assert!(
            reasons.insert(error.reason()),
            "two values have the reason {}",
            error.reason()
        );
    }
    for reason in reasons {
        let name = format!("`{reason}`");
        assert!(
            operations.contains(&name),
            "docs/OPERATIONS.md lacks {name}"
        );
    }
}

#[test]
fn sample_settings_and_configuration_are_valid() {
    let settings = Settings::parse(&document("examples/fuchsiaslipd.toml"));
    let patch: Result<fuchsiaslip::config::Patch, _> =
        toml::from_str(&document("examples/configuration.toml"));

    assert!(settings.is_ok(), "{settings:?}");
    let next = fuchsiaslip::config::Configuration::default().apply(&patch.unwrap(), "o", 0);
    assert!(next.is_ok(), "{next:?}");
}

#[test]
fn invalid_settings_are_reported_with_line_field_and_remedy() {
    let valid = document("examples/fuchsiaslipd.toml");
    let unknown = Settings::parse(&format!("{valid}\nsurprise = 1\n")).unwrap_err();
    let short_token = Settings::parse(&valid.replace("change-this-secret", "short")).unwrap_err();

    assert_eq!(unknown[0].field, "surprise");
    assert_eq!(unknown[0].line, valid.lines().count() + 2);
    assert_eq!(short_token[0].field, "peer_token");
    assert!(short_token[0].line > 0 && short_token[0].remedy.contains("16 characters"));
}
