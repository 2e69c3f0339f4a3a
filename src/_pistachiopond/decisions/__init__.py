"""Decision logic without I/O: typed inputs and a time in, typed results out."""
