Let calls wait for a target that has their prompt cached, if that is expected to be
sooner (`kept_prompts = on`; off by default). Add `lagoonbend explain-route`, which
tells where a call would go now, and why, without sending it.
