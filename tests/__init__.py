"""The tests, a folder for each package; `support` has what several of them share."""
