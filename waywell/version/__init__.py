"""What lives for a version: configuration, roster, their documents."""
