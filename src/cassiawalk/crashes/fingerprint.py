"""Fingerprints of request records."""

from cassiawalk.fingerprint import fingerprint
from cassiawalk.ids import Fingerprint
from cassiawalk.requests import RequestRecord


def fingerprint_of(record: RequestRecord) -> Fingerprint:
    """Return the digest of a request's service, kind and body; its id and key are left out."""
    return fingerprint((record.service.encode(), record.kind_name.encode(), record.body))
