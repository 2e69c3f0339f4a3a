"""The program ``pond-entry``."""

from _pistachiopond.entry.program import app


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
