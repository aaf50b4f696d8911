//! The experiment tool as a command.

use std::process::{Command, Output};

fn tool(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_emulator"));
    command.args(args).output().expect("the tool starts")
}

#[test]
fn it_writes_a_table_lines_and_a_plot() {
    let dir = std::env::temp_dir().join(format!("emulator-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (lines, plot) = (dir.join("lines"), dir.join("plot.svg"));
    let files = [lines.to_str().unwrap(), plot.to_str().unwrap()];
    let few = ["--patterns", "steady", "--policies", "ours,round-robin"];
    let small = ["--seeds", "1..3", "--engines", "2", "--entries", "1"];
    let out = ["--lines", files[0], "--plot", files[1]];

    let output = tool(&[&few[..], &small[..], &out[..]].concat());

    let table = String::from_utf8(output.stdout).unwrap();
    assert_eq!(table.lines().count(), 3, "{table}");
    assert_eq!(std::fs::read_to_string(&lines).unwrap().lines().count(), 4);
    assert!(std::fs::read_to_string(&plot).unwrap().starts_with("<svg"));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn an_unknown_name_tells_the_remedy() {
    let output = tool(&["--patterns", "stampede"]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        error.contains("stampede") && error.contains("--help"),
        "{error}"
    );
}

#[test]
fn an_empty_range_of_seeds_is_refused() {
    let output = tool(&["--seeds", "4..4"]);

    assert!(!output.status.success());
}
