"""Quota accounting per tenant, ceilings, epoch markers, and the capacity estimate."""
