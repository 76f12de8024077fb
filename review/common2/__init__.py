"""Stand-ins and checks that the scripts of the second review share."""
