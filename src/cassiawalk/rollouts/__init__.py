"""Decisions of gradual rollouts: evidence, phases, shares and roles; no network and no clock."""
