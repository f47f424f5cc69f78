"""A proxy that serves the routes and pools of a file, without a platform or an endpoint list service.

* `program`: the process, its signals and its reloads.
* `files`: reads and checks the routes file.
* `policies`: converts routes to the balancer's policies, settings and endpoints, without side effects.
* `health_checks`: active health checks that the process runs by itself.
* `zone_health`: health checks that one proxy runs for all proxies of its zone.
* `fleet`: the process as a member of a fleet.
* `metered_proxy`: a proxy that counts its responses by tenant.
"""
