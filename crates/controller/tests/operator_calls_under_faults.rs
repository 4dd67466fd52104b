//! Random faults of controllers, network and disks while operators send calls. Every response is
//! checked.

#[path = "common/operators/mod.rs"]
mod operators;
#[path = "../../gateway-config/tests/reference_model/mod.rs"]
mod reference_model;
#[path = "common/simulation/mod.rs"]
mod simulation;

use operators::Operators;
use simulation::Simulation;

/// Returns whether one more disk may be lost: every controller runs, the members on every disk are
/// exactly the current disks, and no membership change is pending.
fn may_wipe_disk(simulation: &Simulation) -> bool {
    let identities: Vec<(String, u64)> = simulation
        .names()
        .iter()
        .map(|name| {
            (
                name.clone(),
                simulation.disk(name).raft.identity.unwrap_or(u64::MAX),
            )
        })
        .collect();
    simulation.names().iter().all(|name| {
        let disk = &simulation.disk(name).raft;
        let configuration = disk.configuration();
        let is_membership_committed = configuration.previous == configuration.current
            || disk.members_committed >= configuration.index;
        let mut members: Vec<(String, u64)> = configuration
            .current
            .into_iter()
            .map(|member| (member.name, member.identity))
            .collect();
        members.sort();
        simulation.is_running(name) && members == identities && is_membership_committed
    })
}

/// Injects a random fault; returns the time until the next one.
fn inject_fault(operators: &mut Operators) -> f64 {
    let simulation = &mut operators.simulation;
    let (target, peer) = (
        simulation.random_controller(),
        simulation.random_controller(),
    );
    let down = 50.0 + f64::from(simulation.draw(1500));
    match simulation.draw(14) {
        0 => simulation.crash(&target, down),
        // Wipes one disk at a time, and none before the previously lost disk is replaced. Sometimes
        // all other controllers lose power with it.
        1 | 13 if may_wipe_disk(simulation) => {
            simulation.wipe(&target, down);
            if simulation.draw_bool(0.3) {
                for name in simulation.names().to_vec() {
                    let delay = down + f64::from(simulation.draw(300));
                    if name != target {
                        simulation.crash(&name, delay);
                    }
                }
            }
            operators.wiped += 1;
        }
        1 => simulation.crash(&target, down),
        2 => {
            for name in simulation.names().to_vec() {
                let delay = down + f64::from(simulation.draw(300));
                simulation.crash(&name, delay);
            }
        }
        3 | 4 => simulation.isolate(&target),
        5 | 6 => simulation.block_link(&target, &peer),
        7 => simulation.pause(&target, 3.0 * down),
        8 => simulation.stall_disk(&target, down),
        9 => {
            // A graceful shutdown: the process keeps running for a while.
            simulation.stop(&target);
            operators.run(30.0);
            operators.simulation.crash(&target, down);
            return 100.0;
        }
        10 => simulation.response_loss = 0.4,
        11 => simulation.frame_loss = 0.05,
        12 => {
            simulation.unreachable.insert(target);
        }
        _ => simulation.clear_faults(),
    }
    if simulation.draw_bool(0.2) {
        simulation.heal();
    }
    100.0 + f64::from(simulation.draw(1500))
}

fn run_with_faults(seed: u64, size: usize) -> Operators {
    let mut operators = Operators::new(seed, size);
    operators.run(1000.0);
    for _ in 0..20 {
        let span = inject_fault(&mut operators);
        operators.run(span);
    }
    operators.finish();
    operators
}

/// Checks every response to an operator under random faults: at most one content is ever confirmed
/// under a version; a confirmed amendment is confirmed again or answered as unavailable, never
/// rejected; a rejection has a cause in the committed changes, and a rejected amendment is never
/// committed; a read returns all that was committed at one moment since the call. Up to eight
/// amendments are sent at once, and repeated until there is a definite response. `ORDER_FIRST=40
/// ORDER_DAYS=1000` runs other seeds than CI does.
#[test]
fn responses_stay_true_under_random_faults() {
    let number_from_environment = |name| {
        std::env::var(name)
            .ok()
            .and_then(|value| value.parse().ok())
    };
    let (first, runs) = (
        number_from_environment("ORDER_FIRST").unwrap_or(0),
        number_from_environment("ORDER_DAYS").unwrap_or(40),
    );
    let mut wiped = 0;
    for seed in first..first + runs {
        println!("seed {seed}");
        let operators = run_with_faults(seed, if seed % 4 == 0 { 5 } else { 3 });
        println!("{:?} wiped {}", operators.statistics, operators.wiped);
        wiped += operators.wiped;
    }
    assert!(
        runs < 40 || wiped >= 10,
        "disks were lost {wiped} times only"
    );
}
