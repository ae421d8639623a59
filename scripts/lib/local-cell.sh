# Functions that run a small cell on this machine: the stand-in and seven daemons in three failure domains.
# The caller sets CELL_DIR (work files) and BUILD_DIR (programs); stop_cell ends every process that was started.

CELL_DOMAINS=(aalst-hal aalst-hal aalst-hal aalst-lab aalst-lab lokeren lokeren)
CELL_REGION=vlaanderen
CELL_PIDS=()

# Ports of daemon N (1 to 7): callers 81NN, operators 91NN, peers 61NN, relay 62NN.
caller_address() { printf '127.0.0.1:81%02d' "$1"; }
operator_address() { printf '127.0.0.1:91%02d' "$1"; }
peer_address() { printf '127.0.0.1:61%02d' "$1"; }
relay_address() { printf '127.0.0.1:62%02d' "$1"; }

# Writes the settings file of daemon N.
write_settings() {
    local n=$1 i separator=""
    {
        printf '{\n  "daemon": "entry-%d", "failureDomain": "%s", "region": "%s",\n' \
            "$n" "${CELL_DOMAINS[$((n - 1))]}" "$CELL_REGION"
        printf '  "listeners": { "callers": "%s", "operators": "%s", "peers": "%s", "relay": "%s" },\n' \
            "$(caller_address "$n")" "$(operator_address "$n")" "$(peer_address "$n")" "$(relay_address "$n")"
        printf '  "peers": [\n'
        for i in $(seq 1 ${#CELL_DOMAINS[@]}); do
            [ "$i" -eq "$n" ] && continue
            printf '%s    { "daemon": "entry-%d", "failureDomain": "%s", "address": "%s" }' \
                "$separator" "$i" "${CELL_DOMAINS[$((i - 1))]}" "$(peer_address "$i")"
            separator=$',\n'
        done
        printf '\n  ],\n  "platform": { "log": "127.0.0.1:7101", "hostList": "127.0.0.1:7102", "retentionSeconds": 3600 },\n'
        printf '  "log": { "level": "info", "file": "%s/entry-%d.log" },\n}\n' "$CELL_DIR" "$n"
    } >"$CELL_DIR/entry-$n.jsonc"
}

start_standin() {
    "$BUILD_DIR/sapphire-standin" --settings examples/standin.jsonc >"$CELL_DIR/standin.out" 2>&1 &
    CELL_PIDS+=($!)
    wait_for "the stand-in" curl -sf -o /dev/null http://127.0.0.1:7104/v1/control/violations
}

# Starts daemon N; its process id is kept in DAEMON_PID_N.
start_daemon() {
    write_settings "$1"
    "$BUILD_DIR/sapphired" --settings "$CELL_DIR/entry-$1.jsonc" >"$CELL_DIR/entry-$1.out" 2>&1 &
    local pid=$!
    CELL_PIDS+=("$pid")
    eval "DAEMON_PID_$1=$pid"
}

daemon_pid() { eval "printf '%s' \"\$DAEMON_PID_$1\""; }

# Runs a command until it succeeds, at most 60 seconds.
wait_for() {
    local what=$1 attempt
    shift
    for attempt in $(seq 1 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.2
    done
    echo "gave up waiting for $what" >&2
    return 1
}

control() { "$BUILD_DIR/sapphirectl" "$@"; }

stop_cell() {
    local pid
    for pid in "${CELL_PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${CELL_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    CELL_PIDS=()
}
