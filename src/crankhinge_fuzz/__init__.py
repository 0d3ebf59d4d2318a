"""``crankhinge-fuzz``: gives the readers of the product data that others might send."""
