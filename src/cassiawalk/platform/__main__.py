"""``python -m cassiawalk.platform``: runs one host on the platform."""

import signal
import sys

# The settings may change while this process starts; that must not end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cassiawalk.platform.host import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
