"""Upstreams: health, selection and exchanges."""
