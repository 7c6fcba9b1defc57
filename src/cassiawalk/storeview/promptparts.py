"""The parts of a prompt, by which engines cache it."""

import dataclasses
import typing as t

PartId = t.NewType("PartId", str)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """One part of a prompt; engines cache it under its id once it is prefilled."""

    part_id: PartId
    tokens: int
