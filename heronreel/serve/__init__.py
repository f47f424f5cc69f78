"""A proxy on a file's own pools: no platform, no endpoint list service needed.

* `program`: the process, its signals and its reloads; `files`: reading and checking the file.
* `policies`: routes as the balancer's policies, settings and endpoints (pure).
* `health_checks`, `zone_health`: which members are down, found by itself or once a zone.
* `fleet`: what it does as a member of a fleet; `metered_proxy`: responses counted by tenant.
"""
