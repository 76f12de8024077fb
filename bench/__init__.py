"""Load and experiment tool that runs the product against simulated engines."""
