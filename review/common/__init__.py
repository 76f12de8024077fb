"""Stand-ins and a small fleet for the cases of the review; standard library only."""
