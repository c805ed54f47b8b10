Estimate the wait of a call from the arrivals of more urgent ranks and refuse it
on arrival if it will not be served; divide a large service into pools by
failure domain; leave out crashed targets for all domains at once; count late
reports of a customer's use only as far back as the customer's limit reaches.
