"""Simulations that compare policies, and measurements of costs; ``make bench`` runs the former."""
