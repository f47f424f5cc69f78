"""The command line.  Nothing of it is imported by the platform's `run`."""
