"""Which entry boxes there are, and the streams between them."""
