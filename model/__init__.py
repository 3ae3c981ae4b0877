"""Model of the core protocol, checked exhaustively: ``python -m model``."""
