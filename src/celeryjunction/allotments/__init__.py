"""Allotments of organisations, enforced jointly by all VMs.

The limit of each organisation is split into shares, which VMs hold under leases.
"""
