//! Operators of simulated controllers: they send several amendments at once and repeat each until
//! there is a definite response. Every response is checked against all committed changes.

#![allow(dead_code)]

mod amendments;
mod calls;
mod checks;

use crate::reference_model::ReferenceModel;
use crate::simulation::{Millis, Occurrence, Simulation};
use maplefall_gateway_config::{Change, Item, ItemKind};
use std::collections::BTreeMap;

/// Time after which a caller moves on to another controller.
const CALL_TIMEOUT: Millis = 1000.0;
/// Number of operators, and so of amendments that are sent at once.
const OPERATORS: usize = 8;

/// A `config.amend` call and its outcome.
pub struct Amendment {
    body: String,
    change: Option<Change>,
    /// When a controller first accepted the amendment, whether or not the response reached its
    /// operator.
    accepted: Option<Millis>,
    /// The last definite status that the operator received.
    status: Option<u16>,
    /// Number of changes that were committed when the amendment was first sent.
    sent_after: usize,
    /// Whether two operators sent the amendment at once: one may be rejected before the item it
    /// refers to is committed, while the other is accepted.
    is_shared: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Activity {
    Idle,
    Calling(u64),
    BackingOff,
}

struct Operator {
    /// The amendment that is being sent; `None` while the configuration is read.
    amendment: Option<usize>,
    activity: Activity,
    redirects: u32,
    attempts: u32,
    /// Number of the current step; timers of earlier steps are ignored.
    step: u64,
}

/// A call that was sent: its amendment, its time, and the number of changes committed by then.
struct SentCall {
    amendment: Option<usize>,
    at: Millis,
    committed: usize,
}

/// Counts of the calls, changes and leader changes in a run: a run without any proves nothing.
#[derive(Debug, Default)]
pub struct Statistics {
    /// Number of calls by kind of response.
    pub responses: BTreeMap<&'static str, usize>,
    /// Number of accepted amendments that were sent again.
    pub repeated: usize,
    /// Number of committed changes.
    pub committed: usize,
    /// Number of complete configurations that were sent to proxies.
    pub complete_configs: usize,
    /// Number of leader changes.
    pub leader_changes: usize,
}

/// The operators, and the data that their responses are checked against.
pub struct Operators {
    /// The simulated controllers.
    pub simulation: Simulation,
    pub statistics: Statistics,
    amendments: Vec<Amendment>,
    operators: Vec<Operator>,
    sent_calls: BTreeMap<u64, SentCall>,
    /// The content confirmed under each version of an item.
    confirmed: BTreeMap<(ItemKind, String, u32), Item>,
    /// The first configuration, which proxies receive as a complete one and not as a change.
    initial: Vec<Item>,
    /// All committed items in order; `lengths` has the index of each change and the number of items
    /// after it.
    committed: ReferenceModel,
    lengths: Vec<(u64, usize)>,
    version: u32,
    nonce: u32,
    /// While set, operators send no new amendments.
    pub is_winding_down: bool,
    /// Number of disks that were wiped.
    pub wiped: usize,
}

const INITIAL_CONFIG: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","Service","Version"],
"DataRows":[["r0","h0.example","/p0/","safe",1,"s0","00000001"],["r1","h0.example","/p1/","safe",1,"s1","00000001"]]},
"Tenants":{"ColumnNames":["Name","ApiKeys","BurstSize","Version"],"DataRows":[["t0",["k0"],1,"00000001"]]},
"Services":{"ColumnNames":["Name","ConnLimit","Version"],"DataRows":[["s0",9,"00000001"],["s1",9,"00000001"],["s2",9,"00000001"]]}}}"#;

impl Operators {
    /// Returns operators of controllers whose first configuration has reached every proxy.
    pub fn new(seed: u64, size: usize) -> Operators {
        let mut simulation = Simulation::new(seed, size);
        simulation.compact_after = Some(12);
        let mut operators = Operators {
            simulation,
            statistics: Statistics::default(),
            amendments: Vec::new(),
            operators: Vec::new(),
            sent_calls: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            initial: Vec::new(),
            committed: ReferenceModel::default(),
            lengths: Vec::new(),
            version: 2,
            nonce: 0,
            is_winding_down: true,
            wiped: 0,
        };
        for _ in 0..OPERATORS {
            operators.operators.push(Operator {
                amendment: None,
                activity: Activity::Idle,
                redirects: 0,
                attempts: 0,
                step: 0,
            });
        }
        operators.add_amendment(INITIAL_CONFIG.to_owned());
        operators.send(0, Some(0));
        operators.run(6000.0);
        assert_eq!(
            operators.amendments[0].status,
            Some(200),
            "the first call is not accepted"
        );
        for (_, items) in &operators.simulation.complete_configs {
            assert_eq!(items.items().count(), 6);
        }
        assert!(operators.simulation.committed.is_empty());
        operators.initial = operators.simulation.complete_configs[0]
            .1
            .items()
            .cloned()
            .collect();
        operators.committed = ReferenceModel(operators.initial.clone());
        let names = operators.simulation.names().to_vec();
        assert!(
            names
                .iter()
                .all(|name| operators.simulation.proxy(name).index > 0),
            "a proxy has no configuration"
        );
        operators.is_winding_down = false;
        for operator in 0..OPERATORS {
            operators.back_off_for(operator, operator as f64 * 30.0);
        }
        operators
    }

    /// Runs the simulation for `span` and checks all responses.
    pub fn run(&mut self, span: Millis) {
        let until = self.simulation.now() + span;
        loop {
            let occurrence = self.simulation.next(until);
            self.record_commits();
            match occurrence {
                Occurrence::Finished => return,
                Occurrence::Responded(call, response) => self.check_response(call, &response),
                Occurrence::Received(call, response) => self.receive_response(call, response),
                Occurrence::Timer(id) => self.timer(id),
            }
        }
    }

    /// Clears all faults, waits for a definite response to every amendment, repeats all that were
    /// ever accepted, and checks the result.
    pub fn finish(&mut self) {
        self.simulation.clear_faults();
        self.is_winding_down = true;
        self.run(12_000.0);
        self.print_members();
        self.check_all_finished();
        self.check_none_accepted_and_rejected();
        self.repeat_accepted();
        self.read_config();
        self.check_rejected_never_committed();
        self.check_proxies();
        self.count_changes();
    }

    /// Prints the members that each disk has, for the output of a failing test.
    fn print_members(&self) {
        for name in self.simulation.names() {
            let disk = &self.simulation.disk(name).raft;
            let (configuration, identity) = (disk.configuration(), disk.identity);
            println!(
                "{name}: {identity:?} term {} members committed {} {configuration:?}",
                disk.term, disk.members_committed
            );
        }
    }

    /// Checks that the configuration can be read.
    fn read_config(&mut self) {
        let reads = self.statistics.responses.get("read").copied();
        self.send(0, None);
        self.run(1500.0);
        assert!(
            self.statistics.responses.get("read").copied() > reads,
            "the configuration cannot be read"
        );
    }

    /// Copies the counts of the simulation into the statistics.
    fn count_changes(&mut self) {
        self.statistics.committed = self.simulation.committed.len();
        self.statistics.complete_configs = self.simulation.complete_configs.len();
        self.statistics.leader_changes = self
            .simulation
            .log_lines
            .iter()
            .filter(|(at, line)| line.contains(&format!("leader={at} ")))
            .count();
    }
}
