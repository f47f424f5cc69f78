"""Stub servers and clients on loopback for the demo, benchmarks and tests, with seeded random faults.

* `http_peer`: the base class of both ends of a connection.
* `http_server`: servers with faults, which record the effect of every request that ran.
* `http_client`: a client on persistent connections, which classifies every response.
"""
