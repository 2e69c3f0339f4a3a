"""Private modules; the public ones are in `pistachiopond`."""
