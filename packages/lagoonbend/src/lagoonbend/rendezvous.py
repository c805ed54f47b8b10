"""Rendezvous hashing."""

from lagoonbend._internal.utils.rendezvous import choose_by_rendezvous
from lagoonbend._internal.utils.rendezvous import choose_by_weight
from lagoonbend._internal.utils.rendezvous import score_candidate

__all__ = ['choose_by_rendezvous', 'choose_by_weight', 'score_candidate']
