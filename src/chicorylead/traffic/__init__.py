"""Model of caller traffic: operations, services, organisations, requests."""
