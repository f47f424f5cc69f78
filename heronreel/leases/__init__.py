"""Leases of a process at the group, and the fleet-wide tasks that are done by whoever holds one.

* `holder`: the lease of one process and its claims, pure; `holding`: the same with a clock and a client.
* `fence`: the guard at a resource, which refuses the numbers of earlier holders.
* `tasks`: the steps of a fleet-wide task, pure; `duties`: the runner of tasks in a process.
* `budget`: what tasks may use over the whole fleet, as token buckets on leased parts.
* `overview`: who holds what, for the command line.
"""
