"""``python -m cassiawalk.platform.verdicts``: lists and lifts verdicts on parts of prompts."""

import argparse
import sys

from cassiawalk.platform import names
from cassiawalk.platform.store import PlatformStore
from cassiawalk.storeview.verdictcommand import VerdictCommand
from cassiawalk.storeview.verdictcommand import add_arguments


def main() -> int:
    """Run the command on the users' platform; return the exit status."""
    parser = argparse.ArgumentParser(prog="cassiawalk-verdicts", description=__doc__)
    add_arguments(parser)
    args = parser.parse_args()
    log = PlatformStore(address=args.store)
    return VerdictCommand(log=log, stream=names.SUSPECT_STREAM).run(args)


if __name__ == "__main__":
    sys.exit(main())
