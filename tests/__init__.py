"""The tests, with a folder for each package; `support` has shared helpers."""
