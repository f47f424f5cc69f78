"""Tests that the formats of stored, sent and printed data and the program's decisions do not change."""
