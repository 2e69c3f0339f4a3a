"""The program ``pond-replay``."""

from _pistachiopond.replay.program import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
