//! Development-only fakes of the platform and of upstreams. Small on purpose:
//! each keeps its own record, from which the trial judges the system.

pub mod engine;
pub mod faults;
pub mod http;
pub mod log;
pub mod origin;
pub mod plain_service;
pub mod trial;
pub mod vm_list;
