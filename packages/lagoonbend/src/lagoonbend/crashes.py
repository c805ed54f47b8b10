"""Prompts under which targets end, and the evidence against them."""

from lagoonbend._internal.crashes.blocked_prompt import BlockedPrompt
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence
from lagoonbend._internal.crashes.prompt_suspects import PromptSuspects
from lagoonbend._internal.crashes.sound_block import SoundBlock

__all__ = ['BlockedPrompt', 'CrashEvidence', 'PromptSuspects', 'SoundBlock']
