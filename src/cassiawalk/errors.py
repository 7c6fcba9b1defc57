"""Exception family for faults that a person has to read."""


class CassiawalkError(Exception):
    """Base class; its text is complete enough to be printed as it is."""

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show to the user."""
        return self.message


class UsageError(CassiawalkError):
    """The user passed something that can't be accepted."""


class WireError(CassiawalkError):
    """A message or record can't be decoded."""
