"""The entry daemon: routes callers' requests to model engines and plain services."""
