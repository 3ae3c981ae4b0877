"""Adapter to the users' machines: the only place that knows their platform's names."""
