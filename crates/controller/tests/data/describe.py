#!/usr/bin/env python3
"""Describes what a data folder of format 2 holds, from the bytes and tag numbers alone, without code of the project.

    describe.py FOLDER > FOLDER.txt

The tests compare this with what the present code finds in the same folder.
"""

import os
import struct
import sys

FRAME_MARK = b"mf2\0"
HEAD_LENGTH = 24
VARINT, BYTES = 0, 2
LOST, LEFT = 2, 3


def crc32c(data):
    crc = 0xFFFFFFFF
    for byte in data:
        crc ^= byte
        for _ in range(8):
            crc = (crc >> 1) ^ (0x82F63B78 if crc & 1 else 0)
    return crc ^ 0xFFFFFFFF


def varint(data, at):
    value = shift = 0
    while True:
        byte = data[at]
        value |= (byte & 0x7F) << shift
        at, shift = at + 1, shift + 7
        if byte < 0x80:
            return value, at


def fields(data):
    """All fields of a protobuf message: lists of values by tag."""
    found, at = {}, 0
    while at < len(data):
        key, at = varint(data, at)
        if key & 7 == VARINT:
            value, at = varint(data, at)
        elif key & 7 == BYTES:
            length, at = varint(data, at)
            value, at = data[at:at + length], at + length
        else:
            raise ValueError(f"wire type {key & 7}")
        found.setdefault(key >> 3, []).append(value)
    return found


def one(message, tag, default=0):
    return message.get(tag, [default])[-1]


def text(message, tag):
    return one(message, tag, b"").decode()


def numbers(message, tag):
    """A repeated number, packed or not."""
    values = []
    for value in message.get(tag, []):
        if isinstance(value, int):
            values.append(value)
            continue
        at = 0
        while at < len(value):
            number, at = varint(value, at)
            values.append(number)
    return values


def frames(data, number):
    while data:
        head, payload_crc = data[:20], struct.unpack("<I", data[16:20])[0]
        mark, file_number, length = head[:4], *struct.unpack("<QI", head[4:16])
        assert mark == FRAME_MARK and file_number == number, "head"
        assert struct.unpack("<I", data[20:24])[0] == crc32c(head), "checksum of the head"
        payload = data[HEAD_LENGTH:HEAD_LENGTH + length]
        assert crc32c(payload) == payload_crc, "checksum"
        yield fields(payload)
        data = data[HEAD_LENGTH + length:]


class Kept:
    def __init__(self):
        self.number = self.term = self.settled = 0
        self.voted, self.identity, self.snapshot, self.log = "", None, {}, []
        self.lent_to, self.lent_known, self.waited, self.instances = set(), False, set(), {}

    def load(self, folded):
        self.number, self.term, self.voted = one(folded, 2), one(folded, 3), text(folded, 4)
        self.identity, self.settled = one(folded, 10, None), one(folded, 11)
        self.snapshot, self.log = fields(one(folded, 6, b"")), [fields(entry) for entry in folded.get(7, [])]
        self.lent_to = {name.decode() for name in folded.get(8, [])}
        self.instances = {text(word, 1): word for word in map(fields, folded.get(9, []))}
        self.lent_known, self.waited = bool(one(folded, 14)), set(numbers(folded, 15))

    def take(self, stored):
        if one(stored, 1) <= self.number:
            return
        assert one(stored, 1) == self.number + 1, "a record is missing"
        self.number += 1
        if 2 in stored:
            self.agree(fields(one(stored, 2)))
        self.lent_to -= {name.decode() for name in stored.get(10, [])}
        self.lent_to |= {name.decode() for name in stored.get(3, [])}
        self.lent_known |= bool(one(stored, 8))
        self.waited |= set(numbers(stored, 9))
        for word in map(fields, stored.get(4, [])):
            if one(word, 6) in (LOST, LEFT):
                self.instances.pop(text(word, 1), None)
            else:
                self.instances[text(word, 1)] = word

    def agree(self, record):
        if 1 in record:
            self.term, self.voted = one(record, 1), text(record, 2)
        self.identity = one(record, 6, self.identity)
        self.settled = max(self.settled, one(record, 7))
        if 4 in record and one(fields(one(record, 4)), 1) >= one(self.snapshot, 1):
            snapshot = fields(one(record, 4))
            index = one(snapshot, 1)
            terms = {one(entry, 1): one(entry, 2) for entry in self.log} | {one(self.snapshot, 1): one(self.snapshot, 2)}
            same = terms.get(index) == one(snapshot, 2)
            self.log = [entry for entry in self.log if same and one(entry, 1) > index]
            self.snapshot = snapshot
        for entry in map(fields, record.get(3, [])):
            place = one(entry, 1) - one(self.snapshot, 1) - 1
            if 0 <= place <= len(self.log):
                self.log = self.log[:place] + [entry]


def members(message, tag):
    return " ".join(f"{text(member, 1)}/{one(member, 2):x}" for member in map(fields, message.get(tag, [])))


def read(folder):
    kept, names = Kept(), sorted(os.listdir(folder))
    for prefix in ("state-", "log-"):
        for name in names:
            if not name.startswith(prefix):
                continue
            with open(os.path.join(folder, name), "rb") as file:
                data = file.read()
            for frame in frames(data, int(name[len(prefix):])):
                assert one(frame, 1) == 2, "format"
                if prefix == "state-":
                    kept.load(frame)
                else:
                    for stored in map(fields, frame.get(2, [])):
                        kept.take(stored)
    return kept, any(name.startswith("spoilt-") for name in names)


def main():
    kept, set_aside = read(sys.argv[1])
    state = one(kept.snapshot, 4, b"")
    print(f"record {kept.number}")
    print(f"term {kept.term} voted {kept.voted}".rstrip())
    print(f"identity {kept.identity:x} settled {kept.settled}")
    print(f"snapshot {one(kept.snapshot, 1)} term {one(kept.snapshot, 2)} bytes {len(state)} crc32c {crc32c(state):08x} "
          f"members {members(kept.snapshot, 5)}")
    for entry in kept.log:
        payload = one(entry, 4, b"")
        print(f"entry {one(entry, 1)} term {one(entry, 2)} kind {one(entry, 3)} bytes {len(payload)} crc32c {crc32c(payload):08x} "
              f"members {members(entry, 7)}".rstrip())
    for word in (kept.instances[name] for name in sorted(kept.instances)):
        print(f"instance {text(word, 1)} service {text(word, 2)} address {text(word, 3)} zone {text(word, 4)} "
              f"capacity {one(word, 5)} state {one(word, 6)} call {one(word, 7)} cold {one(word, 8)}")
    print(f"lent_known {str(kept.lent_known).lower()} lent_to {' '.join(sorted(kept.lent_to))}".rstrip())
    print(f"waited {' '.join(map(str, sorted(kept.waited)))}".rstrip())
    print(f"set_aside {str(set_aside).lower()}")


if __name__ == "__main__":
    main()
