"""Replicated groups of endpoints: who leads, what proves it, how fresh each one is.

Owns the state of a group as this VM knows it. May import the ports, the clocks, the
errors and the logs, and nothing of callers, queues or promotion.
"""
