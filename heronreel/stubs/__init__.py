"""Stub servers and clients for the demo, the benchmarks and tests: loopback only, seeded, bounded.

* `http_peer`: what both ends of a connection have in common.
* `http_server`: servers with faults, which record every effect that ran.
* `http_client`: a client on persistent connections, which classifies every response.
"""
