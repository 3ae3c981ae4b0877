"""Home VMs: which VMs of a zone connect to a group, and how others use them.

May import `gateway` for sessions; nothing of endpoints, failover or queues.
"""
