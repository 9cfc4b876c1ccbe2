"""Translate between the platform's protocols and the product.

Only this package knows the names on the platform's wire.
"""
