#!/usr/bin/env python3
"""Plays groups of controllers and proxies of two versions against each other, with real processes on loopback.

    two-versions.py OLD_BIN_DIR NEW_BIN_DIR

Each directory holds the two programs, as `exchange` and `switchboard` or as `maplefall-controller` and `maplefall-proxy`.
docs/operators/two-versions.md tells what is played. Exit code: 0 all cases passed, 1 a case failed, 2 it could not be played.
"""

import functools
import http.client
import http.server
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

CONTROLLER_ADDRESSES = ["127.0.92.2", "127.0.92.3", "127.0.92.4"]
PROXY_ADDRESSES = ["127.0.92.8", "127.0.92.9"]
BACKEND_ADDRESSES = {"b1": "127.0.92.10", "b2": "127.0.92.11"}
CONTROL_PORT, INTERNAL_PORT, FRONT_PORT, READY_PORT, BACKEND_PORT = 8392, 7592, 8398, 8394, 9092
# A build directory may still hold programs under their earlier names: the later ones come first.
CONTROLLER_NAMES = ["maplefall-controller", "exchange"]
PROXY_NAMES = ["maplefall-proxy", "switchboard"]
OLD, NEW = "old", "new"
# About 150 bytes each; the log is folded beyond 64 KiB, and a part of a state has 256 KiB.
UNUSED_SERVICES = 3000
# A case that takes longer has failed; the last stop in it may take `GRACE_S` more.
CASE_S = 24.0
# Time within which a proxy goes by what was acknowledged (`ConvergeS`).
CONVERGE_S = 2.5
HEARTBEAT_S = 0.5
PAUSE_S = 0.05
# A stop that takes longer than `GraceS` is a fault.
GRACE_S = 6.0

CASES = [
    ("old controllers, new proxies", [OLD, OLD, OLD], [NEW, NEW]),
    ("new controllers, old proxies", [NEW, NEW, NEW], [OLD, OLD]),
    ("two old controllers and a new one, proxies of both", [OLD, OLD, NEW], [OLD, NEW]),
    ("an old controller and two new ones, proxies of both", [OLD, NEW, NEW], [OLD, NEW]),
]


class Failed(Exception):
    """What a case was to show did not come about."""


class Programs:
    """Paths of the controller and the proxy of one version."""

    def __init__(self, directory):
        self.controller = self.find(directory, CONTROLLER_NAMES)
        self.proxy = self.find(directory, PROXY_NAMES)

    @staticmethod
    def find(directory, names):
        paths = [os.path.abspath(os.path.join(directory, name)) for name in names]
        found = [path for path in paths if os.access(path, os.X_OK) and os.path.isfile(path)]
        if not found:
            sys.stderr.write(f"{directory}: no program named {' or '.join(names)}\n")
            sys.exit(2)
        return found[0]


class Deadline:
    """The end of a case."""

    def __init__(self):
        self.end = time.monotonic() + CASE_S

    def left(self):
        return self.end - time.monotonic()

    def until(self, what, condition, within=CASE_S):
        """Waits for the condition and returns what it returned."""
        end = min(self.end, time.monotonic() + within)
        while True:
            result = condition()
            if result:
                return result
            if time.monotonic() >= end:
                raise Failed(f"waited in vain for {what}")
            time.sleep(PAUSE_S)


def request(address, port, method, target, body="", headers=None):
    """Status, headers and body; status 0 if nobody answers."""
    connection = http.client.HTTPConnection(address, port, timeout=2)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, {}, ""
    finally:
        connection.close()


def difference(after, before):
    """Where two texts begin to differ."""
    at = len(os.path.commonprefix([after, before]))
    return f"{after[at:at + 100]!r}, not {before[at:at + 100]!r}, from byte {at} on"


class Process:
    """A program with its settings; started again, it has the same folder."""

    def __init__(self, work, name, settings):
        self.folder = os.path.join(work, name)
        os.makedirs(self.folder)
        self.log = os.path.join(self.folder, "log")
        self.settings, self.process, self.version = settings, None, None

    def start(self, program, version, bootstrap):
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings.replace("BOOTSTRAP", "true" if bootstrap else "false"))
        self.version = version
        with open(self.log, "ab") as log:
            log.write(f"# start of the {version} program\n".encode())
            log.flush()
            environment = dict(os.environ, MAPLEFALL_CONFIG=path)
            self.process = subprocess.Popen([program, "run"], env=environment, stderr=log, stdout=subprocess.DEVNULL)

    def logged(self):
        with open(self.log, encoding="utf-8") as log:
            return log.read()

    def check(self):
        if self.process and self.process.poll() is not None:
            raise Failed(f"a process ended by itself with {self.process.returncode}; see {self.log}")

    def begin_stop(self):
        """A planned stop begins."""
        self.check()
        self.process.send_signal(signal.SIGTERM)

    def end_stop(self):
        """It has ended, and well."""
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            raise Failed(f"a process has not ended {GRACE_S} s after SIGTERM; see {self.log}") from None
        if self.process.returncode != 0:
            raise Failed(f"a stop ended with {self.process.returncode}; see {self.log}")
        self.process = None

    def kill(self):
        if self.process:
            self.process.kill()
            self.process.wait()
            self.process = None


class Controller(Process):
    def __init__(self, work, address):
        seeds = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in CONTROLLER_ADDRESSES)
        name = "core-" + address.rsplit(".", 1)[1]
        self.address, self.data = address, os.path.join(work, name, "data")
        super().__init__(
            work, name,
            f'Node = "{name}"\nRole = "exchange"\nServes = ["controller"]\nIp = "{address}"\nZone = "z"\nRegion = "z"\n'
            f'InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [{seeds}]\nBootstrap = BOOTSTRAP\n'
            f'QuorumMember = true\nDataDir = "{self.data}"\nHeartbeatS = 1.5\n[Bind]\nControl = "{address}:{CONTROL_PORT}"\n'
            "[Tolerance]\nMachineLosses = 1\n",
        )

    def leads(self):
        """A leader answers a read itself; all others redirect it."""
        return request(self.address, CONTROL_PORT, "POST", "/api/rpc?call=config.read")[0] == 200


class Proxy(Process):
    def __init__(self, work, address):
        name = "edge-" + address.rsplit(".", 1)[1]
        self.address = address
        seeds = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in CONTROLLER_ADDRESSES)
        super().__init__(
            work, name,
            f'Node = "{name}"\nRole = "switchboard"\nServes = ["edge"]\nIp = "{address}"\nZone = "z"\nRegion = "z"\n'
            f'InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [{seeds}]\nBootstrap = BOOTSTRAP\n'
            f'[Bind]\nFrontHttp = "{address}:{FRONT_PORT}"\nReadyProbe = "{address}:{READY_PORT}"\n',
        )

    def ready(self):
        return request(self.address, READY_PORT, "GET", "/api/readiness")[0] == 200

    def get(self, path):
        """Status, and the name of the backend that answered."""
        headers = {"Host": "h.example", "Authorization": "Token k1", "X-Attempt-Id": os.urandom(8).hex()}
        status, answered, body = request(self.address, FRONT_PORT, "GET", path, headers=headers)
        if status == 200 and answered["X-Attempt-Id"] != headers["X-Attempt-Id"]:
            raise Failed("an answer under another id")
        return status, body

    def answers(self, path):
        """Until its share of the quota has come, a proxy refuses with 429."""
        return self.get(path)[0] == 200


class Backend:
    """A stand-in that answers every request with its name, and sends heartbeats to the controllers."""

    def __init__(self, name, group):
        self.name, self.group, self.address, self.state, self.number = name, group, BACKEND_ADDRESSES[name], "in_loop", 0
        self.lock, self.ended = threading.Lock(), threading.Event()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # An answer goes in one piece.
            wbufsize = -1

            def do_GET(self):
                self.send_response(200)
                self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
                self.send_header("X-Server-Seal", "s1")
                self.send_header("Content-Length", str(len(name)))
                self.end_headers()
                self.wfile.write(name.encode())

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((self.address, BACKEND_PORT), Handler)
        self.server.daemon_threads = True
        self.threads = [threading.Thread(target=self.server.serve_forever), threading.Thread(target=self.run)]
        for thread in self.threads:
            thread.start()

    def heartbeat(self):
        with self.lock:
            self.number += 1
            body = json.dumps({
                "Address": f"{self.address}:{BACKEND_PORT}",
                "Details": {"Service": "s", "Version": "v1", "Zone": "z", "Capacity": 4},
                "Observed": {"State": self.state, "CallSeq": self.number, "WarmupLeftS": 0},
            })
            return self.group.call(f"/api/rpc?call=instances.beat&of={self.name}", body)[0] == 200

    def run(self):
        while not self.ended.wait(HEARTBEAT_S):
            self.heartbeat()

    def end(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()
        for thread in self.threads:
            thread.join()


class Group:
    """The controllers and proxies of one case."""

    def __init__(self, work, programs, controllers, proxies):
        self.programs, self.deadline = programs, Deadline()
        self.controllers = [Controller(work, address) for address in CONTROLLER_ADDRESSES]
        self.proxies = [Proxy(work, address) for address in PROXY_ADDRESSES]
        self.backends, self.routes = [], []
        self.versions, self.proxy_versions = controllers, proxies

    def start(self):
        for controller, version in zip(self.controllers, self.versions):
            controller.start(self.programs[version].controller, version, bootstrap=True)
        for proxy, version in zip(self.proxies, self.proxy_versions):
            proxy.start(self.programs[version].proxy, version, bootstrap=True)
        self.leader()
        for name in BACKEND_ADDRESSES:
            self.backends.append(Backend(name, self))

    def end(self):
        for process in self.controllers + self.proxies:
            process.kill()
        for backend in self.backends:
            backend.end()

    def check(self):
        if self.deadline.left() < 0:
            raise Failed(f"longer than {CASE_S} s")
        for process in self.controllers + self.proxies:
            process.check()

    def call(self, target, body=""):
        """The first definite answer of any controller, redirects followed; 0 if there is none."""
        for controller in self.controllers:
            address = controller.address
            for _ in range(3):
                status, headers, text = request(address, CONTROL_PORT, "POST", target, body)
                if status != 307:
                    break
                address = urllib.parse.urlsplit(headers["Location"]).hostname
            if status not in (0, 307, 503):
                return status, text
        return 0, ""

    def insist(self, target, body=""):
        answer = self.deadline.until(target, lambda: self.answered(target, body))
        if answer[0] != 200:
            raise Failed(f"{answer[0]} {answer[1]} to {target}")
        return answer[1]

    def answered(self, target, body):
        self.check()
        answer = self.call(target, body)
        return answer if answer[0] else None

    def leader(self):
        return self.deadline.until("a leader", self.find_leader)

    def find_leader(self):
        self.check()
        return next((controller for controller in self.controllers if controller.leads()), None)

    def make_leader(self, chosen):
        """Lets the chosen controller lead: with the third one away, a leader that stops can hand over to no other."""
        for _ in range(3):
            self.check()
            leader = self.leader()
            if leader is chosen:
                return
            (third,) = [controller for controller in self.controllers if controller not in (leader, chosen)]
            for controller in (third, leader):
                controller.begin_stop()
                controller.end_stop()
            for controller in (third, leader):
                controller.start(self.programs[controller.version].controller, controller.version, bootstrap=False)
        if self.leader() is not chosen:
            raise Failed(f"{chosen.address} does not become leader")

    # ---- What a case shows ------------------------------------------------------------------------------

    def first_change(self):
        """A first configuration with a tenant, whose quota the proxies have to borrow, and so long that the log is folded into a
        state and the state goes in more than one part."""
        services = [[f"unused-{number}", f"/health/{number:0100}", "00000001"] for number in range(UNUSED_SERVICES)]
        change = {"Upsert": {
            "Services": {"ColumnNames": ["Name", "HealthPath", "Version"], "DataRows": [["s", "/health", "00000001"]] + services},
            "Tenants": {"ColumnNames": ["Name", "ApiKeys", "RatePerS", "BurstSize", "Version"],
                        "DataRows": [["t1", ["k1"], 1000, 1000, "00000001"]]},
        }}
        self.insist("/api/rpc?call=config.amend", json.dumps(change))
        self.change()
        for proxy in self.proxies:
            self.deadline.until("a ready proxy", proxy.ready)

    def change(self):
        """A new route is acknowledged, and soon in force at every proxy."""
        path = f"/p{len(self.routes) + 1}/"
        change = {"Upsert": {"RouteTable": {
            "ColumnNames": ["Name", "Host", "PathPrefix", "RouteKind", "TimeoutS", "SetpointS", "MaxAttempts", "Version", "Service"],
            "DataRows": [[f"r{len(self.routes) + 1}", "h.example", path, "safe", 5, 0.2, 3, "00000001", "s"]],
        }}}
        self.insist("/api/rpc?call=config.amend", json.dumps(change))
        self.routes.append(path)
        self.in_force(path, within=CONVERGE_S if len(self.routes) > 1 else CASE_S)

    def in_force(self, path, within):
        for proxy in self.proxies:
            self.deadline.until(f"{path} at the {proxy.version} proxy", functools.partial(proxy.answers, path), within)

    def leaders(self):
        """A change through a leader of each version that is there."""
        for version in sorted(set(self.versions), reverse=True):
            chosen = next(controller for controller in self.controllers if controller.version == version)
            self.make_leader(chosen)
            self.change()

    def read_back(self):
        text = self.insist("/api/rpc?call=config.read")
        routes = [row[0] for row in json.loads(text)["RouteTable"]["DataRows"]]
        if sorted(routes) != sorted(f"r{number + 1}" for number in range(len(self.routes))):
            raise Failed(f"routes {routes} of {len(self.routes)}")
        return text

    def swap_programs(self):
        """All controllers stop, and each folder goes on with the program of the other version: nobody else has the data."""
        before = self.read_back()
        for controller in self.controllers:
            controller.begin_stop()
        for controller in self.controllers:
            controller.end_stop()
        for controller in self.controllers:
            version = NEW if controller.version == OLD else OLD
            controller.start(self.programs[version].controller, version, bootstrap=False)
        self.leader()
        after = self.read_back()
        if after != before:
            raise Failed(f"read back {difference(after, before)}")
        for controller in self.controllers:
            if any(name.startswith("spoilt-") for name in os.listdir(controller.data)):
                raise Failed(f"{controller.address} has set files aside")
        self.change()

    def restart_proxies(self):
        """A proxy that starts anew has nothing: it is sent the whole configuration and the list of instances."""
        for proxy in self.proxies:
            proxy.kill()
            proxy.start(self.programs[proxy.version].proxy, proxy.version, bootstrap=False)
        for path in self.routes:
            self.in_force(path, within=CASE_S)

    def readmit(self):
        """A controller that has lost its disk is sent the state by the leader, of the other version if there is one, and can lead."""
        leader = self.leader()
        others = [controller for controller in self.controllers if controller is not leader]
        wiped = next((controller for controller in others if controller.version != leader.version), others[0])
        before, logged = self.read_back(), {controller: len(controller.logged()) for controller in self.controllers}
        wiped.begin_stop()
        wiped.end_stop()
        shutil.rmtree(wiped.data)
        wiped.start(self.programs[wiped.version].controller, wiped.version, bootstrap=False)
        self.deadline.until("a readmitted controller", lambda: self.is_readmitted(wiped, logged))
        self.make_leader(wiped)
        after = self.read_back()
        if after != before:
            raise Failed(f"read back {difference(after, before)}")
        self.change()

    def is_readmitted(self, wiped, logged):
        self.check()
        lines = [line for controller, start in logged.items() for line in controller.logged()[start:].splitlines()]
        joined = ("event=member_added", "event=member_in")
        admitted = [line for line in lines if any(event in line for event in joined) and "why=new_disk" in line]
        return any(f"name={wiped.address} " in line for line in admitted)

    def drain(self):
        """An instance whose draining is acknowledged is sent nothing more."""
        draining, other = self.backends
        draining.state = "decaying"
        self.deadline.until("an acknowledged drain", draining.heartbeat)
        time.sleep(CONVERGE_S)
        for proxy in self.proxies:
            for _ in range(20):
                status, name = proxy.get(self.routes[0])
                if (status, name) != (200, other.name):
                    raise Failed(f"{status} {name!r} at the {proxy.version} proxy after a drain")


STEPS = [
    ("a first configuration is in force at every proxy", Group.first_change),
    ("a change through a leader of each version", Group.leaders),
    ("a controller without its disk is readmitted and leads", Group.readmit),
    ("each folder goes on with the other program", Group.swap_programs),
    ("and back", Group.swap_programs),
    ("proxies that start anew have all routes", Group.restart_proxies),
    ("a drain reaches every proxy", Group.drain),
]


def play(programs, case, work):
    """Plays one case and tells whether it passed."""
    title, controllers, proxies = case
    print(title, flush=True)
    group = Group(work, programs, controllers, proxies)
    began = time.monotonic()
    step = "start"
    try:
        group.start()
        for step, action in STEPS:
            at = time.monotonic()
            action(group)
            group.check()
            print(f"  ok      {time.monotonic() - at:5.2f} s  {step}", flush=True)
    except (Failed, OSError) as error:
        print(f"  FAILED  {step}: {error}", flush=True)
        return False
    finally:
        group.end()
    print(f"  passed in {time.monotonic() - began:.1f} s", flush=True)
    return True


def end_by_signal(number, _):
    """Ends the case that is played, and with it its processes; once."""
    signal.signal(number, signal.SIG_IGN)
    sys.exit(1)


def main():
    if len(sys.argv) != 3:
        sys.stderr.write(__doc__)
        return 2
    # A case that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, end_by_signal)
    programs = {OLD: Programs(sys.argv[1]), NEW: Programs(sys.argv[2])}
    for version, paths in programs.items():
        print(f"{version}: {paths.controller} {paths.proxy}", flush=True)
    work = tempfile.mkdtemp(prefix="two-versions-")
    failed = 0
    for number, case in enumerate(CASES):
        failed += not play(programs, case, os.path.join(work, str(number)))
    if failed:
        print(f"{failed} of {len(CASES)} cases failed; settings, logs and data are in {work}")
        return 1
    shutil.rmtree(work)
    print(f"{len(CASES)} cases passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
