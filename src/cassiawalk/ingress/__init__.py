"""HTTP ingress, next to the API for callers: the request path, and the assembly of a host.

What hosts share is in ``fleet`` and ``storeview``, which import nothing from here.
"""
