"""Published facts with a revision and an age."""
