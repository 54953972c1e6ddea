"""Leases in the platform's log, and the orders to engines given under them."""
