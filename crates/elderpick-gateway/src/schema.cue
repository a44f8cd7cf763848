// What a gateway's settings must be. Durations, sizes, rates and addresses are strings that say their unit.

#Class: {
    name:     string & !=""
    // What a second set-up does: nothing, nothing within a group of servers for a time, or it is paid again.
    effect:   *"free" | "guarded" | "paid"
    group:    *"all" | "zone" | "cell"
    window:   duration & >="0s" | *"0s"
    // Wanted playing within this; the viewer waits so long.
    aim:      duration & >="1ms"
    patience: duration & >="10ms"
    worth:    number & >0 | *1
    // Its rates over those of the ladder, and the rungs that it may have.
    scale:    number & >0 | *1
    floor:    int & >=0 | *0
    top?:     int & >=0
    // Sessions of one title that one gateway may hold.
    seats?:   int & >0
    live:     bool | *false
    // Its viewers bring an entitlement token, and take a seat of its licence.
    licensed: bool | *false
    // Who is billed for its use where no token says so.
    tenant:   string & !="" | *"unnamed"
}

#Rung: {
    rate:  rate & >"0B/s"
    worth: number & >0
}

#Kind: {
    name:   string & !=""
    // Streams that such a server runs at most.
    places: number & >0
}

#Gateway: {
    // Number of this gateway, and how many there are. They need not know more of one another.
    me:       int & >=0
    gateways: int & >=1
    name:     string & !="" | *"gateway"
    listen:   address
    zone:     string
    zones:    [string, ...string]
    kinds:    [#Kind, ...#Kind]
    classes:  [#Class, ...#Class]
    ladder:   [#Rung, ...#Rung]

    inventory: string & !=""
    // The list service, which tells what runs.
    list: {
        address: address
        // A gateway that starts takes no viewer until it has the list, but no longer than this.
        wait:    duration & >="0s" | *"1s"
    }

    // Titles stand on `copies` cells in a row, the first by a hash of the title; on all servers if not given.
    titles?: {
        cells:  int & >=1
        copies: int & >=1
    }
    racks:       int & >=1 | *1
    weights:     bool | *false
    links?:      rate
    rack_links?: rate
    // Link of a server for each unit of its weight.
    per_weight?: rate

    reporting:   *"answers" | "probes" | "never"
    probing:     bool | *true
    // How late delivered shares are heard.
    share_delay: duration & >="0s" | *"1s"

    cold?: {
        warm_up:  duration & >"0s"
        least:    number & >0 & <=1
        multiple: number & >0
        window:   duration & >"0s"
    }
    budget?: {
        free:   number & >=0
        share:  number & >=0
        window: duration & >"0s"
    }
    attempts:     int & >=1 | *3
    retry_after?: duration & >="1s"

    limits: {
        // Set-ups must be connected within this, or count as unreached.
        connect:       duration & >="1ms" | *"250ms"
        // The answer leaves so long before the viewer's time is up.
        margin:        duration & >="0s" | *"60ms"
        // A viewer who asks for no playlist so long has left.
        silence:       duration & >="1s" | *"12s"
        // A media host that tells nothing so long is lost.
        mute:          duration & >="1s" | *"4s"
        // Playlists show so much that was not yet played.
        lead:          duration & >="1s" | *"8s"
        sessions:      int & >=1 | *30000
        connections:   int & >=1 | *10000
        // Viewers that one address may have connected.
        per_address:   int & >=1 | *2000
        header:        duration & >="10ms" | *"5s"
        playlist:      size & >="1KiB" | *"1MiB"
        idle_per_host: int & >=0 | *16
    }
    // Tokens and seats of licensed classes.
    entitlement?: {
        // Files, watched: the keys that verify, the sheet of licences and terms, what is withdrawn.
        keys:     string & !=""
        sheet:    string & !=""
        revoked?: string & !=""
        // The log of seats that are taken.
        state:    string & !=""
        // Tokens must be for this audience, and from this issuer if one is named.
        audience: string & !=""
        issuer?:  string & !=""
        // How far clocks of gateways and issuers may differ.
        skew:     duration & >="0s" | *"2s"
        // A right lasts so long after its token's end.
        grace:    duration & >="0s" | *"10s"
        // A seat whose session broke off is kept for its holder so long.
        linger:   duration & >="0s" | *"5s"
        // After a restart, seats of the killed process count as taken so long. What it let play must be over by then.
        hold:     duration & >="1s" | *"30s"
        // Seats outlive a loss of power before they are used, within `within`, or when the system likes.
        sync:     *"always" | "soon" | "never"
        within:   duration & >="1ms" | *"50ms"
        // The files are looked at so often.
        reload:   duration & >="50ms" | *"2s"
        seats:    int & >=1 | *30000
    }
    // Use, for billing.
    ledger?: {
        folder:   string & !=""
        // Periods are cut by the calendar of this place, a name of the IANA database.
        zone:     string & !="" | *"UTC"
        every:    *"month" | "day"
        // A period takes entries so long after its end.
        lateness: duration & >="0s" | *"24h"
        // A kill loses at most so much of the use of a session that plays.
        mark:     duration & >="100ms" | *"5s"
        // What is told within this goes with one write and sync; a kill loses no more of it.
        commit:   duration & >="0s" & <="200ms" | *"50ms"
        segment:  size & >="64KiB" | *"64MiB"
        // Records of more bytes than this are let go, oldest first, once what they tell was exported.
        keep:     size & >="1MiB" | *"20GiB"
        // While it cannot be kept, licensed classes go on and a gap is told, or they are refused.
        full:     *"go_on" | "refuse"
    }
    // SRT sessions, by UDP.
    srt?: {
        listen:      string & !=""
        // Callers that are known at once, in all and of one address.
        callers:     int & >=1 | *10000
        per_address: int & >=1 | *1000
        // The answer to a call is given again for so long.
        linger:      duration & >="0s" | *"5s"
    }
    // A socket for `elderpick seats show` and the like, of the gateway's own user.
    control?: string & !=""
    // After SIGTERM what plays goes on so long.
    drain: duration & >="0s" | *"30s"
    log: {
        format: *"text" | "json"
        level:  *"info" | "error" | "warn" | "debug" | "trace"
    }
}
