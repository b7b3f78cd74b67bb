"""Adapter to the users' platform: its names, formats and calls.

Every message is decoded once into the product's own types. Nothing here
decides; nothing outside knows the platform's names.
"""
