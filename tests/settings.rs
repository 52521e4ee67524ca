//! Tests of the platform's settings and configuration, and of the command that shows a
//! fleet.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use fuchsiaslip::platform::{
    SettingsError,
    decode_configuration,
    read_settings, //
};
use operator::Operator;
use processes::{
    Daemon,
    loopback, //
};
use serde_json::json;
use std::process::Command;

const VALID_SETTINGS: &str = "node_name=d1\nip=127.0.0.1\nzone=z\nnew.field=1,2\n\
    listen_addresses.frontend=127.0.0.1:8521\nlisten_addresses.readiness=127.0.0.1:8523\n\
    internal_port_range=7000,7015\nplatform.address=127.0.0.1:8524\n\
    limits.cpu_share=0.25\nlimits.cores=2\nbounds.max_hold_ms=3000\nbounds.status_s=60\n";

/// Returns the valid settings with another value of a field, or without it if `value` is
/// empty.
fn with_field(field: &str, value: &str) -> String {
    let other_lines = VALID_SETTINGS
        .lines()
        .filter(|line| !line.starts_with(field));
    let mut text: String = other_lines.map(|line| format!("{line}\n")).collect();
    if !value.is_empty() {
        text.push_str(&format!("{field}={value}\n"));
    }
    text
}

/// Guards against a panic for the last port, which leaves none for the metrics.
#[test]
fn a_range_that_ends_at_the_last_port_needs_two_ports() {
    let one_port = read_settings(&with_field("internal_port_range", "65535,65535"));
    let two_ports = read_settings(&with_field("internal_port_range", "65534,65535"));

    assert!(matches!(
        one_port,
        Err(SettingsError::Malformed {
            field: "internal_port_range",
            ..
        })
    ));
    assert_eq!(two_ports.unwrap().metrics_address.port(), 65_535);
}

#[test]
fn settings_give_addresses_and_bounds_and_ignore_unknown_fields() {
    let settings = read_settings(VALID_SETTINGS).unwrap();

    assert_eq!(settings.peer_address.port(), 7_000);
    assert_eq!(settings.metrics_address.port(), 7_001);
    assert_eq!(settings.cpu_millis, 500);
    assert_eq!(
        settings.tuning.lease_ms, 3_000,
        "no longer than the longest lease that workers accept"
    );
    assert_eq!(settings.tuning.retention_ms, 90_000);
    assert_eq!(
        settings.tuning.orders_max_age_ms,
        u64::MAX,
        "no bound is set on orders to empty a data centre"
    );
    let bounded = read_settings(&with_field("bounds.evacuation_ms", "5000")).unwrap();
    assert_eq!(
        bounded.tuning.orders_max_age_ms, 3_363,
        "the bound less the time in which a start may still be carried out"
    );
    assert_eq!(
        settings.tuning.entries_max_age_ms, 2_863,
        "the same for a bound of 3,000 ms and a heartbeat of 1,500 ms, the defaults"
    );
    let slower = read_settings(&with_field("heartbeat_interval_ms", "2500")).unwrap();
    assert_eq!(slower.tuning.entries_max_age_ms, 3_863);
    let shorter = read_settings(&with_field("bounds.contact_ms", "500")).unwrap();
    assert_eq!(
        shorter.tuning.entries_max_age_ms, 2_000,
        "no less than the time that an owner takes to learn of entries"
    );
}

#[test]
fn invalid_settings_name_the_field() {
    let problem = |text: &str| read_settings(text).unwrap_err();

    assert_eq!(
        problem(&with_field("platform.address", "")),
        SettingsError::Missing("platform.address")
    );
    let invalid = [
        ("ip", "here"),
        ("internal_port_range", "7000"),
        ("internal_port_range", "7000,7000"),
        ("listen_addresses.frontend", "127.0.0.1"),
        ("bounds.status_s", "soon"),
        ("bounds.max_hold_ms", "-1"),
        ("limits.cpu_share", "NaN"),
        ("bounds.evacuation_ms", "never"),
    ];
    for (field, value) in invalid {
        let problem = problem(&with_field(field, value));
        let is_named =
            matches!(&problem, SettingsError::Malformed { field: own, .. } if *own == field);
        assert!(is_named, "{field}={value}: {problem}");
    }
}

#[test]
fn the_daemon_checks_its_settings_without_starting() {
    let path = std::env::temp_dir().join(format!("fuchsiaslip-check-{}", std::process::id()));
    let check = |settings: &str| {
        std::fs::write(&path, settings).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_fuchsiaslipd"))
            .args(["--platform", "--check"])
            .env("FUCHSIASLIP_BOOT", &path)
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8(text).unwrap())
    };

    let valid = check(VALID_SETTINGS);
    let invalid = check(&with_field("zone", ""));
    std::fs::remove_file(&path).unwrap();

    assert!(
        valid.0 && valid.1.contains("the settings are right"),
        "{valid:?}"
    );
    assert!(!invalid.0 && invalid.1.contains("lack zone"), "{invalid:?}");
}

#[test]
fn the_fleet_command_shows_the_fleet_and_a_job_without_a_daemon() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemon = Daemon::spawn("d0", loopback(8, 0), operator.store);
    while !daemon.is_ready() || operator.world().value("owner").is_none() {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let body = json!({ "spec": "60000", "steps": [{ "count": 1, "cpu": 1, "mem_mb": 1 }] });
    daemon.request("POST", "/q/00000000000000aa", &body.to_string());
    daemon.kill();
    let show = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_fuchsiaslip"))
            .args(["fleet", "--store", &operator.store.to_string()])
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };

    let (code, fleet) = show(&[]);
    let (job_code, job) = show(&["00000000000000aa"]);

    assert_eq!((code, job_code), (Some(0), Some(0)));
    assert!(
        fleet.contains("owner d0") && fleet.contains("1 open"),
        "{fleet}"
    );
    assert!(job.contains("queue: \"q\""), "{job}");
    assert_eq!(show(&["00000000000000ab"]).0, Some(5), "not found");
    assert_eq!(show(&["nothing"]).0, Some(2), "wrong usage");
}

/// Guards against overfilling workers that do not check their own capacity. The platform
/// says which services reject overload; a service for which it says nothing does not.
#[test]
fn services_that_do_not_reject_overload_are_listed() {
    let text = br#"{"version":3,"services":[{"name":"a","rejects_overload":true},
        {"name":"b","rejects_overload":false},{"name":"c"}]}"#;

    let configuration = decode_configuration(text).expect("it can be decoded");

    assert_eq!(configuration.unguarded_services, ["b", "c"]);
}

/// Guards against a whole configuration being ignored because the advice terms of one queue
/// lack a field: fields whose value is 0 are omitted on the wire.
#[test]
fn a_configuration_may_omit_fields_that_are_zero() {
    let text = br#"{"version":3,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s",
        "max_attempts":2,"recommendation":{"decision_ms":40,"validity_ms":3000}}]}"#;

    let configuration = decode_configuration(text).expect("it can be decoded");

    let advice = configuration.queues[0].advice.expect("terms for advice");
    assert_eq!((advice.decision_ms, advice.per_worker_ms), (40, 0));
}
