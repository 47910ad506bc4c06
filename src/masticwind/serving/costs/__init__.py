"""What requests cost: predictions and what is learned of their errors."""
