"""Soak tests of shutdowns: real proxy processes with clients, backends and injected faults, and a judge.

`plan` draws a run from a seed, `run` executes it, and `judge` checks the records of clients and backends
against the platform's rules.  The package is independent of the proxy's implementation.
`python -m heronreel.soak` runs many seeds.
"""
