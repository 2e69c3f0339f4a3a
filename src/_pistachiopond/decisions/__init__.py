"""Pure decisions: typed inputs and a time in, typed actions out."""
