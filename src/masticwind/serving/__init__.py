"""Direct serving: entries that send requests to endpoints themselves."""
