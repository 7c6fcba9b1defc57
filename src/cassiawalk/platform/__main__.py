"""``python -m cassiawalk.platform``: runs one host on the users' platform."""

import signal
import sys

# SIGHUP announces changed settings; until its handler is installed, it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cassiawalk.platform.host import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
