"""Requests by tenant, counted by each proxy for itself and closed once a period over all of them.

`book` is a process's own counts, which outlive it; `posting` is a page's way to the group, `closing` the
fleet-wide task that takes pages and closes periods; `records` is what the group keeps.  All four are pure.
`files` keeps books on a disk, `counter` puts clock, client and files around them.
"""
