"""Stand-ins for the services of the platform, for local trials and tests."""
