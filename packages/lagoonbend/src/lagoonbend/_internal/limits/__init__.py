"""Rate limits of customers, enforced jointly by all instances."""
