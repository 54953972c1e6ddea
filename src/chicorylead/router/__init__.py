"""The router process: HTTP interfaces, dispatch of requests, life cycle."""
