"""Checksums of notes, by which two hosts find the notes that one of them lacks."""

import collections.abc as cabc
import hashlib

from cassiawalk.peer.notes import Note
from cassiawalk.peer.notes import NoteKey

BUCKETS = 64  # a lost note costs a comparison of the notes in one bucket, 64 of 4,096
HASH_BYTES = 8


def key_hash(key: NoteKey) -> bytes:
    """Return a short name for a key, the same on all hosts."""
    topic, name = key
    return _hashed(f"{topic.value}/{name}")


def bucket_of(hashed: bytes) -> int:
    """Return the bucket of a key, from its hash."""
    return hashed[0] % BUCKETS


class NoteSums:
    """A checksum for each bucket of notes, which is updated with each note."""

    def __init__(self) -> None:
        self._sums = [0] * BUCKETS
        self._versions: dict[bytes, int] = {}
        self._keys: list[dict[bytes, NoteKey]] = [{} for _ in range(BUCKETS)]

    def add(self, note: Note) -> None:
        """Add a note whose key has none."""
        hashed = key_hash(note.key)
        version = int.from_bytes(_hashed(f"{note.topic.value}/{note.name}/{note.at_s!r}"))
        self._versions[hashed] = version
        self._keys[bucket_of(hashed)][hashed] = note.key
        self._sums[bucket_of(hashed)] ^= version

    def remove(self, key: NoteKey) -> None:
        """Remove the note of a key."""
        hashed = key_hash(key)
        self._keys[bucket_of(hashed)].pop(hashed)
        self._sums[bucket_of(hashed)] ^= self._versions.pop(hashed)

    def key(self, hashed: bytes) -> NoteKey | None:
        """Return the key of a note from its hash, or None if there is no such note."""
        return self._keys[bucket_of(hashed)].get(hashed)

    def keys_in(self, bucket: int) -> cabc.Mapping[bytes, NoteKey]:
        """Return the keys of the notes in a bucket by their hashes."""
        return self._keys[bucket]

    def sums(self) -> tuple[bytes, ...]:
        """Return the checksums of all buckets."""
        return tuple(value.to_bytes(HASH_BYTES) for value in self._sums)

    def digest(self) -> str:
        """Return a checksum of all notes."""
        return hashlib.blake2b(b"".join(self.sums()), digest_size=HASH_BYTES).hexdigest()


def _hashed(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
