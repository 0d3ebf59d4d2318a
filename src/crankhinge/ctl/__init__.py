"""``crankhinge-ctl``, the operators' command line for bundles, keys and logs."""
