"""Plans which endpoints load which models and sends the orders."""
