"""Replacement of a primary: when, by whom, and which replica takes over.

May import `replication`; nothing of callers or queues.
"""
