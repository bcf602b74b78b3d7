"""Decisions for a delivery service: when, where and whether each outbound message is sent."""
