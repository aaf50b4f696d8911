//! The command line: help, exit codes, remedies in errors and the output of `explain`.

use std::path::Path;
use std::process::{Command, Output};

fn turmerichold(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_turmerichold"))
        .args(args)
        .output()
        .unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn example(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    dir.join(name).display().to_string()
}

#[test]
fn every_command_has_help() {
    for command in [
        "entry", "agent", "gateway", "loader", "check", "apply", "status", "audit", "explain",
        "manifest",
    ] {
        let output = turmerichold(&[command, "--help"]);

        assert_eq!(exit_code(&output), 0, "{command}");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            text.contains(&format!("Usage: turmerichold {command}")),
            "{text}"
        );
    }
}

#[test]
fn wrong_arguments_exit_with_2() {
    for args in [
        &[][..],
        &["fly"],
        &["check"],
        &["entry"],
        &["check", "a", "b"],
    ] {
        let output = turmerichold(args);

        assert_eq!(exit_code(&output), 2, "{args:?}");
        assert!(stderr(&output).contains("--help"), "{}", stderr(&output));
    }
}

#[test]
fn check_accepts_the_example_configurations() {
    for name in ["lippula.json", "crumbs-cuppa.json"] {
        let output = turmerichold(&["check", &example(name)]);

        assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    }
}

#[test]
fn failures_exit_with_1_and_name_the_remedy() {
    let settings = example("lippula.json");
    let cases: [(&[&str], &str); 3] = [
        (&["check", "no-such-file.json"], "name a text"),
        (
            &["entry", "--settings", "no-such-file.json"],
            "name a readable settings file",
        ),
        (&["agent", "--settings", &settings], "remove the field"),
    ];
    for (args, remedy) in cases {
        let output = turmerichold(args);

        assert_eq!(exit_code(&output), 1, "{args:?}");
        assert!(stderr(&output).contains(remedy), "{}", stderr(&output));
    }
}

#[test]
fn explain_prints_the_lines_of_a_request_by_time() {
    let dir = std::env::temp_dir().join(format!("turmerichold-explain-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (a, b) = (dir.join("a.log"), dir.join("b.log"));
    let own = r#"{"time":2.0,"vm":"e1","part":"dispatch","what":"outcome unknown","request":"r1","upstream":"u1"}"#;
    let upstream =
        r#"prefix {"time":1.5,"vm":"e1","part":"feed","what":"upstream gone","upstream":"u1"}"#;
    let other = r#"{"time":1.9,"vm":"e1","part":"dispatch","what":"busy","request":"r2"}"#;
    std::fs::write(&a, format!("{own}\n{other}\nnot json\n")).unwrap();
    std::fs::write(&b, format!("{upstream}\n")).unwrap();

    let output = std::process::Command::new(env!("CARGO_BIN_EXE_turmerichold"))
        .args(["explain", "r1"])
        .args([&a, &b])
        .output()
        .unwrap();

    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].contains("upstream gone"));
    assert!(lines[1].contains("outcome unknown"));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn explain_reports_a_request_without_lines() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_turmerichold"))
        .args(["explain", "r1", "Cargo.toml"])
        .output()
        .unwrap();

    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("r1 is in none of the files"), "{text}");
}
