"""Log lines and texts of the crash guard."""

import collections.abc as cabc

import eliot

from cassiawalk.crashes.deaths import Death
from cassiawalk.crashes.evidence import RecordedDeath
from cassiawalk.ids import Fingerprint
from cassiawalk.peer import Note

Blame = cabc.Mapping[Fingerprint, list[RecordedDeath]]


def quarantine_detail(fingerprint: Fingerprint, note: Note | None, now_s: float) -> str:
    """Return why a request is refused.

    :param note: the note that tells of the quarantine, or None if only the configuration does.
    :param now_s: the time in seconds since the epoch.
    """
    if note is None or not note.items:
        return f"upstreams died running this request; it is quarantined as {fingerprint}"
    deaths = ", ".join(note.items)
    return (
        f"{len(note.items)} upstreams died running this request ({deaths}), known for "
        f"{now_s - note.at_s:.1f} s; it is quarantined as {fingerprint}"
    )


def log_changed_blame(before: Blame, after: Blame) -> None:
    """Log the requests that more or fewer deaths stand against than before.

    A death that a failure of the domain explains stands against no request.
    """
    for fingerprint, blamed in after.items():
        if blamed != before[fingerprint]:
            eliot.log_message(
                message_type="crash:suspect",
                fingerprint=fingerprint,
                deaths=[death.process for death in blamed],
                reporters=sorted({death.reporter for death in blamed}),
            )


def log_death(death: Death, *, related: cabc.Sequence[str], age_s: float) -> None:
    """Log a death, and the processes that died with it.

    :param age_s: how long ago it was, in seconds.
    """
    eliot.log_message(
        message_type="crash:death",
        process=death.process,
        failure_domain=death.failure_domain,
        running=len(death.running),
        related=list(related),
        age_s=round(age_s, 3),
    )
