"""The command-line tool ``cassiawalk``."""

from cassiawalk.cli.main import main as main
