// A day on which everything happens once. Kinds as the bench names them, and some of our own.
length:   "30s"
hosts:    8
racks:    2
gateways: 3
arrivals: 14
srt:      0.2
events: [
    {at: "2s",  for: "3s", kind: "slow", by: 4},
    {at: "3s",  for: "4s", kind: "fast_errors", share: 0.6, by: 0.7},
    {at: "4s",  for: "3s", kind: "crash", share: 0.25},
    {at: "5s",  for: "3s", kind: "answer_lost", share: 0.3, by: 0.3},
    {at: "7s",  for: "3s", kind: "hang", share: 0.13},
    {at: "9s",  for: "3s", kind: "drain", share: 0.25},
    {at: "9s",  for: "3s", kind: "discovery_stale", by: 4},
    {at: "11s", for: "3s", kind: "uplink", by: 2},
    {at: "12s", for: "3s", kind: "burst", by: 2},
    {at: "14s", for: "2s", kind: "balancer_roll"},
    {at: "15s", for: "3s", kind: "discovery_down"},
    {at: "16s", for: "3s", kind: "neighbour", share: 0.5, by: 2},
    {at: "18s", for: "1s", kind: "balancer_stall"},
    {at: "19s", for: "3s", kind: "shared_slow", by: 1.7},
    {at: "20s", for: "3s", kind: "report_late", share: 1, by: 2},
    {at: "21s", for: "2s", kind: "origin_slow", share: 0.5, by: 2},
    {at: "22s", for: "2s", kind: "garble", share: 0.13},
    {at: "23s", for: "3s", kind: "crash", share: 0.25},
    {at: "24s", for: "3s", kind: "ageing", share: 0.25, by: 2},
    {at: "25s", for: "2s", kind: "lies", share: 0.13, by: 0.2},
    {at: "25s", for: "1s", kind: "peer_down"},
]
