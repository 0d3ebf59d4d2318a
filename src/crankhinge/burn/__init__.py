"""The report on service-level burn, made from the programs' logs."""
