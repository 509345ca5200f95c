//! Tests of the budget that the clients of a process share.

use hibiscusbarrow_coordination::client_budget::CLOSING_GRACE;
use hibiscusbarrow_coordination::client_budget::Class;
use hibiscusbarrow_coordination::client_budget::ClientBudget;
use hibiscusbarrow_coordination::client_budget::ConnectionId;
use hibiscusbarrow_coordination::client_budget::Phase;
use hibiscusbarrow_coordination::client_budget::Pool;
use hibiscusbarrow_coordination::client_budget::Size;
use hibiscusbarrow_coordination::client_budget::Usage;
use hibiscusbarrow_coordination::client_budget::Verdict;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(1);
const COST: u64 = 10;

fn pool(bytes: u64, connections: usize) -> Pool {
    Pool {
        bytes,
        small_reserve: bytes / 4,
        connections,
    }
}

fn budget(bytes: u64, connections: usize) -> ClientBudget {
    let pools = Class::ALL.map(|class| (class, pool(bytes, connections)));
    ClientBudget::new(BTreeMap::from(pools), GRACE)
}

fn source(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn open(budget: &mut ClientBudget, now: Duration, number: u8) -> ConnectionId {
    match budget.open(now, Class::Clients, source(number), COST) {
        Verdict::Granted(id) => id,
        other => panic!("the connection is not opened: {other:?}"),
    }
}

/// Opens a connection that holds a large body in part.
fn open_large(budget: &mut ClientBudget, now: Duration, number: u8, bytes: u64) -> ConnectionId {
    let id = open(budget, now, number);
    budget.enter(now, id, Phase::Body);
    let verdict = budget.hold(now, id, bytes, Size::Large);
    assert_eq!(verdict, Verdict::Granted(()));
    id
}

// Guards against stalled bodies that keep newcomers out although they could make way.
#[test]
fn longest_stalled_connection_makes_way_and_its_share_is_counted_until_it_is_closed() {
    let mut budget = budget(1_000, 100);
    let first = open_large(&mut budget, secs(0), 1, 300);
    let second = open_large(&mut budget, secs(1), 1, 300);
    let newcomer = open(&mut budget, secs(5), 1);

    let verdict = budget.hold(secs(5), newcomer, 200, Size::Large);

    assert_eq!(verdict, Verdict::Wait(vec![first]));
    assert_eq!(budget.usage(Class::Clients).bytes, 610);
    let again = budget.hold(secs(5), newcomer, 200, Size::Large);
    assert_eq!(again, Verdict::Wait(Vec::new()), "one closing is enough");
    budget.close(first);
    let granted = budget.hold(secs(5), newcomer, 200, Size::Large);
    assert_eq!(granted, Verdict::Granted(()));
    assert!(budget.describe(secs(5), second).is_some());
}

// Guards against closing a client that sends steadily.
#[test]
fn connection_with_recent_progress_is_not_closed() {
    let mut budget = budget(1_000, 100);
    let steady = open_large(&mut budget, secs(0), 1, 700);
    let newcomer = open(&mut budget, secs(5), 2);
    budget.record_progress(secs(5), steady);

    let verdict = budget.hold(
        secs(5) + GRACE - Duration::from_millis(1),
        newcomer,
        400,
        Size::Large,
    );

    assert_eq!(verdict, Verdict::Refused);
    let later = budget.hold(secs(5) + GRACE, newcomer, 400, Size::Large);
    assert_eq!(later, Verdict::Wait(vec![steady]));
}

// Guards against interrupting a request that is being handled.
#[test]
fn connection_whose_request_is_handled_is_never_closed() {
    let mut budget = budget(1_000, 2);
    let handled = open_large(&mut budget, secs(0), 1, 700);
    budget.enter(secs(0), handled, Phase::Handling);
    let other = open(&mut budget, secs(0), 1);
    budget.enter(secs(0), other, Phase::Handling);

    let newcomer = budget.open(secs(1_000), Class::Clients, source(2), COST);
    let lacks_bytes = budget.hold(secs(1_000), other, 900, Size::Small);

    assert_eq!(newcomer, Verdict::Refused);
    assert_eq!(lacks_bytes, Verdict::Refused);
}

// Guards against closing requests while idle connections could make way, and against closing
// those of an ordinary client while another one holds more.
#[test]
fn idle_connections_go_first_then_those_of_the_source_that_holds_most() {
    let mut budget = budget(1_000, 3);
    let greedy = open_large(&mut budget, secs(1), 1, 300);
    let modest = open_large(&mut budget, secs(0), 2, 100);
    // Connections that never completed a request would make way before any of these.
    for id in [greedy, modest] {
        budget.enter(secs(0), id, Phase::Idle);
        budget.enter(secs(0), id, Phase::Body);
    }
    let idle = open(&mut budget, secs(2), 3);
    budget.enter(secs(2), idle, Phase::Idle);
    let mut closed = Vec::new();

    for _ in 0..3 {
        let verdict = budget.open(secs(10), Class::Clients, source(4), COST);
        let Verdict::Wait(chosen) = verdict else {
            panic!("no connection makes way: {verdict:?}");
        };
        for id in &chosen {
            budget.close(*id);
        }
        closed.extend(chosen);
        let newcomer = open(&mut budget, secs(10), 4);
        budget.enter(secs(10), newcomer, Phase::Handling);
    }

    assert_eq!(closed, [idle, greedy, modest]);
}

// Guards against closing the idle connections of ordinary callers while others have stalled in
// their first head or body.
#[test]
fn connections_that_never_completed_a_request_go_before_idle_ones() {
    let mut budget = budget(1_000, 4);
    let idle = open(&mut budget, secs(0), 1);
    budget.enter(secs(0), idle, Phase::Idle);
    let in_first_head = open(&mut budget, secs(1), 2);
    let in_first_body = open_large(&mut budget, secs(1), 3, 100);
    let in_later_head = open(&mut budget, secs(0), 4);
    budget.enter(secs(0), in_later_head, Phase::Idle);
    budget.enter(secs(0), in_later_head, Phase::Head);
    let mut closed = Vec::new();

    for _ in 0..4 {
        let chosen = budget.close_quietest(secs(10), Class::Clients);
        closed.extend(chosen);
        closed.iter().for_each(|id| budget.close(*id));
    }

    assert_eq!(closed, [in_first_body, in_first_head, idle, in_later_head]);
}

// Guards against large bodies that leave nothing for small requests.
#[test]
fn large_requests_leave_the_reserve_to_small_ones() {
    let mut budget = budget(1_000, 100);
    let large = open_large(&mut budget, secs(0), 1, 700);
    let small = open(&mut budget, secs(0), 2);
    let other = open(&mut budget, secs(0), 3);

    let second_large = budget.hold(secs(0), other, 100, Size::Large);
    let of_small = budget.hold(secs(0), small, 200, Size::Small);

    assert_eq!(second_large, Verdict::Refused);
    assert_eq!(of_small, Verdict::Granted(()));
    budget.close(small);
    let whole = budget.hold(secs(0), large, 990, Size::Large);
    assert_eq!(whole, Verdict::Granted(()), "the only large one may use it");
}

// Guards against small connections closed for a large body that their share does not help.
#[test]
fn small_connections_are_not_closed_for_the_limit_of_large_ones() {
    let mut budget = budget(1_000, 100);
    let small = open(&mut budget, secs(0), 1);
    let large = open_large(&mut budget, secs(1), 1, 700);
    let newcomer = open(&mut budget, secs(10), 1);

    let verdict = budget.hold(secs(10), newcomer, 100, Size::Large);

    assert_eq!(verdict, Verdict::Wait(vec![large]));
    budget.enter(secs(10), large, Phase::Handling);
    assert!(budget.describe(secs(10), small).is_some());
}

// Guards against a client that counts as many sources by changing its address in its network.
#[test]
fn addresses_of_one_network_count_as_one_source() {
    let mut budget = budget(1_000, 100);
    let addr = |text: &str| text.parse::<IpAddr>().expect("the address is valid");
    let mut of_network = Vec::new();
    for text in ["2001:db8:0:1::1", "2001:db8:0:1::2", "2001:db8::1"] {
        let verdict = budget.open(secs(0), Class::Clients, addr(text), 300);
        let Verdict::Granted(id) = verdict else {
            panic!("the connection is not opened: {verdict:?}");
        };
        of_network.push(id);
    }
    budget.record_progress(secs(1), of_network[0]);
    budget.record_progress(secs(1), of_network[1]);

    let verdict = budget.open(secs(10), Class::Clients, addr("2001:db8:0:2::1"), 300);

    assert_eq!(verdict, Verdict::Wait(vec![of_network[0]]));
}

/// One step of a drawn history.
#[derive(Clone, Debug)]
enum Step {
    Open {
        class: usize,
        source: u8,
        cost: u64,
    },
    Hold {
        index: usize,
        bytes: u64,
        is_large: bool,
    },
    Progress {
        index: usize,
    },
    Enter {
        index: usize,
        phase: usize,
    },
    CloseNamed,
    Close {
        index: usize,
    },
    Wait {
        millis: u64,
    },
    CloseQuietest {
        class: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..64usize;
    prop_oneof![
        4 => (0..4usize, 0..4u8, 0..200u64)
            .prop_map(|(class, source, cost)| Step::Open { class, source, cost }),
        6 => (index.clone(), 0..1_200u64, any::<bool>())
            .prop_map(|(index, bytes, is_large)| Step::Hold { index, bytes, is_large }),
        2 => index.clone().prop_map(|index| Step::Progress { index }),
        3 => (index.clone(), 0..7usize).prop_map(|(index, phase)| Step::Enter { index, phase }),
        2 => Just(Step::CloseNamed),
        2 => index.prop_map(|index| Step::Close { index }),
        3 => (0..3_000u64).prop_map(|millis| Step::Wait { millis }),
        1 => (0..4usize).prop_map(|class| Step::CloseQuietest { class }),
    ]
}

const PHASES: [Phase; 7] = [
    Phase::Idle,
    Phase::Head,
    Phase::Body,
    Phase::Handling,
    Phase::Persistent,
    Phase::Reply,
    Phase::Closing,
];

/// What a history is expected to hold, kept by simple addition.
#[derive(Default)]
struct Model {
    open: BTreeMap<ConnectionId, ModelConnection>,
    named: BTreeSet<ConnectionId>,
}

struct ModelConnection {
    class: Class,
    held: u64,
    is_large: bool,
    phase: Phase,
    progress: Duration,
}

impl Model {
    fn pick(&self, index: usize) -> Option<ConnectionId> {
        let count = self.open.len().max(1);
        self.open.keys().nth(index % count).copied()
    }

    /// Checks that connections named to be closed may be closed.
    fn name(&mut self, now: Duration, ids: &[ConnectionId]) {
        for id in ids {
            let connection = &self.open[id];
            assert_ne!(connection.phase, Phase::Handling, "{id:?} is being handled");
            assert_ne!(
                connection.phase,
                Phase::Persistent,
                "{id:?} may send a call"
            );
            let grace = match connection.phase {
                Phase::Closing => CLOSING_GRACE,
                _ => GRACE,
            };
            assert!(now - connection.progress >= grace, "{id:?} has not stalled");
            assert!(self.named.insert(*id), "{id:?} was named twice");
        }
    }

    fn usage(&self, class: Class) -> Usage {
        let mut usage = Usage::default();
        for (id, connection) in self.open.iter().filter(|(_, c)| c.class == class) {
            let large = if connection.is_large {
                connection.held
            } else {
                0
            };
            usage.bytes += connection.held;
            usage.large_bytes += large;
            usage.connections += 1;
            if self.named.contains(id) {
                usage.closing += 1;
                usage.closing_bytes += connection.held;
                usage.closing_large += large;
            }
        }
        usage
    }
}

fn play(budget: &mut ClientBudget, model: &mut Model, steps: &[Step]) {
    let mut now = Duration::ZERO;
    for step in steps {
        match step.clone() {
            Step::Open {
                class,
                source: number,
                cost,
            } => {
                let class = Class::ALL[class];
                match budget.open(now, class, source(number), cost) {
                    Verdict::Granted(id) => {
                        let connection = ModelConnection {
                            class,
                            held: cost,
                            is_large: false,
                            phase: Phase::Head,
                            progress: now,
                        };
                        model.open.insert(id, connection);
                    }
                    Verdict::Wait(ids) => model.name(now, &ids),
                    Verdict::Refused => {}
                }
            }
            Step::Hold {
                index,
                bytes,
                is_large,
            } => {
                let Some(id) = model.pick(index) else {
                    continue;
                };
                let size = if is_large { Size::Large } else { Size::Small };
                match budget.hold(now, id, bytes, size) {
                    Verdict::Granted(()) => {
                        let connection = model.open.get_mut(&id).expect("it is open");
                        (connection.held, connection.is_large) = (bytes, is_large);
                    }
                    Verdict::Wait(ids) => model.name(now, &ids),
                    Verdict::Refused => {}
                }
            }
            Step::Progress { index } => {
                if let Some(id) = model.pick(index) {
                    budget.record_progress(now, id);
                    let connection = model.open.get_mut(&id).expect("it is open");
                    if connection.phase != Phase::Closing {
                        connection.progress = now;
                    }
                }
            }
            Step::Enter { index, phase } => {
                if let Some(id) = model.pick(index) {
                    budget.enter(now, id, PHASES[phase]);
                    let connection = model.open.get_mut(&id).expect("it is open");
                    (connection.phase, connection.progress) = (PHASES[phase], now);
                }
            }
            Step::CloseNamed => {
                for id in std::mem::take(&mut model.named) {
                    budget.close(id);
                    model.open.remove(&id);
                }
            }
            Step::Close { index } => {
                if let Some(id) = model.pick(index) {
                    budget.close(id);
                    budget.close(id);
                    model.open.remove(&id);
                    model.named.remove(&id);
                }
            }
            Step::Wait { millis } => now += Duration::from_millis(millis),
            Step::CloseQuietest { class } => {
                let named = budget.close_quietest(now, Class::ALL[class]);
                model.name(now, named.as_slice());
            }
        }
        for class in Class::ALL {
            let (pool, usage) = (budget.pool(class), budget.usage(class));
            assert_eq!(usage, model.usage(class), "{class:?} after {step:?}");
            assert!(usage.bytes <= pool.bytes, "{class:?} after {step:?}");
            assert!(
                usage.connections <= pool.connections,
                "{class:?} after {step:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    // Guards against a budget that is exceeded, becomes negative, leaks, or closes a connection
    // that has not stalled, in any order of opening, holding, progress, refusals and closing.
    #[test]
    fn budget_is_never_exceeded_and_nothing_leaks(
        steps in prop::collection::vec(step(), 1..200),
        connections in 1..12usize,
    ) {
        let mut budget = budget(1_000, connections);
        let mut model = Model::default();

        play(&mut budget, &mut model, &steps);
        for id in model.open.keys() {
            budget.close(*id);
        }

        for class in Class::ALL {
            prop_assert_eq!(budget.usage(class), Usage::default());
        }
    }

    // Guards against a newcomer that waits without end, or that is refused although stalled
    // connections could make way for it.
    #[test]
    fn small_newcomer_is_served_while_everything_open_has_stalled(
        steps in prop::collection::vec(step(), 1..200),
        connections in 1..12usize,
    ) {
        let mut budget = budget(1_000, connections);
        let mut model = Model::default();
        play(&mut budget, &mut model, &steps);
        let ids: Vec<_> = model.open.keys().copied().collect();
        for id in &ids {
            budget.enter(secs(10_000), *id, Phase::Body);
        }

        let now = secs(20_000);
        let mut named = model.named.clone();
        let mut rounds = 0;
        let opened = loop {
            rounds += 1;
            prop_assert!(rounds < 5, "the newcomer waits without end");
            match budget.open(now, Class::Clients, source(9), COST) {
                Verdict::Granted(id) => break Some(id),
                Verdict::Wait(ids) => named.extend(ids),
                Verdict::Refused => break None,
            }
            for id in std::mem::take(&mut named) {
                budget.close(id);
            }
        };

        prop_assert!(opened.is_some());
    }
}
