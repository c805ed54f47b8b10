"""Prompts under which targets end."""
