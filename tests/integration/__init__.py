"""Tests with real processes behind the fault-injecting proxy."""
