"""Routes files: parsing them, proving them safe, and finding the route of a request.

No module here does I/O or reads a clock; the import contracts of `lint-imports` enforce that.

* `model`: frozen records with the contents of a checked file.
* `source`: the line number of every key in a TOML text.
* `schema`: the fields of each table, their types and bounds, and the descriptions used in error messages.
* `reader`: reads the tables of a TOML text and collects every problem with its line.
* `load`: turns bytes into a `RoutesFile`, or raises an error with every problem in them.
* `index`: finds the route for a host, path, method and headers, and reports ambiguous and shadowed routes.
* `timeline`: the events of one request and the rules that they break; it does not depend on the proof.
* `proof`: runs all checks of a file, each of which shows its finding by a short timeline.
* `checked_route`, `retry_checks`, `limit_checks`, `feasibility_checks`: the checks that the proof runs.
* `findings`: the report of a check, with a witness for each problem.
* `explain`: the policy in force for a request and the origin of each value.
"""
