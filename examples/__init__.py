"""Example configurations and the demonstration."""
