"""A site and its zones: known hosts, members, configuration and shards."""
