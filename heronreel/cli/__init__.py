"""The `heronreel` command line.  The platform's entry point `run` imports none of these modules."""
