"""Adapter to the platform; the only package that knows the names in its protocols."""
