//! The documents and the program agree.

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
            "E{:03} stands twice",
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
        "the catalogue has rows of events that are gone"
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

/// Someone reads `kind` and `reason` of a line and looks them up.
#[test]
fn every_kind_of_stored_value_is_in_the_pages() {
    let (faults, operations) = (document("docs/FAULTS.md"), document("docs/OPERATIONS.md"));
    let entry = json!({ "service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready",
        "capacity": { "cpu": 1, "mem_mb": 1 }, "labels": ["a"] });
    let with = |field: &str, value: Value| {
        let mut entry = entry.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    let wrong = [
        vec![b' '; MAX_ENTRY_BYTES + 1],
        deep.into_bytes(),
        vec![0xff],
        vec![b'{'],
        b"{}".to_vec(),
        with("state", json!("down")),
        with("service", json!("")),
        with("zone", json!("")),
        with("address", json!("nowhere")),
        with("labels", json!([])),
        with("slots", json!(-1)),
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
    for value in wrong {
        let error = decode_worker("i-1", &value).expect_err("it is wrong");
        assert!(reasons.insert(error.reason()), "twice: {}", error.reason());
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
fn sample_settings_and_configuration_are_right() {
    let settings = Settings::parse(&document("examples/fuchsiaslipd.toml"));
    let patch: Result<fuchsiaslip::config::Patch, _> =
        toml::from_str(&document("examples/configuration.toml"));

    assert!(settings.is_ok(), "{settings:?}");
    let next = fuchsiaslip::config::Configuration::default().apply(&patch.unwrap(), "o", 0);
    assert!(next.is_ok(), "{next:?}");
}

#[test]
fn wrong_settings_name_line_field_and_remedy() {
    let right = document("examples/fuchsiaslipd.toml");
    let unknown = Settings::parse(&format!("{right}\nsurprise = 1\n")).unwrap_err();
    let short = Settings::parse(&right.replace("change-this-secret", "short")).unwrap_err();

    assert_eq!(unknown[0].field, "surprise");
    assert_eq!(unknown[0].line, right.lines().count() + 2);
    assert_eq!(short[0].field, "peer_token");
    assert!(short[0].line > 0 && short[0].remedy.contains("16 characters"));
}
