"""Active health checks of the configured backends: by each proxy for itself, or by one prober a zone.

* `checks`: thresholds of consecutive results, and the panic threshold; `report`: what a zone's prober reports
  and how long that is believed.  Both are pure: they do no I/O, and take the time as an argument.
* `prober`: probes over HTTP.
"""
