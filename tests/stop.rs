//! The last lines of a process.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::Duration;

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// The process ended without a line that told whether it had drained.
#[test]
fn stop_of_an_agent_has_no_last_line() {
    let dir = std::env::temp_dir().join(format!("turmerichold-stop-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("agent.json");
    let port = free_port();
    let settings = format!(
        r#"{{ "node": {{ "vm": "agent-1", "listen": "127.0.0.1:{port}",
            "failure_domain": "fife-a", "region": "fife", "drain_ms": 1000,
            "platform": {{ "log": "127.0.0.1:9", "vms": "127.0.0.1:9",
                "origin": "127.0.0.1:9" }} }},
            "service": "app", "upstream": "127.0.0.1:9", "memory_bytes": 1024 }}"#
    );
    std::fs::write(&file, settings).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_turmerichold"))
        .args(["agent", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    while std::net::TcpStream::connect(("127.0.0.1", port)).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }

    let killed = Command::new("kill")
        .arg(process.id().to_string())
        .status()
        .unwrap();
    let output = process.wait_with_output().unwrap();

    assert!(killed.success());
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let last = text.lines().last().unwrap_or_default();
    assert!(last.contains("\"what\":\"stopped\""), "{text}");
    assert!(last.contains("\"drained\":true"), "{text}");
    std::fs::remove_dir_all(&dir).unwrap();
}
