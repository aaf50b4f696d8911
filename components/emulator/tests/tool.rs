//! Tests of the command line.

use std::process::{Command, Output};

fn emulator(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emulator"));
    command.args(args).output().expect("the emulator starts")
}

#[test]
fn writes_table_lines_and_plot() {
    let dir = std::env::temp_dir().join(format!("emulator-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (lines, plot) = (dir.join("lines"), dir.join("plot.svg"));
    let paths = [lines.to_str().unwrap(), plot.to_str().unwrap()];
    let runs = ["--patterns", "steady", "--policies", "ours,round-robin"];
    let size = ["--seeds", "1..3", "--engines", "2", "--entries", "1"];
    let files = ["--lines", paths[0], "--plot", paths[1]];

    let output = emulator(&[&runs[..], &size[..], &files[..]].concat());

    let table = String::from_utf8(output.stdout).unwrap();
    assert_eq!(table.lines().count(), 3, "{table}");
    assert_eq!(std::fs::read_to_string(&lines).unwrap().lines().count(), 4);
    assert!(std::fs::read_to_string(&plot).unwrap().starts_with("<svg"));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn unknown_pattern_error_refers_to_help() {
    let output = emulator(&["--patterns", "stampede"]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        error.contains("stampede") && error.contains("--help"),
        "{error}"
    );
}

#[test]
fn empty_seed_range_is_refused() {
    let output = emulator(&["--seeds", "4..4"]);

    assert!(!output.status.success());
}
