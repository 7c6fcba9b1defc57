"""The request path of the HTTP ingress, next to the API for callers.

What hosts share is in ``fleet`` and ``storeview``; ``ingressnode`` assembles a host of all these.
"""
