"""Where requests come in, one package each."""
