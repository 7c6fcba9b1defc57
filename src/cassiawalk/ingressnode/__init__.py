"""Assembles a host of the HTTP ingress, and applies what other hosts tell it."""
