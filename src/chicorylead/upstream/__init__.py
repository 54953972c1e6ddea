"""Upstreams: their health, the choice between them, exchanges with them."""
