"""The report on service-level burn, made from the programs' logs."""

from crankhinge.burn._read import parse_line

__all__ = ["parse_line"]
