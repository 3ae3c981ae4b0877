"""Dispatch of statements to endpoints: choice of the endpoint, queueing and refusal.

May import `replication` for the endpoints' state, but nothing about clients.
"""
