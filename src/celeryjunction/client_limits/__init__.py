"""Limits on what clients can make a process keep, decided without network or clock."""
