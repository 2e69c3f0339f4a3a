"""The program ``pond-control``."""

from _pistachiopond.control.program import app


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
