"""Helpers that tests of several packages share: loopback peers, processes, route files and rehearsals."""
