"""What gateways decide together: who is there, and what each knows of the others' state. No I/O."""
