"""Fingerprints of requests."""

import hashlib

from cassiawalk.ids import Fingerprint
from cassiawalk.requests import RequestRecord

DIGEST_BYTES = 16


def fingerprint_of(record: RequestRecord) -> Fingerprint:
    """Return the digest of a request's service, kind and body; its id and key are left out."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (record.service.encode(), record.kind_name.encode(), record.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
