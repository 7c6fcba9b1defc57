"""Measurements of decisions and costs; run with ``make bench``."""
