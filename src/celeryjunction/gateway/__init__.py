"""Callers' sessions over simple statements, run on shared connections.

May import `replication` and `dispatch`; nothing of a protocol on the wire.
"""
