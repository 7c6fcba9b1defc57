"""Rendezvous hashing."""

import collections.abc as cabc
import hashlib
import typing as t

_Name = t.TypeVar("_Name", bound=str)


def rank(key: str, names: cabc.Iterable[_Name]) -> list[_Name]:
    """Return ``names`` ordered by their score for ``key``, the highest first.

    When a name leaves, only the keys that it was first for move.
    """
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
