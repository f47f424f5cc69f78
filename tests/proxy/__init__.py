"""Tests of the HTTP/1.1 reverse proxy, `heronreel.proxy`."""
