# Starts and stops processes; sourced by the scripts beside this file. It sets `dir`, a directory
# for their output that goes away with them, and expects `bin`, the directory of the programs.

dir=$(mktemp -d)
pids=()

stop() {
    # Last started, first stopped: routers can still reach the platform.
    for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
        kill "${pids[n]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT

# start NAME PROGRAM ARGUMENTS...: runs a program until its line with its addresses is there.
start() {
    local name=$1
    shift
    "$bin/$1" "${@:2}" >"$dir/$name.out" 2>"$dir/$name.log" &
    pids+=($!)
    for _ in $(seq 600); do
        [ -s "$dir/$name.out" ] && return
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$dir/$name.log" >&2
    exit 1
}

# address NAME PART: an address that a program printed.
address() {
    sed -E 's/.*"'"$2"'":"([^"]+)".*/\1/' "$dir/$1.out"
}
