"""Where attempts go out."""
