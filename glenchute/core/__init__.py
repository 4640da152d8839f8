"""The life of each request; knows no wire."""
