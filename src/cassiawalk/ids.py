"""Identifier types shared by all packages."""

import os
import time
import typing as t

RequestId = t.NewType("RequestId", str)
WorkspaceName = t.NewType("WorkspaceName", str)
ServiceName = t.NewType("ServiceName", str)
KindName = t.NewType("KindName", str)
PoolName = t.NewType("PoolName", str)
UpstreamId = t.NewType("UpstreamId", str)
HostId = t.NewType("HostId", str)
FailureDomain = t.NewType("FailureDomain", str)
Revision = t.NewType("Revision", int)
Offset = t.NewType("Offset", int)
ClaimId = t.NewType("ClaimId", str)
CommandId = t.NewType("CommandId", str)
Partition = t.NewType("Partition", int)
VersionName = t.NewType("VersionName", str)
Fingerprint = t.NewType("Fingerprint", str)

_UUID_VERSION_7 = 0x7


def new_uuid7(*, wall_s: float | None = None) -> str:
    """Return a time-ordered UUID (version 7) in its canonical text form.

    :param wall_s: wall-clock time in seconds since the epoch; the current time by default.
    """
    millis = int((time.time() if wall_s is None else wall_s) * 1000)
    rand = int.from_bytes(os.urandom(10), "big")
    rand_a = (rand >> 62) & 0xFFF
    rand_b = rand & ((1 << 62) - 1)
    value = (millis << 80) | (_UUID_VERSION_7 << 76) | (rand_a << 64) | (0b10 << 62) | rand_b
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def uuid7_time_s(text: str) -> float | None:
    """Return the wall-clock time in seconds of a version 7 UUID, or None for any other text."""
    parts = text.split("-")
    if [len(part) for part in parts] != [8, 4, 4, 4, 12] or parts[2][0] != "7":
        return None
    try:
        return int(parts[0] + parts[1], 16) / 1000
    except ValueError:
        return None


def new_request_id(host: HostId) -> RequestId:
    """Return a new request id that contains the name of the accepting host."""
    return RequestId(f"{new_uuid7()}.{host}")


def request_origin(request_id: RequestId) -> HostId | None:
    """Return the accepting host named in a request id, or None if the id is malformed."""
    _, dot, host = request_id.partition(".")
    return HostId(host) if dot and host else None
