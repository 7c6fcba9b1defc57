"""Rendezvous hashing."""

import collections.abc as cabc
import hashlib
import typing as t

_Name = t.TypeVar("_Name", bound=str)


def rank(key: str, names: cabc.Iterable[_Name]) -> list[_Name]:
    """Return ``names`` ordered by their score for ``key``, the highest first.

    The removal of a name changes the first name only of the keys for which it ranked first.
    """
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
