"""What callers may ask for: operations, services, organisations, requests."""
