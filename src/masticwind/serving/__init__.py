"""Direct serving: entries that speak to the endpoints themselves."""
