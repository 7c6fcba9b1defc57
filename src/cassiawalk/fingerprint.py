"""Fingerprints of requests, which are the same for all repeats of a request."""

import collections.abc as cabc
import hashlib

from cassiawalk.ids import Fingerprint

DIGEST_BYTES = 16


def fingerprint(parts: cabc.Iterable[bytes]) -> Fingerprint:
    """Return the digest of the parts that identify a request over all of its repeats."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
