"""A laboratory: the real decisions against emulated engines in virtual time."""
