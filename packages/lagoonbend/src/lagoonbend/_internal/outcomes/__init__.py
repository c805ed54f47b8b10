"""How attempts end and what follows."""
