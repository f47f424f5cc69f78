"""Tests of `heronreel serve`: a proxy that serves the routes and pools of a file."""
