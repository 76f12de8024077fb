"""A randomized fault soak of the platform's front door, over real processes."""
