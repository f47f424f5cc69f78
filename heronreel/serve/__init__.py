"""A proxy on the file's own pools: no platform, no discovery service needed.

* `policies`: routes to the decision module's policies and settings (pure).
* `program`: the process, its signals and its reloads.
"""
