"""The operators' program ``pond``."""

from _pistachiopond.cli.program import app


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
