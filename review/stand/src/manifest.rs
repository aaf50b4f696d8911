//! Manifests of the operator.

use std::net::SocketAddr;

use crate::origin::{PIECE_BYTES, PIECES};

/// A manifest with the key `key`, a service of model engines and the origin of their weights.
pub fn with_model(version: u64, origin: SocketAddr) -> String {
    let plain = manifest(version, 0, "\"key\"");
    let services = format!(
        "\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"connection_limit\":424,\
         \"cold_start_s\":3.0,\"cold_per_s\":26.0,\"engine\":{{\"slots\":16,\"kv_capacity_tokens\":317000,\
         \"stride\":5,\"models\":[{{\"name\":\"m\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}}],\
         \"step_ms\":9.27,\"read_per_s\":20700.0,\"chunk\":2048,\"usual\":{{\"prompt\":979,\"answer\":92}},\
         \"layers\":16,\"chunks\":{PIECES},\"chunk_bytes\":{PIECE_BYTES}}}}},\
         {{\"name\":\"source\",\"origin\":\"{origin}\",\"zone\":\"a-1\",\"link_mbps\":9.9,\
         \"connection_limit\":48}},"
    );
    plain.replace("\"services\":[", &services)
}

/// A manifest with the keys `keys` of one tenant and `others` routes that no client uses, one of
/// which has another time-out in each version.
pub fn manifest(version: u64, others: u64, keys: &str) -> String {
    let timeout = |n| if n == version { 900 } else { 800 };
    let mut routes = vec![
        route("r-view", "/view/", "safe", 1500),
        route("r-book", "/book/", "unsafe", 1500),
    ];
    routes.extend(
        (0..others).map(|n| route(&format!("r-{n}"), &format!("/p{n}/q/"), "safe", timeout(n))),
    );
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t\",\"api_keys\":[{keys}],\"priority\":1,\
         \"home_regions\":[]}}]}}",
        routes.join(",")
    )
}

fn route(name: &str, prefix: &str, kind: &str, timeout: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout},\"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\
         \"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false,\"home_regions\":[]}}"
    )
}
