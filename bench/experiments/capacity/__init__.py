"""Benchmarks of the cost slopes from which the design size is calculated."""
