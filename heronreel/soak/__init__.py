"""A soak of shutdowns: real proxy processes, their clients and backends, faults between them, and a judge.

`plan` draws a run from a seed, `run` plays it, `judge` holds the records of clients and backends against the
platform's rules; nothing here knows how the proxy works.  `python -m heronreel.soak` plays many seeds.
"""
