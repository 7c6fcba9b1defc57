"""What the hosts of the HTTP ingress know of one another: records, heartbeats, hubs and time."""
