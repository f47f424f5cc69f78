"""Probing of a file's own servers: by each proxy for itself, or once a zone and shared.

`health` says who is down from what probes found, `report` is what a zone's prober tells the others and what
they make of it; both are pure.  `prober` makes the calls.
"""
