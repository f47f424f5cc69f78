"""Routes of our own: the file, its proof, and the lookup of a request's route.

No module here does I/O or asks for the time; `lint-imports` keeps it so.

* `model`: what a checked file says, as frozen records.
* `source`: where every key of a TOML text stands.
* `schema`: the shape of each table, and what to say of a value that does not fit.
* `load`: bytes to a `RoutesFile`, or every problem in them at once.
* `index`: from host, path, method and headers to the route; what is ambiguous or can never match.
* `timeline`: a timeline of one request and the rules it breaks, independent of the proof.
* `proof`: every way a file could break a rule, each with the shortest timeline that shows it.
* `explain`: a route's policy in force and where each value came from.
"""
