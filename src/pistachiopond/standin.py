"""The program ``pond-standin``."""

from _pistachiopond.standin.program import app


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
