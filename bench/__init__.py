"""The load and experiment tool: the product's code against small stand-ins."""
