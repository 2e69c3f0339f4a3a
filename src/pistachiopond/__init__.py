"""The public face of pistachiopond."""
