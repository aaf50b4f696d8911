//! Parsing and checking of declarations and settings.

mod fixture;

use std::time::Duration;

use config::{AgentSettings, Declaration, EntrySettings, parse_json};
use fixture::declaration_value;
use serde_json::{Value, json};
use testkit::check_seeds;

fn error_of(change: impl FnOnce(&mut Value)) -> String {
    let mut value = declaration_value(4);
    change(&mut value);
    Declaration::parse("fleet.json", &value.to_string())
        .expect_err("the declaration must be refused")
        .to_string()
}

#[test]
fn example_declarations_are_valid() {
    for file in ["lippula.json", "crumbs-cuppa.json"] {
        let path = format!("{}/../../examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let json = std::fs::read_to_string(path).unwrap();

        let declaration = Declaration::parse(file, &json).unwrap();

        assert_eq!(declaration.failure_domains.len(), 3, "{file}");
        assert_eq!(declaration.client_accounts.len(), 10, "{file}");
    }
}

#[test]
fn errors_name_file_path_value_and_remedy() {
    let limit = error_of(|t| t["services"]["menu-helper"]["limit"] = json!("many"));
    assert!(
        limit.starts_with("fleet.json: services.menu-helper.limit:"),
        "{limit}"
    );
    assert!(
        limit.contains("\"many\"") && limit.contains("give a value"),
        "{limit}"
    );

    let unknown = error_of(|t| t["services"]["menu-helper"]["limits"] = json!(3));
    assert!(
        unknown.contains("limits") && unknown.contains("remove the field"),
        "{unknown}"
    );

    let missing = error_of(|t| {
        drop(
            t["services"]["rota-desk"]
                .as_object_mut()
                .unwrap()
                .remove("queue"),
        )
    });
    assert!(
        missing.contains("queue") && missing.contains("add the field"),
        "{missing}"
    );
}

#[test]
fn values_out_of_range_are_refused() {
    let cases: [(&str, Value, &str); 8] = [
        ("limit", json!(0), "cold_limit"),
        ("cold_limit", json!(0), "at least 1"),
        ("deadline_ms", json!(0), "1 to 3600000"),
        ("deadline_ms", json!(0.5), "1 to 3600000"),
        ("deadline_ms", json!(3_600_000.5), "1 to 3600000"),
        ("priority", json!(10), "0 to 9"),
        ("routes", json!([]), "at least one route"),
        ("model", json!("soup"), "add it to models"),
    ];
    for (field, value, remedy) in cases {
        let error = error_of(|t| t["services"]["menu-helper"][field] = value);
        assert!(
            error.contains(&format!("services.menu-helper.{field}")),
            "{error}"
        );
        assert!(error.contains(remedy), "{error}");
    }
}

#[test]
fn routes_with_unknown_method_or_bad_path_are_refused() {
    let method = error_of(|t| t["services"]["rota-desk"]["routes"][0]["method"] = json!("BREW"));
    assert!(
        method.contains("services.rota-desk.routes[0].method"),
        "{method}"
    );

    let path = error_of(|t| t["services"]["rota-desk"]["routes"][0]["path"] = json!("swaps?x"));
    assert!(path.contains("begin with a slash"), "{path}");
}

#[test]
fn unknown_and_circular_dependencies_are_refused() {
    let unknown = error_of(|t| t["services"]["rota-desk"]["depends_on"] = json!(["diary"]));
    assert!(unknown.contains("unknown service \"diary\""), "{unknown}");

    let circle = error_of(|t| {
        t["services"]["rota-desk"]["depends_on"] = json!(["menu-helper"]);
        t["services"]["menu-helper"]["depends_on"] = json!(["rota-desk"]);
    });
    assert!(circle.contains("in a circle"), "{circle}");
}

#[test]
fn unknown_failure_domains_are_not_in_service() {
    let declaration = Declaration::parse("t", &declaration_value(4).to_string()).unwrap();

    assert!(declaration.in_service("fife-a"));
    assert!(!declaration.in_service("fife-b"));
}

/// Guards against a role that does not start, and a declaration that is refused, because a
/// time is written as a fraction.
#[test]
fn times_may_be_fractions() {
    let settings = json!({
        "node": {
            "vm": "vm-1", "listen": "127.0.0.1:1", "failure_domain": "fife-a", "region": "fife",
            "platform": { "log": "127.0.0.1:2", "vms": "127.0.0.1:3", "origin": "127.0.0.1:4" },
            "drain_ms": 7500.5
        },
    });
    let mut text = declaration_value(4);
    text["services"]["menu-helper"]["deadline_ms"] = json!(1e3);
    text["services"]["rota-desk"]["deadline_ms"] = json!(999.5);

    let settings = parse_json::<EntrySettings>("entry.json", &settings.to_string()).unwrap();
    let declaration = Declaration::parse("t", &text.to_string()).unwrap();

    assert_eq!(settings.node.drain, Duration::from_micros(7_500_500));
    let deadline = |name: &str| declaration.services[name].deadline;
    assert_eq!(deadline("menu-helper"), Duration::from_secs(1));
    assert_eq!(deadline("rota-desk"), Duration::from_micros(999_500));
}

#[test]
fn settings_with_unknown_or_missing_fields_are_refused() {
    let settings = json!({
        "node": {
            "vm": "vm-1", "listen": "127.0.0.1:1", "failure_domain": "fife-a", "region": "fife",
            "platform": { "log": "127.0.0.1:2", "vms": "127.0.0.1:3", "origin": "127.0.0.1:4" },
            "drain_ms": 1000
        },
        "service": "menu-helper", "upstream": "127.0.0.1:5", "memory_bytes": 1024
    });
    let read = |v: &Value| parse_json::<AgentSettings>("agent.json", &v.to_string());
    assert!(read(&settings).is_ok());

    let mut missing = settings.clone();
    missing["node"]["platform"]
        .as_object_mut()
        .unwrap()
        .remove("log");
    let error = read(&missing).unwrap_err().to_string();
    assert!(error.starts_with("agent.json: node.platform"), "{error}");

    let mut wrong = settings;
    wrong["upstream"] = json!("nowhere");
    let error = read(&wrong).unwrap_err().to_string();
    assert!(error.starts_with("agent.json: upstream:"), "{error}");
}

#[test]
fn parsing_arbitrary_bytes_never_panics() {
    check_seeds(500, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let text = String::from_utf8_lossy(&bytes);
        let _ = Declaration::parse("fuzz", &text);
        Ok(())
    });
}
