"""Admission control: quota accounting per tenant, ceilings, epoch markers and the capacity estimate."""
