"""Randomized fault-injection soak of the platform server with real processes."""
