// A short hard day: each rule comes under pressure, so that a gateway which breaks one is seen.
length:   "11s"
hosts:    12
racks:    2
gateways: 2
arrivals: 30
events: [
    {at: "1s", for: "4s", kind: "drain", share: 0.25},
    {at: "2s", for: "2s", kind: "crash", share: 0.4},
    {at: "3s", for: "2s", kind: "answer_lost", share: 0.5, by: 0.5},
    {at: "7s", for: "4s", kind: "fast_errors", share: 1, by: 0.7},
]
