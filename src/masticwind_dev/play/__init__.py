"""Plays a load against placers, with engines that exist as a model only."""
