"""Measurements; each command prints what it measured."""
