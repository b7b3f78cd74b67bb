"""Adapter to the platform: its wire names, message formats and HTTP calls.

Every message is decoded here, once, into this package's own types. No wire
name of the platform is used outside this subpackage, and no scheduling
decision is made inside it.
"""
