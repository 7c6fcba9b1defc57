"""Exceptions whose messages are written for users and operators."""


class CassiawalkError(Exception):
    """Base class of all errors with a message for a person.

    :param message: complete text, fit to be printed without further context.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show to the user."""
        return self.message


class UsageError(CassiawalkError):
    """The user's input is invalid."""


class WireError(CassiawalkError):
    """A message or record can't be decoded, or its tag is registered twice."""
