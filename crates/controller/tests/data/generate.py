#!/usr/bin/env python3
"""Makes the stored data of a group of three controllers with the programs of commit f933aca.

    generate.py PROGRAM_DIR OUTPUT_DIR

PROGRAM_DIR holds `exchange` and `switchboard`. Starts three processes of `exchange` and one of `switchboard` on loopback
addresses, sends configuration changes and heartbeats, restarts the controllers, wipes one, damages the files of another, and
copies the three data folders to OUTPUT_DIR. README.md beside this file
tells what each output holds. The choice of the changes is seeded; timing, and so terms and identities, differs from run to run.
"""

import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ADDRESSES = ["127.0.91.2", "127.0.91.3", "127.0.91.4"]
CONTROL_PORT = 8391
INTERNAL_PORT = 7591
PROXY_ADDRESS = "127.0.91.8"
HEARTBEAT_S = 1.0
CHANGES = 300
PATIENCE_S = 30


class Proxy:
    """A process that borrows shares of the tenants' quotas, so that the data tells of loans."""

    def __init__(self, program, work):
        settings = os.path.join(work, "edge.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'Node = "edge-1"\nRole = "switchboard"\nServes = ["edge"]\nIp = "{PROXY_ADDRESS}"\nZone = "z"\nRegion = "z"\n'
                f'InternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = ["{ADDRESSES[0]}:{CONTROL_PORT}"]\nBootstrap = true\n'
                f'[Bind]\nFrontHttp = "{PROXY_ADDRESS}:8398"\nReadyProbe = "{PROXY_ADDRESS}:8394"\n'
            )
        with open(os.path.join(work, "edge.log"), "ab") as log:
            self.process = subprocess.Popen([program, "run"], env=dict(os.environ, MAPLEFALL_CONFIG=settings), stderr=log)


class Controller:
    """One process with its settings and its data folder."""

    def __init__(self, program, work, address):
        self.program, self.work, self.address = program, work, address
        self.name = "core-" + address.rsplit(".", 1)[1]
        self.data = os.path.join(work, self.name, "data")
        self.log = os.path.join(work, self.name, "log")
        os.makedirs(self.data)
        self.process = None

    def start(self, bootstrap):
        seeds = ", ".join(f'"{address}:{CONTROL_PORT}"' for address in ADDRESSES)
        settings = os.path.join(self.work, self.name, "settings.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'Node = "{self.name}"\nRole = "exchange"\nServes = ["controller"]\nIp = "{self.address}"\n'
                f'Zone = "z"\nRegion = "z"\nInternalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\nSeedAddrs = [{seeds}]\n'
                f'Bootstrap = {"true" if bootstrap else "false"}\nQuorumMember = true\nDataDir = "{self.data}"\n'
                f'HeartbeatS = 1.5\n[Bind]\nControl = "{self.address}:{CONTROL_PORT}"\n[Tolerance]\nMachineLosses = 1\n'
            )
        environment = dict(os.environ, MAPLEFALL_CONFIG=settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.program, "run"], env=environment, stderr=log)

    def end(self, how):
        self.process.send_signal(how)
        self.process.wait(PATIENCE_S)

    def restart(self, how, bootstrap=False):
        self.end(how)
        self.start(bootstrap)

    def logged(self, since=0):
        with open(self.log, encoding="utf-8") as log:
            log.seek(since)
            return log.read()

    def log_length(self):
        return os.path.getsize(self.log)


def call(address, target, body=""):
    """One call; follows redirects to the leader. Tells status and body; 0 if nobody answers."""
    for _ in range(4):
        connection = http.client.HTTPConnection(address, CONTROL_PORT, timeout=5)
        try:
            connection.request("POST", target, body)
            answer = connection.getresponse()
            text = answer.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()
        if answer.status != 307:
            return answer.status, text
        address = urllib.parse.urlsplit(answer.headers["Location"]).hostname
    return 0, ""


def insist(target, body=""):
    """The first definite answer (neither 503 nor silence) of any controller."""
    deadline = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline:
        for address in ADDRESSES:
            status, text = call(address, target, body)
            if status not in (0, 503):
                return status, text
        time.sleep(0.05)
    raise RuntimeError(f"no answer to {target}")


def wait_for(what, condition):
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"waited in vain for {what}")
        time.sleep(0.05)


class Backends:
    """Instances that send heartbeats until they are told to end."""

    def __init__(self):
        self.states, self.numbers, self.lock = {}, {}, threading.Lock()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def beat(self, name):
        with self.lock:
            state = self.states[name]
            self.numbers[name] = number = self.numbers.get(name, 0) + 1
        body = json.dumps({
            "Address": f"127.0.91.9:{9000 + int(name[1:])}",
            "Details": {"Service": "s1" if int(name[1:]) % 2 else "s2", "Version": "v1", "Zone": "z", "Capacity": 2},
            "Observed": {"State": state, "CallSeq": number, "WarmupLeftS": 0},
        })
        status, _ = insist(f"/api/rpc?call=instances.beat&of={name}", body)
        assert status == 200, status

    def run(self):
        while not self.stopped.wait(HEARTBEAT_S):
            for name in list(self.states):
                self.beat(name)

    def become(self, name, state):
        with self.lock:
            self.states[name] = state
        self.beat(name)

    def silence(self, name):
        with self.lock:
            del self.states[name]

    def leave(self, name):
        self.silence(name)
        status, _ = insist(f"/api/rpc?call=instances.leave&of={name}")
        assert status == 200, status


def table(rows):
    columns = sorted({column for row in rows for column in row})
    return {"ColumnNames": columns, "DataRows": [[row.get(column) for column in columns] for row in rows]}


def upsert(kind, *rows):
    return {"Upsert": {kind: table(rows)}}


class Operator:
    """Sends changes, and keeps a list of all that was sent and how it was answered."""

    def __init__(self, seed):
        self.random, self.sent, self.taken = random.Random(seed), [], {}

    def send(self, change, expected=200):
        body = json.dumps(change, separators=(",", ":"))
        status, text = insist("/api/rpc?call=config.amend", body)
        if status != expected:
            raise RuntimeError(f"{status} {text} for {body}")
        self.sent.append(f"{status} {body}")

    def version(self, name):
        """Mostly a higher version than any before; now and then a lower one that nobody has taken."""
        taken = self.taken.setdefault(name, set())
        highest = max(taken, default=0)
        free = [version for version in range(1, highest) if version not in taken]
        if free and self.random.random() < 0.25:
            version = self.random.choice(free)
        else:
            version = highest + self.random.randint(1, 3)
        taken.add(version)
        return f"{version:08x}"

    def route(self, name):
        return {"Name": name, "Host": "h.example", "PathPrefix": f"/{name}/", "RouteKind": self.random.choice(["safe", "nonidempotent"]),
                "TimeoutS": self.random.randint(1, 20), "SetpointS": 0.2, "MaxAttempts": self.random.randint(1, 3),
                "Service": self.random.choice(["s1", "s2"]), "Owner": f"team {self.random.randint(1, 99)}", "Version": self.version(name)}

    def tenant(self, name):
        return {"Name": name, "ApiKeys": [f"{name}-key", f"{name}-key-{self.random.randint(1, 9)}"],
                "RatePerS": self.random.randint(100, 900), "BurstSize": 50, "Priority": self.random.randint(0, 3), "Version": self.version(name)}

    def service(self, name):
        return {"Name": name, "HealthPath": "/health", "ConnLimit": self.random.randint(10, 99), "Version": self.version(name)}

    def first(self):
        self.send({"Upsert": {
            "RouteTable": table([self.route(f"r{n}") for n in range(1, 10)]),
            "Tenants": table([self.tenant(f"t{n}") for n in range(1, 8)]),
            "Services": table([self.service(f"s{n}") for n in range(1, 5)]),
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 1 << 20, "IdleS": 15, "Version": self.version("Limits")},
        }})

    def change(self):
        which = self.random.random()
        if which < 0.6:
            names = self.random.sample([f"r{n}" for n in range(1, 9)], 2)
            self.send(upsert("RouteTable", *[self.route(name) for name in names]))
        elif which < 0.8:
            self.send(upsert("Tenants", self.tenant(f"t{self.random.randint(1, 6)}")))
        elif which < 0.93:
            self.send(upsert("Services", self.service(f"s{self.random.randint(1, 4)}")))
        else:
            self.send({"Upsert": {"Limits": {"HeaderBytes": 16384, "BodyBytes": self.random.randint(1, 9) << 20, "IdleS": 15,
                                             "Version": self.version("Limits")}}})

    def conflict(self):
        """Other contents under versions of a tenant that are taken: the highest, and an overtaken one."""
        taken = sorted(self.taken["t1"])
        for version in (taken[-1], taken[len(taken) // 2]):
            other = {"Name": "t1", "ApiKeys": ["other"], "RatePerS": 1, "Version": f"{version:08x}"}
            self.send(upsert("Tenants", other), expected=409)

    def drop(self):
        """Drops a route and a tenant that no other change names."""
        for kind, name in (("RouteTable", "r9"), ("Tenants", "t7")):
            version = max(self.taken[name]) + 1
            self.taken[name].add(version)
            self.send({"Remove": {kind: [{"Name": name, "Version": f"{version:08x}"}]}})


def files(folder, prefix):
    return sorted(name for name in os.listdir(folder) if name.startswith(prefix))


def damage(folder):
    """Changes two bytes in the middle of the first file that holds records."""
    name = (files(folder, "state-") + files(folder, "log-"))[0]
    with open(os.path.join(folder, name), "r+b") as file:
        file.seek(os.path.getsize(file.name) // 2)
        file.write(b"\xff\xfe")


def readmitted(controllers, member, since):
    """Whether a controller has logged that this address is a member with a new disk."""
    for controller in controllers:
        for line in controller.logged(since[controller.name]).splitlines():
            if "event=member_in" in line and "why=new_disk" in line and member.address in line:
                return True
    return False


def play(programs, work, output):
    program = os.path.join(programs, "exchange")
    kept, set_aside, wiped = controllers = [Controller(program, work, address) for address in ADDRESSES]
    proxy = Proxy(os.path.join(programs, "switchboard"), work)
    operator, backends = Operator(seed=933), Backends()
    try:
        for controller in controllers:
            controller.start(bootstrap=True)
        operator.first()
        for name in ("b1", "b2", "b3", "b4", "b5", "b6"):
            backends.become(name, "in_loop")
        backends.thread.start()
        for number in range(1, CHANGES + 1):
            operator.change()
            if number % 14 == 0:
                kept.restart(random.choice([signal.SIGTERM, signal.SIGKILL]))
            if number > 100 and number % 9 == 0:
                wiped.restart(random.choice([signal.SIGTERM, signal.SIGKILL]))
            if number == 40:
                backends.become("b2", "decaying")
                backends.become("b3", "decaying")
                backends.silence("b5")
            if number == 60:
                backends.leave("b3")
                backends.leave("b4")
            if number in (50, 290):
                operator.conflict()
            if number == 80:
                operator.drop()
                operator.send(upsert("RouteTable", dict(operator.route("r7"), Service="unknown", Version="0000ffff")), expected=400)
            if number == 100:
                since = {controller.name: controller.log_length() for controller in controllers}
                wiped.end(signal.SIGTERM)
                shutil.rmtree(wiped.data)
                os.makedirs(wiped.data)
                wiped.start(bootstrap=False)
                wait_for("the wiped member", lambda: readmitted(controllers, wiped, since))
            if number == 270:
                wait_for("all members", lambda: all(call(c.address, "/api/rpc?call=config.read")[0] == 200 for c in controllers))
                since = {controller.name: controller.log_length() for controller in controllers}
                set_aside.end(signal.SIGKILL)
                damage(set_aside.data)
                # Its settings still say that the whole system starts for the first time: its disk knows better.
                set_aside.start(bootstrap=True)
                wait_for("the member with damaged files", lambda: readmitted(controllers, set_aside, since))
        wait_for("the lost instance", lambda: any("event=lost backend=b5" in c.logged() for c in controllers))

        def leader():
            lines = [line for line in kept.logged().splitlines() if "event=leader" in line]
            return lines[-1].split("leader=")[1].split()[0]

        # With one of the others away, a leader that stops can hand over to no other.
        set_aside.end(signal.SIGTERM)
        wait_for("a leader", lambda: leader() != "none")
        if leader() != kept.address:
            wiped.restart(signal.SIGTERM)
        wait_for("its lead", lambda: leader() == kept.address)
        set_aside.start(bootstrap=False)
        operator.change()
        status, text = insist("/api/rpc?call=config.read")
        assert status == 200, status
        backends.stopped.set()
        backends.thread.join()
        time.sleep(2)
        assert leader() == kept.address
    finally:
        proxy.process.kill()
        proxy.process.wait()
        backends.stopped.set()
        for controller in controllers:
            if controller.process and controller.process.poll() is None:
                controller.process.kill()
        for controller in controllers:
            if controller.process:
                controller.process.wait()
    os.makedirs(output, exist_ok=True)
    for name, controller in (("leader", kept), ("set-aside", set_aside), ("readmitted", wiped)):
        shutil.rmtree(os.path.join(output, name), ignore_errors=True)
        shutil.copytree(controller.data, os.path.join(output, name))
    with open(os.path.join(output, "config-read.json"), "w", encoding="utf-8") as file:
        file.write(text)
    with open(os.path.join(output, "orders.txt"), "w", encoding="utf-8") as file:
        file.write("\n".join(operator.sent) + "\n")
    # What the program itself says that it finds in each folder, read by a last start of each on a copy.
    lines = []
    for controller in controllers:
        since = controller.log_length()
        controller.start(bootstrap=False)
        wait_for("a start", lambda: "event=start" in controller.logged(since))
        controller.end(signal.SIGKILL)
        lines += [line for line in controller.logged(since).splitlines() if "event=start" in line]
    with open(os.path.join(output, "starts.txt"), "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    work = tempfile.mkdtemp()
    print(f"work={work}")
    play(os.path.abspath(sys.argv[1]), work, sys.argv[2])


if __name__ == "__main__":
    main()
