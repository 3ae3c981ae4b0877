"""Stand-ins for the scripts in `review/6` and later."""
