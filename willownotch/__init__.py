"""Decisions for a delivery service: when, where and whether each outbound message is sent."""

__version__ = "0.1.0"
