"""The platform's file, the operator's file, and their rules."""
