"""Replicated groups of endpoints: the primary, evidence for it, and freshness.

Owns the state of a group as this VM knows it. May import the ports, clocks, errors and
logs, but nothing that deals with clients, queues or promotion.
"""
