"""Placement of statements: which endpoint, in which order, and when to refuse.

May import `replication` for the endpoints' state; nothing of callers.
"""
