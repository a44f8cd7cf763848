// A short hard day: each rule comes under pressure, one after the other, so that a gateway which breaks one is seen.
length:   "22s"
hosts:    12
racks:    2
gateways: 2
arrivals: 30
events: [
    {at: "300ms", for: "3s", kind: "fast_errors", share: 1, by: 0.7},
    {at: "3500ms", for: "3500ms", kind: "drain", share: 0.4},
    {at: "7500ms", for: "1s", kind: "crash", share: 0.5},
    {at: "10s", for: "3s", kind: "answer_lost", share: 0.3, by: 0.5},
    // How many requests reach a host in its first second is chance: hosts come back often enough.
    {at: "13500ms", for: "1s", kind: "crash", share: 0.5},
    {at: "16s", for: "1s", kind: "crash", share: 0.5},
    {at: "18500ms", for: "1s", kind: "crash", share: 0.5},
]
