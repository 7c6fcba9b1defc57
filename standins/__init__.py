"""Small stand-ins for the systems around cassiawalk, for tests and the demonstration.

They talk to cassiawalk only through the protocols in ``docs/INTERFACES.md``. Except for
``standins.platform`` they import nothing from the ``cassiawalk`` package.
"""
