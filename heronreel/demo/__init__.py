"""The demo: a proxy, stub servers with faults, and a steady client, all on loopback.

* `scenario`: the file of routes, the servers, the faults and when they begin.
* `runner`: runs the scenario against a proxy in a process of its own.
"""
