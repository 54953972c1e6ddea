"""Router fleet for organisations that share model capacity fairly."""

__all__ = ["__version__"]

__version__ = "0.1.0"
