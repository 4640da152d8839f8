"""The command line interface, and the assembly of a gateway process."""
