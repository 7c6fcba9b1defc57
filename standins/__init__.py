"""Small stand-ins for the systems around cassiawalk, for tests and the demonstration.

They know nothing of the ``cassiawalk`` package; they meet it through the protocols in
``docs/INTERFACES.md`` only.
"""
