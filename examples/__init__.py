"""Example configurations, and programs that start hosts on loopback."""
