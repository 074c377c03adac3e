"""Tests that hold pages and code together."""
