"""Holds crates/etcd-wire to etcd's published .proto files: every field of every message, by its published name.

    python3 -m venv V && V/bin/pip install grpcio-tools
    cargo run -q -p maplefall-etcd-wire --example dump | V/bin/python benches/foreign_wire.py ROOT

ROOT is a folder that holds etcd's `api/etcdserverpb/rpc.proto` and what it imports, as the imports name them
(`etcd/api/...`), for one the folder `proto` of the crate etcd-client. Also tells calls that the published service lacks.
"""

import json
import pathlib
import sys
import tempfile

import grpc_tools
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from grpc_tools import protoc


def published(root):
    files = [str(path.relative_to(root)) for path in pathlib.Path(root).rglob("rpc.proto")]
    own = pathlib.Path(grpc_tools.__file__).parent / "_proto"
    with tempfile.NamedTemporaryFile() as out:
        if protoc.main(["protoc", f"-I{root}", f"-I{own}", "--include_imports", f"--descriptor_set_out={out.name}", *files]) != 0:
            sys.exit("the .proto files cannot be compiled")
        found = descriptor_pb2.FileDescriptorSet.FromString(pathlib.Path(out.name).read_bytes())
    pool = descriptor_pool.DescriptorPool()
    for file in found.file:
        pool.Add(file)
    return pool


def plain(message):
    """The fields that are set, by name; those unknown to the published files are a mistake."""
    fields = {}
    for field, value in message.ListFields():
        one = lambda value: plain(value) if hasattr(value, "ListFields") else value.decode() if isinstance(value, bytes) else value
        repeated = not isinstance(value, (str, bytes, int, bool, float)) and not hasattr(value, "ListFields")
        fields[field.name] = [one(each) for each in value] if repeated else one(value)
    return fields


def main():
    pool = published(sys.argv[1])
    count = 0
    for line in sys.stdin:
        name, digits, expected = line.rstrip("\n").split(" ", 2)
        message = message_factory.GetMessageClass(pool.FindMessageTypeByName(name))()
        message.ParseFromString(bytes.fromhex(digits))
        expected = json.loads(expected)
        if plain(message) != expected:
            sys.exit(f"{name}: published files read {plain(message)}, meant was {expected}")
        count += 1
    for service, calls in {
        "KV": ["Range", "Put", "DeleteRange", "Txn", "Compact"],
        "Watch": ["Watch"],
        "Lease": ["LeaseGrant", "LeaseRevoke", "LeaseKeepAlive", "LeaseTimeToLive"],
        "Auth": ["Authenticate"],
        "Maintenance": ["Status"],
    }.items():
        known = pool.FindServiceByName(f"etcdserverpb.{service}").methods_by_name
        if missing := [call for call in calls if call not in known]:
            sys.exit(f"{service} has no {missing}")
    print(f"{count} messages read as they were meant; every call is published")
    if count == 0:
        sys.exit("nothing was read")


main()
