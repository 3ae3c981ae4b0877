"""Demonstrations and measurements against stand-ins, in separate processes."""
