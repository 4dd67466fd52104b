//! Three controllers on the data directories written by commit f933aca, in one thread and without
//! sockets: each is a [`Core`] with a [`Store`] on a copy of its directory. Messages arrive and
//! writes are persisted at the moment they are issued; time advances only in [`Group::wait`].

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, Frame, Hello};
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Store, StoreRecord, StoredState};
use maplefall_controller::{Call, CallResponse, Core, Output};
use maplefall_node_settings::Settings;
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// The data directories by name, each with the address of the controller that wrote it.
pub const DIRECTORIES: [(&str, &str); 3] = [
    ("leader", "127.0.91.2"),
    ("set-aside", "127.0.91.3"),
    ("readmitted", "127.0.91.4"),
];

/// Milliseconds between two calls of [`Core::tick`].
const TICK_MS: f64 = 100.0;
/// Maximum number of ticks to wait for a condition: a minute.
const MAX_WAIT_TICKS: usize = 600;
/// Number of the connection of the only proxy.
const PROXY: u64 = 1;

/// Returns the directory with the data of commit f933aca.
pub fn data_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/f933aca")
}

/// Reads a file of the stored data as text.
pub fn read_data_file(name: &str) -> String {
    fs::read_to_string(data_directory().join(name)).expect("a file of the stored data")
}

/// A copy of a data directory that is removed on drop.
pub struct DataCopy(pub PathBuf);

impl DataCopy {
    /// Copies the data directory of this name.
    pub fn of(directory: &str) -> DataCopy {
        static COPIES: AtomicU32 = AtomicU32::new(0);
        let copy = COPIES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!(
            "maplefall-f933aca-{}-{copy}-{directory}",
            std::process::id()
        ));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a temporary directory");
        for file in fs::read_dir(data_directory().join(directory)).expect("a data directory") {
            let file = file.expect("a file of the stored data");
            fs::copy(file.path(), path.join(file.file_name())).expect("copied");
        }
        DataCopy(path)
    }

    /// Opens the copy as a controller does that finds no corrupt files.
    pub fn open(&self) -> (Store<Directory>, StoredState) {
        Store::open(Directory::new(&self.0)).expect("a readable directory")
    }
}

impl Drop for DataCopy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the settings that the controller at this address ran with, except for `Bootstrap`, which
/// is false.
pub fn settings(address: &str) -> Settings {
    let seeds = DIRECTORIES
        .map(|(_, address)| format!("\"{address}:8391\""))
        .join(", ");
    let text = format!(
        "Node = \"core\"\nServes = [\"controller\"]\nIp = \"{address}\"\nInternalPorts = [7591, 7591]\n\
         SeedAddrs = [{seeds}]\nBootstrap = false\nQuorumMember = true\nHeartbeatS = 1.5\n[Tolerance]\nMachineLosses = 1\n"
    );
    Settings::parse(&text, Path::new("settings of the test")).expect("settings")
}

struct Controller {
    core: Core,
    store: Store<Directory>,
    directory: DataCopy,
}

/// An event that a controller has yet to handle.
enum Event {
    Message { from: String, frame: Frame },
    Written(u64),
}

pub struct Group {
    controllers: BTreeMap<String, Controller>,
    events: VecDeque<(String, Event)>,
    responses: BTreeMap<u64, CallResponse>,
    last_call: u64,
    now: f64,
    /// Frames that were sent to the proxy.
    pub to_proxy: Vec<Frame>,
    /// Log lines of all controllers.
    pub log_lines: Vec<String>,
}

impl Group {
    /// Starts all three controllers on their stored data and makes the one with the directory of
    /// this name leader.
    pub fn led_by(directory: &str) -> Group {
        let mut group = Group {
            controllers: BTreeMap::new(),
            events: VecDeque::new(),
            responses: BTreeMap::new(),
            last_call: 0,
            now: 0.0,
            to_proxy: Vec::new(),
            log_lines: Vec::new(),
        };
        for (name, address) in DIRECTORIES {
            group.start(name, address);
        }
        for (_, from) in DIRECTORIES {
            for (_, to) in DIRECTORIES.iter().filter(|(_, to)| *to != from) {
                group.step(from, |core, now, out| core.peer_connected(now, to, out));
            }
        }
        let (_, leader) = DIRECTORIES
            .into_iter()
            .find(|(name, _)| *name == directory)
            .expect("a known directory");
        // Time passes only for this controller, so no other one stands for election.
        group.wait(&[leader], |group| {
            group.controllers[leader].core.is_leader()
        });
        group
    }

    fn start(&mut self, directory: &str, address: &str) {
        let copy = DataCopy::of(directory);
        let (store, stored) = copy.open();
        let mut out = Vec::new();
        let core = Core::new(&settings(address), self.now, 1, stored, &mut out);
        self.controllers.insert(
            address.to_owned(),
            Controller {
                core,
                store,
                directory: copy,
            },
        );
        self.handle_outputs(address, out);
    }

    /// Advances the time of these controllers until the condition holds.
    fn wait(&mut self, addresses: &[&str], condition: impl Fn(&Group) -> bool) {
        for _ in 0..MAX_WAIT_TICKS {
            if condition(self) {
                return;
            }
            self.now += TICK_MS;
            for address in addresses {
                self.step(address, |core, now, out| core.tick(now, out));
            }
        }
        panic!(
            "the condition did not hold within a minute; log:\n{}",
            self.log_lines.join("\n")
        );
    }

    /// Calls the leader and returns its response.
    pub fn call(&mut self, call: Call) -> CallResponse {
        self.last_call += 1;
        let number = self.last_call;
        let leader = self.leader();
        self.step(&leader, |core, now, out| core.call(now, number, call, out));
        let all = DIRECTORIES.map(|(_, address)| address);
        self.wait(&all, |group| group.responses.contains_key(&number));
        self.responses.remove(&number).expect("a response")
    }

    /// Sends an amendment to the leader and returns its response.
    pub fn amend(&mut self, body: &str) -> CallResponse {
        self.call(Call::Amend(Bytes::copy_from_slice(body.as_bytes())))
    }

    /// Returns the address of the leader.
    fn leader(&self) -> String {
        let leads = |(address, controller): (&String, &Controller)| {
            controller.core.is_leader().then(|| address.clone())
        };
        self.controllers.iter().find_map(leads).expect("a leader")
    }

    /// Connects a proxy without a configuration to the leader, and waits until the proxy has been
    /// sent a list of instances.
    pub fn connect_proxy(&mut self) {
        let leader = self.leader();
        let hello = Hello {
            node: "edge-2".to_owned(),
            incarnation: 1,
            ..Hello::default()
        };
        self.step(&leader, |core, now, out| {
            core.proxy_connected(now, PROXY, &hello, out)
        });
        let all = DIRECTORIES.map(|(_, address)| address);
        self.wait(&all, |group| {
            group
                .to_proxy
                .iter()
                .any(|frame| matches!(frame, Frame::InstanceUpdates(_)))
        });
    }

    /// Returns the addresses of the members as each controller has them.
    pub fn members(&self) -> Vec<Vec<String>> {
        self.controllers
            .values()
            .map(|controller| controller.core.voters().iter().cloned().collect())
            .collect()
    }

    /// Ends all controllers; returns what a start finds in each directory, by the directory's name.
    pub fn into_stored(self) -> BTreeMap<&'static str, StoredState> {
        let mut stored = BTreeMap::new();
        for (
            address,
            Controller {
                core,
                store,
                directory,
            },
        ) in self.controllers
        {
            drop((core, store));
            let (name, _) = DIRECTORIES
                .into_iter()
                .find(|(_, known)| *known == address)
                .expect("a known address");
            stored.insert(name, directory.open().1);
        }
        stored
    }

    /// Runs one step of a controller, and handles at once all events that follow from it.
    fn step(&mut self, address: &str, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        self.step_core(address, step);
        while let Some((address, event)) = self.events.pop_front() {
            match event {
                Event::Message { from, frame } => {
                    self.step_core(&address, |core, now, out| {
                        core.receive_from_peer(now, &from, frame, out)
                    });
                }
                Event::Written(number) => {
                    self.step_core(&address, |core, now, out| core.persisted(now, number, out));
                }
            }
        }
    }

    fn step_core(&mut self, address: &str, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let Some(controller) = self.controllers.get_mut(address) else {
            return;
        };
        let mut out = Vec::new();
        step(&mut controller.core, self.now, &mut out);
        self.handle_outputs(address, out);
    }

    fn handle_outputs(&mut self, address: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, record) => {
                    self.write(address, StoreRecord { number, ..*record })
                }
                Output::SendToPeer(to, bytes) => self.send(address, &to, &bytes),
                Output::SendToAllPeers(bytes) => {
                    for (_, to) in DIRECTORIES.iter().filter(|(_, to)| *to != address) {
                        self.send(address, to, &bytes);
                    }
                }
                Output::SendToProxy(_, bytes) => self.to_proxy.push(frame(&bytes)),
                Output::Respond(number, response) => {
                    self.responses.insert(number, response);
                }
                Output::LeaseRequestsQueued => {
                    self.step_core(
                        address,
                        |core, now, out| {
                            while core.answer_lease_request(now, out) {}
                        },
                    )
                }
                Output::Log(line) => self.log_lines.push(line),
                Output::Debug(_) => {}
            }
        }
    }

    fn write(&mut self, address: &str, record: StoreRecord) {
        let number = record.number;
        let controller = self.controllers.get_mut(address).expect("a controller");
        controller
            .store
            .write(vec![record])
            .expect("the next record");
        while controller.store.has_background_work() {
            controller.store.step().expect("a step of compaction");
        }
        self.events
            .push_back((address.to_owned(), Event::Written(number)));
    }

    fn send(&mut self, from: &str, to: &str, bytes: &Bytes) {
        let message = Event::Message {
            from: from.to_owned(),
            frame: frame(bytes),
        };
        self.events.push_back((to.to_owned(), message));
    }
}

fn frame(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(&bytes[..]))
        .ok()
        .flatten()
        .expect("a complete frame")
}
