"""Failover: detects a failed primary and promotes a replica in its place.

May import `replication`, but nothing that deals with clients or queues.
"""
