"""Client sessions, whose statements run on shared connections to endpoints.

May import `replication` and `dispatch`, but nothing about a wire protocol.
"""
