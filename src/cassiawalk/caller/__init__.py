"""The HTTP interface for callers."""

from cassiawalk.caller.app import CallerApp as CallerApp
