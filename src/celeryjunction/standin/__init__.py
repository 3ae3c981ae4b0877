"""Small stand-ins for the platform, for trying and testing."""
