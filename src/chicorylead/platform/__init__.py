"""The platform's interfaces, and a client for them over HTTP."""
