//! The documents and the program agree.

use fuchsiaslip::core::RefusalReason;
use fuchsiaslip::daemon::Settings;
use fuchsiaslip::events;
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
