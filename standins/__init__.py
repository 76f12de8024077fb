"""Simulated platform, model engines and plain services for tests and benchmarks."""
