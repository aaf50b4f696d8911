//! Development-only stand-ins for the platform and the upstreams, kept simple.
//! Each records what it serves; the trials check the system against these records.

pub mod engine;
pub mod faults;
pub mod http;
pub mod log;
pub mod origin;
pub mod plain_service;
pub mod trial;
pub mod vm_list;
