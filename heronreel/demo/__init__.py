"""A demo on loopback: a proxy, stub servers with faults, and a client with a constant request rate.

* `scenario`: the routes file, the servers, and the schedule of faults.
* `runner`: runs the scenario against a proxy in a separate process.
"""
