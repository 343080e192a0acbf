"""Route language-model requests with long shared prompts to the best engine."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
