"""Stand-ins and processes that the review's scripts share."""
