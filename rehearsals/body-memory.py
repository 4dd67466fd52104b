#!/usr/bin/env python3
"""Measures the resident memory of a proxy under long bodies, beside usual clients, with real processes on loopback.

    body-memory.py BIN_DIR [--seconds S] [--only TEXT] [--mbit RATE]

BIN_DIR holds `maplefall-controller` and `maplefall-proxy`. Each cell is a number of clients with long bodies, their length,
the direction, the size of the pieces, and the speed of the backends. With --mbit 0 the clients take all that the machine
gives; else all of them together send and read at this rate. docs/operators/body-memory.md tells what is measured.
Exit code: 0 all cells within the bounds, 1 one was not, 2 it could not be played.
"""

import argparse
import asyncio
import importlib.util
import json
import multiprocessing
import os
import random
import socket
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
SPEC = importlib.util.spec_from_file_location("two_versions", os.path.join(HERE, "two-versions.py"))
two_versions = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(two_versions)

MEMORY_MB = 260
# Highest resident memory, of MemoryMb.
MAX_RESIDENT = 0.85
# The usual clients' 99th percentile, against the calm one.
MAX_SLOWDOWN = 2.0
# A percentile below this is taken for it: the clients' own scheduling is of that size.
MIN_PERCENTILE_S = 0.005
USUAL_CLIENTS = 30
USUAL_BODY_BYTES = 4096
USUAL_PAUSE_S = 0.02
LONG_TIMEOUT_S = 20
RETRY_PAUSE_S = 0.05
BLOCK = bytes(256 << 10)
# A client that was held up catches up on this much.
PACE_BURST_S = 0.02
# What a slow backend reads and writes: a block, then a pause.
SLOW_BLOCK_BYTES, SLOW_PAUSE_S = 64 << 10, 0.002
# By address, the service of each backend: the usual clients' has one of its own, whose latency the long bodies don't add to.
BACKENDS = {"127.0.92.10": "s", "127.0.92.11": "s", "127.0.92.12": "u"}
MIB = 1 << 20


class Failed(Exception):
    """The cells cannot be played."""


def read_head(reader):
    """First line and headers, in lower case; None at the end."""
    first = reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            return first.decode(), headers
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


class Pace:
    """Delays a client that is faster than its rate, in bytes per second; 0 for none."""

    def __init__(self, rate):
        self.rate, self.due = rate, time.monotonic()

    def wait(self, count):
        if not self.rate:
            return
        now = time.monotonic()
        self.due = max(self.due, now - PACE_BURST_S) + count / self.rate
        if self.due > now:
            time.sleep(self.due - now)


def discard(reader, length, is_slow=False, pace=Pace(0)):
    """Reads the bytes of a body and keeps none."""
    buffer = memoryview(bytearray(SLOW_BLOCK_BYTES if is_slow else len(BLOCK)))
    while length:
        count = reader.readinto1(buffer[:min(length, len(buffer))])
        if not count:
            raise ConnectionError("the body ends early")
        length -= count
        pace.wait(count)
        if is_slow:
            time.sleep(SLOW_PAUSE_S)


def send_zeros(connection, length, piece, pace=Pace(0)):
    """Sends a body in pieces; each is a segment of its own if small."""
    block = memoryview(BLOCK)[:piece]
    while length:
        count = min(length, len(block))
        connection.sendall(block[:count])
        length -= count
        pace.wait(count)


# ---- Backends ---------------------------------------------------------------------------------------------


def serve_connection(connection):
    """Answers requests; a path /bulk/SPEED/LENGTH asks for a body of that length."""
    reader = connection.makefile("rb", buffering=len(BLOCK))
    try:
        while head := read_head(reader):
            path = head[0].split()[1].split("/")
            is_slow, length = path[-2] == "slow", int(path[-1])
            discard(reader, int(head[1].get("content-length", 0)), is_slow)
            attempt = head[1].get("x-attempt-id", "")
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\nContent-Length: {length}\r\n\r\n".encode())
            send_zeros(connection, length, SLOW_BLOCK_BYTES if is_slow else len(BLOCK))
    except (OSError, ValueError):
        pass
    finally:
        connection.close()


def run_backend(address):
    listener = socket.create_server((address, two_versions.BACKEND_PORT), backlog=512)
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve_connection, args=(connection,), daemon=True).start()


class Heartbeats:
    """Sends the backends' heartbeats."""

    def __init__(self, controller):
        self.controller, self.number, self.ended = controller, 0, threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.ended.wait(two_versions.HEARTBEAT_S):
            self.number += 1
            for address, service in BACKENDS.items():
                body = json.dumps({
                    "Address": f"{address}:{two_versions.BACKEND_PORT}",
                    "Details": {"Service": service, "Version": "v1", "Zone": "z", "Capacity": 64},
                    "Observed": {"State": "in_loop", "CallSeq": self.number, "WarmupLeftS": 0},
                })
                two_versions.request(self.controller.address, two_versions.CONTROL_PORT, "POST",
                                     f"/api/rpc?call=instances.beat&of={address}", body)


# ---- Clients ----------------------------------------------------------------------------------------------


def request_head(path, length):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {os.urandom(8).hex()}\r\n"
            f"X-Time-Remaining: {LONG_TIMEOUT_S * 1000}\r\nContent-Length: {length}\r\n\r\n").encode()


def long_client(address, cell, end, counts):
    """One request after another until `end`; a refused one is repeated."""
    pace = Pace(cell["rate"])
    # Clients that all write their pieces at the same moment would be faster than the rate.
    time.sleep(random.random() * len(BLOCK) / cell["rate"] if cell["rate"] else 0)
    path = f"/bulk/{cell['backend']}/{0 if cell['up'] else cell['bytes']}"
    connection = reader = None
    while time.monotonic() < end:
        try:
            if connection is None:
                connection = socket.create_connection((address, two_versions.FRONT_PORT), timeout=2 * LONG_TIMEOUT_S)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                reader = connection.makefile("rb", buffering=len(BLOCK))
            length = cell["bytes"] if cell["up"] else 0
            connection.sendall(request_head(path, length))
            try:
                send_zeros(connection, length, cell["piece"], pace)
            except OSError:
                pass  # It may have been refused before it was read.
            head = read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            status = int(head[0].split()[1])
            discard(reader, int(head[1].get("content-length", 0)), pace=pace)
        except (OSError, ValueError):
            counts["cut"] += 1
            status = 0
        if status == 200:
            counts["bytes"] += cell["bytes"]
            counts["done"] += 1
        elif status:
            counts["refused" if status == 503 else "failed"] += 1
        if status != 200 or head[1].get("connection") == "close":
            if connection:
                connection.close()
            connection = None
            if status != 200:
                time.sleep(RETRY_PAUSE_S)


def run_long_clients(address, cell, clients, seconds, results):
    counts = dict.fromkeys(("bytes", "done", "refused", "failed", "cut"), 0)
    started = time.monotonic()
    threads = [threading.Thread(target=long_client, args=(address, cell, started + seconds, counts)) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put({**counts, "seconds": time.monotonic() - started})


async def usual_client(address, ended, latencies, counts):
    reader = writer = None
    body = bytes(USUAL_BODY_BYTES)
    while not ended.is_set():
        started = time.monotonic()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(address, two_versions.FRONT_PORT)
            writer.write(request_head("/usual/fast/0", len(body)) + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            status = head.split()[1]
            length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")), 0)
            await reader.readexactly(length)
            counts["ok" if status == "200" else "refused" if status in ("429", "503") else "failed"] += 1
            if status == "200":
                latencies.append(time.monotonic() - started)
            if "connection: close" in head:
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError):
            counts["cut"] += 1
            writer = None
        await asyncio.sleep(USUAL_PAUSE_S)


def run_usual_clients(address, ended, results):
    async def run():
        latencies, counts = [], dict.fromkeys(("ok", "refused", "failed", "cut"), 0)
        await asyncio.gather(*(usual_client(address, ended, latencies, counts) for _ in range(USUAL_CLIENTS)))
        latencies.sort()
        p99 = latencies[len(latencies) * 99 // 100] if latencies else 0.0
        results.put({**counts, "p99": p99})

    asyncio.run(run())


# ---- Cells ------------------------------------------------------------------------------------------------


def status_kib(pid, name):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(name))


def processor_s(pid):
    """Processor time that a process has taken."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        user, system = stat.read().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def reset_peak(pid):
    with open(f"/proc/{pid}/clear_refs", "w", encoding="ascii") as file:
        file.write("5")


def cells():
    """Number of clients, length, direction, piece and backend of each cell."""
    whole = len(BLOCK)
    for clients in (1, 2, 4, 16, 64):
        for mib in (0.2, 1.6, 5, 20, 40, 60):
            for up in (True, False):
                yield clients, mib, up, whole, "fast"
    for clients in (4, 16, 64):
        for mib in (0.2, 1.6):
            for piece in (100, 1000):
                yield clients, mib, True, piece, "fast"
    for clients in (4, 64):
        for mib in (1.6, 20, 60):
            for up in (True, False):
                yield clients, mib, up, whole, "slow"


def play(proxy, cell, clients, seconds):
    """Plays one cell, or a calm without long clients; returns what was seen."""
    context = multiprocessing.get_context("fork")
    ended, usual_results, long_results = context.Event(), context.Queue(), context.Queue()
    pid = proxy.process.pid
    reset_peak(pid)
    processor_before = processor_s(pid)
    usual = context.Process(target=run_usual_clients, args=(proxy.address, ended, usual_results))
    usual.start()
    groups = [clients // 4 + (number < clients % 4) for number in range(4)]
    long_clients = [
        context.Process(target=run_long_clients, args=(proxy.address, cell, count, seconds, long_results))
        for count in groups if count
    ]
    for process in long_clients:
        process.start()
    if not long_clients:
        time.sleep(seconds)
    seen = {"bytes": 0, "done": 0, "refused": 0, "failed": 0, "cut": 0, "seconds": 0.0}
    for _ in long_clients:
        result = long_results.get()
        for name, value in result.items():
            seen[name] = max(seen[name], value) if name == "seconds" else seen[name] + value
    ended.set()
    seen["usual"] = usual_results.get()
    for process in [usual, *long_clients]:
        process.join()
    proxy.check()
    seen["processor"] = processor_s(pid) - processor_before
    seen["peak"] = status_kib(pid, "VmHWM") / 1024 / MEMORY_MB
    return seen


class BulkProxy(two_versions.Proxy):
    """A proxy with a memory limit."""

    def __init__(self, work, address):
        super().__init__(work, address)
        self.settings += f"[Limits]\nMemoryMb = {MEMORY_MB}\n"


def configure(controller, proxy, deadline):
    change = {"Upsert": {
        "Services": {"ColumnNames": ["Name", "HealthPath", "Version"], "DataRows": [["s", "/health", "00000001"], ["u", "/health", "00000001"]]},
        "RouteTable": {
            "ColumnNames": ["Name", "Host", "PathPrefix", "RouteKind", "TimeoutS", "SetpointS", "MaxAttempts", "Version", "Service"],
            "DataRows": [["bulk", "h.example", "/bulk/", "nonidempotent", LONG_TIMEOUT_S, 10, 1, "00000001", "s"],
                         ["usual", "h.example", "/usual/", "nonidempotent", 3, 0.5, 1, "00000001", "u"]]},
    }}
    deadline.until("a leader", controller.leads)
    answer = two_versions.request(controller.address, two_versions.CONTROL_PORT, "POST", "/api/rpc?call=config.amend", json.dumps(change))
    if answer[0] != 200:
        raise Failed(f"{answer}")
    deadline.until("a ready proxy", proxy.ready)


def judge(seen, calm):
    """What is out of bounds in a cell."""
    usual = seen["usual"]
    bound = MAX_SLOWDOWN * max(calm["usual"]["p99"], MIN_PERCENTILE_S)
    faults = []
    if seen["peak"] > MAX_RESIDENT:
        faults.append("memory")
    if usual["cut"] or usual["failed"]:
        faults.append("usual clients lost")
    if usual["p99"] > bound:
        faults.append("slow")
    if seen["cut"] or seen["failed"]:
        faults.append("long bodies lost")
    return faults


def line(name, seen, faults):
    usual = seen["usual"]
    rate = seen["bytes"] / seen["seconds"] / MIB if seen["seconds"] else 0
    return (f"{name:34} peak {seen['peak']:.2f}  usual ok {usual['ok']:5} refused {usual['refused']:4} lost {usual['cut'] + usual['failed']:3} "
            f"p99 {usual['p99'] * 1000:6.1f} ms  long {rate:7.1f} MiB/s done {seen['done']:5} refused {seen['refused']:4} "
            f"lost {seen['cut'] + seen['failed']:3}  {', '.join(faults)}")


def run(programs, work, seconds, only, mbit):
    two_versions.CONTROLLER_ADDRESSES[:] = two_versions.CONTROLLER_ADDRESSES[:1]
    controller = two_versions.Controller(work, two_versions.CONTROLLER_ADDRESSES[0])
    controller.settings = controller.settings.replace("MachineLosses = 1", "MachineLosses = 0")
    proxy = BulkProxy(work, two_versions.PROXY_ADDRESSES[0])
    backends = [multiprocessing.Process(target=run_backend, args=(address,), daemon=True) for address in BACKENDS]
    failed = []
    try:
        for backend in backends:
            backend.start()
        controller.start(programs.controller, "this", bootstrap=True)
        proxy.start(programs.proxy, "this", bootstrap=True)
        heartbeats = Heartbeats(controller)
        configure(controller, proxy, two_versions.Deadline())
        time.sleep(3 * two_versions.HEARTBEAT_S)
        calm = play(proxy, None, 0, seconds)
        print(line("calm", calm, []), flush=True)
        print(f"calm: {calm['processor'] / max(calm['usual']['ok'], 1) * 1e6:.0f} us of processor for each usual request", flush=True)
        for clients, mib, up, piece, speed in cells():
            cell = {"bytes": int(mib * MIB), "up": up, "piece": piece, "backend": speed, "rate": mbit * 125_000 / clients}
            piece_name = "whole" if piece == len(BLOCK) else piece
            name = f"{clients:2} x {mib:4} MiB {'up' if up else 'down'} {piece_name} {speed}"
            if only and only not in name:
                continue
            seen = play(proxy, cell, clients, seconds)
            faults = judge(seen, calm)
            failed += [name] if faults else []
            print(line(name, seen, faults), flush=True)
        heartbeats.ended.set()
    finally:
        proxy.kill()
        controller.kill()
        for backend in backends:
            backend.kill()
    print(f"{len(failed)} cells out of bounds")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bin_dir")
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--only", default="")
    parser.add_argument("--mbit", type=float, default=1000.0)
    arguments = parser.parse_args()
    work = tempfile.mkdtemp(prefix="maplefall-body-memory-")
    try:
        return run(two_versions.Programs(arguments.bin_dir), work, arguments.seconds, arguments.only, arguments.mbit)
    except (Failed, two_versions.Failed) as error:
        sys.stderr.write(f"{error}; see {work}\n")
        return 2


if __name__ == "__main__":
    sys.exit(main())
