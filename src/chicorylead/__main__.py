"""Entry point of the command line."""

from chicorylead.cli.main import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
