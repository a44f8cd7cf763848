// What a script of troubles must be.
#Event: {
    at:    duration
    for:   duration | *"3s"
    kind:  "ageing" | "answer_lost" | "balancer_roll" | "balancer_stall" | "burst" | "crash" | "discovery_down" |
           "discovery_stale" | "fast_errors" | "neighbour" | "origin_slow" | "peer_down" | "report_late" |
           "shared_slow" | "slow" | "hang" | "drain" | "uplink" | "lies" | "garble"
    // Part of the hosts that it meets.
    share: number & >0 & <=1 | *0.25
    // How bad: times slower or less, or the chance of it.
    by:    number & >0 | *3
}
#Script: {
    // The times below are for a day of this length; a longer or shorter one stretches them.
    length:   duration
    hosts:    int & >=1 & <=200 | *8
    racks:    int & >=1 | *2
    gateways: int & >=1 & <=16 | *3
    // New viewers a second.
    arrivals: number & >0 | *12
    srt:      number & >=0 & <=1 | *0
    events:   [...#Event]
}
