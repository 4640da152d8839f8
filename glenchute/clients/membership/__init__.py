"""Members' gossip over UDP. Imported only where the operator's file has a `[fleet]` table."""
