// What licences there are, and which gateways count their seats.

#Licence: {
    name:    string & !=""
    tenant:  string & !=""
    classes: [string, ...string]
    seats:   int & >=0 & <=1000000
    // A second device with the holder's token: it is refused, or takes the seat over.
    devices: *"refuse" | "take_over"
}

// Within a term nothing changes: not the licences, not who counts. What shall change changes with the next term.
#Term: {
    // As in 2026-12-01T08:00:00Z.
    from:     string
    until:    string
    // Numbers of the gateways that count seats.
    gateways: [int & >=0, ...int & >=0]
    // A licence of more seats is cut into parts of this many or less, each counted at its own gateway.
    block:    int & >=1 | *64
    licences: [...#Licence]
}

#Sheet: {
    // Where viewers reach gateways, for those who ask the wrong one.
    at?:   [...{gateway: int & >=0, uri: string}]
    terms: [#Term, ...#Term]
}
