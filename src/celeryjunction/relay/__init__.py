"""Home VMs: which VMs of a zone connect to a group, and how other VMs use them.

May import `gateway` for sessions, but nothing about endpoints, failover or queues.
"""
