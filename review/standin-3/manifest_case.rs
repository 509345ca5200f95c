//! The store turns all gateways away while the operator takes a key away.

use crate::Record;
use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::RunnerKind;
use crate::fleet::manifest;
use crate::runner::Fate;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const GATEWAYS: usize = 3;
const SIDECARS: usize = 6;
const KEPT_KEY: &str = "d4a3hwrr6x73d3zji9n7";
const REVOKED_KEY: &str = "3hh2b9wu3fexd9dnn2ct";
/// `config-apply-ms`, and `max-stretch-ms` more as the core is unstable.
const BOUND: Duration = Duration::from_millis(2_000 + 5_000);
/// The longest time for which the store turns machines away.
const REJECTION: Duration = Duration::from_millis(9_000);
/// The time from the first rejection to the change of the manifest.
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// The time between two calls to each gateway.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let plan = Arc::new(|_: &str, _: &str, _: u64, _: &Arc<_>, _: u64| Fate::Answered);
    let runners = RunnerKind {
        plan,
        keep_id: false,
        first_label: None,
    };
    let keys = [KEPT_KEY, REVOKED_KEY];
    let fleet = match Fleet::start(record, GATEWAYS, SIDECARS, &keys, runners) {
        Ok(fleet) => fleet,
        Err(why) => return Verdict::Unclear(why),
    };
    for gateway in 0..GATEWAYS {
        if fleet.call(gateway, "GET", "", REVOKED_KEY, "") != Some(200) {
            return Verdict::Unclear("a gateway does not accept the key at first".to_owned());
        }
    }
    let began = Instant::now();
    if trouble {
        fleet.store.reject((0..GATEWAYS).collect());
    }
    std::thread::sleep(CHANGE_DELAY);
    let acked = fleet
        .store
        .put_as_operator("op/config", &manifest(2, &[KEPT_KEY]));
    let mut broken = 0;
    while began.elapsed() < REJECTION - CALL_INTERVAL {
        for gateway in 0..GATEWAYS {
            let late = acked.elapsed() > BOUND;
            let status = fleet.call(gateway, "GET", "", REVOKED_KEY, "");
            if late && status == Some(200) {
                broken += 1;
                record.line(&format!(
                    "BROKEN: gateway {gateway} serves a key that was taken away"
                ));
            }
        }
        std::thread::sleep(CALL_INTERVAL);
    }
    fleet.store.reject(Vec::new());
    std::thread::sleep(Duration::from_millis(3_000));
    for gateway in 0..GATEWAYS {
        let status = fleet.call(gateway, "GET", "", REVOKED_KEY, "");
        if !trouble && status != Some(401) {
            broken += 1;
        }
    }
    record.line(&format!("{broken} calls were served after the bound"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
