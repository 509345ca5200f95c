//! Tests of the settings of a process.

use hibiscusbarrow_model::settings::Settings;

fn settings(scheduling: &str) -> String {
    format!(
        r#"{{
            "name": "g1", "region": "r", "domain": "d",
            "http": "127.0.0.1:1", "peer": "127.0.0.1:2", "store": "127.0.0.1:3",
            "secret": "a secret of some length"{scheduling}
        }}"#
    )
}

/// Guards against a use of learned run times that is on without being named, or off although named.
#[test]
fn learned_run_times_are_used_only_if_the_settings_name_the_use() {
    for (scheduling, is_used) in [
        ("", false),
        (r#", "scheduling": {}"#, false),
        (r#", "scheduling": {"learned_times": ["order"]}"#, true),
    ] {
        let parsed = Settings::parse("g1.jsonc", &settings(scheduling));
        let parsed = parsed.expect("the settings are valid");
        assert_eq!(parsed.scheduling.uses("order"), is_used, "{scheduling}");
    }
}

/// Guards against a misspelt use that is silently off.
#[test]
fn an_unknown_use_of_learned_run_times_is_refused_with_field_and_value() {
    let text = settings(r#", "scheduling": {"learned_times": ["order", "ordre"]}"#);

    let fault = Settings::parse("g1.jsonc", &text).expect_err("a name is unknown");

    let text = fault.to_string();
    assert!(text.contains("HB106"), "{text}");
    assert!(text.contains("scheduling.learned_times[1]"), "{text}");
    assert!(text.contains("ordre"), "{text}");
}
