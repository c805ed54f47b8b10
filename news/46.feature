Send no calls to the targets of a failure domain that operators evacuate, until
they take that back. Pace calls to cold targets, over all instances together, by
the rate that the configuration gives (`cold_overshoot_ratio` and `cold_slack` in
`[bounds]`). The soak plays both.
