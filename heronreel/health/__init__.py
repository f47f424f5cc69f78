"""Active health checks of the configured backends, run by each proxy for itself or by one prober per zone.

* `checks`: thresholds of consecutive probe results, and the panic threshold.
* `report`: the health report of a zone's prober, and how long the zone's proxies use it.
* `prober`: probes over HTTP.
* `errors`: the errors of this package.

`checks` and `report` are pure: they do no I/O, and take the time as an argument.
"""
