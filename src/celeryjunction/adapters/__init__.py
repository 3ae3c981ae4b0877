"""Adapters between the ports and the libraries that implement them."""
