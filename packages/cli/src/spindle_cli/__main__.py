"""The program `spindlectl`."""

from spindle_cli.app import app


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
