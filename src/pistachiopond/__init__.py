"""The programs of pistachiopond, as installed."""
