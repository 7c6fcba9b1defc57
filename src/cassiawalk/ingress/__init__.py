"""HTTP ingress: forwards requests by host and path, next to the API for callers."""
