//! Starts one stand-in on a loopback address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use pico_args::Arguments;
use stand_ins::engine::{Engine, EngineHandler, EngineSpec};
use stand_ins::http::serve;
use stand_ins::log::Log;
use stand_ins::origin::Origin;
use stand_ins::plain_service::PlainService;
use stand_ins::vm_list::VmList;

const HELP: &str = "\
Usage: stand-in KIND --listen ADDRESS [OPTIONS]

Kinds and their options
  log     --rate APPENDS_PER_S (400)  --retention RECORDS (100000)
  vms     --lag-ms MS (500)
  origin  --bytes-per-s N (32000000)
  engine  --fenced  --cold-slots N (4)  --slots N (16)  --prefill-ms MS (40)
          --token-us US (2000)  --restart-ms MS (1500)  --report-lag-ms MS (200)
  plain   --service-ms MS (20)  --reports

The address must be a loopback address. POST /faults sets faults; GET /record
returns what the stand-in has served.
";

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let kind = args
        .subcommand()?
        .context("no kind of stand-in given; see --help")?;
    let addr: SocketAddr = args.value_from_str("--listen")?;
    ensure!(addr.ip().is_loopback(), "{addr} is not a loopback address");
    let mut number = |name: &'static str, default: u64| -> anyhow::Result<u64> {
        Ok(args.opt_value_from_str(name)?.unwrap_or(default))
    };
    match kind.as_str() {
        "log" => {
            let rate = u32::try_from(number("--rate", 400)?)?;
            let retention = usize::try_from(number("--retention", 100_000)?)?;
            smol::block_on(serve(addr, Arc::new(Log::new(rate, retention))))
        }
        "vms" => {
            let lag = Duration::from_millis(number("--lag-ms", 500)?);
            smol::block_on(serve(addr, Arc::new(VmList::new(lag))))
        }
        "origin" => {
            let origin = Origin::new(number("--bytes-per-s", 32_000_000)?);
            smol::block_on(serve(addr, Arc::new(origin)))
        }
        "engine" => {
            let spec = EngineSpec {
                cold_slots: usize::try_from(number("--cold-slots", 4)?)?,
                slots: usize::try_from(number("--slots", 16)?)?,
                prefill_time: Duration::from_millis(number("--prefill-ms", 40)?),
                token_time: Duration::from_micros(number("--token-us", 2000)?),
                restart_time: Duration::from_millis(number("--restart-ms", 1500)?),
                report_lag: Duration::from_millis(number("--report-lag-ms", 200)?),
                fenced: args.contains("--fenced"),
            };
            let engine = Arc::new(Engine::new(spec));
            smol::block_on(serve(addr, Arc::new(EngineHandler(engine))))
        }
        "plain" => {
            let service_time = Duration::from_millis(number("--service-ms", 20)?);
            let reports_load = args.contains("--reports");
            smol::block_on(serve(
                addr,
                Arc::new(PlainService::new(service_time, reports_load)),
            ))
        }
        other => bail!("unknown kind {other:?}; see --help"),
    }
}
