"""Leases stored in the platform's log, and the engine orders given under them."""
