# Starts and ends a fleet of processes for a demo or a measurement. Sourced by bash scripts that have set `run`, an
# existing folder for settings, output and logs.

startup_limit=10 # Seconds.
shutdown_limit=30

say() { printf '\n== %s\n' "$1"; }

declare -A pids=()

# Ends the named processes that still run, by their pids; one that takes longer than the limit is killed.
end() {
    local name
    for name in "$@"; do
        kill "${pids[$name]}" 2>/dev/null || true
    done
    for name in "$@"; do
        for _ in $(seq $((shutdown_limit * 10))); do
            kill -0 "${pids[$name]}" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        unset "pids[$name]"
    done
}

# The script leaves no process behind, however it ends. The routers go before the platform, to which they give their
# budgets back.
end_all() {
    local name routers=() others=()
    for name in "${!pids[@]}"; do
        case $name in
        entry-*) routers+=("$name") ;;
        *) others+=("$name") ;;
        esac
    done
    end "${routers[@]}"
    end "${others[@]}"
}
trap end_all EXIT
trap 'exit 130' INT TERM

# start NAME WORD COMMAND...: runs the command and waits until it prints the address behind WORD.
start() {
    local name=$1 word=$2
    shift 2
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    pids[$name]=$!
    for _ in $(seq $((startup_limit * 20))); do
        if grep -q "^$word " "$run/$name.out"; then
            return 0
        fi
        if ! kill -0 "${pids[$name]}" 2>/dev/null; then
            break
        fi
        sleep 0.05
    done
    echo "$name did not start; its log:" >&2
    cat "$run/$name.log" >&2
    exit 1
}

# address NAME WORD: what the process printed behind WORD.
address() { awk -v word="$2" '$1 == word { print $2; exit }' "$run/$1.out"; }

# http METHOD ADDRESS PATH [BODY]: prints the answer's body; fails unless the status is 200. Needs no other program.
http() {
    local body=${4:-} answer
    exec 3<>"/dev/tcp/${2%:*}/${2##*:}"
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "$3" "$2" "${#body}" "$body" >&3
    answer=$(cat <&3)
    exec 3>&-
    printf '%s' "${answer#*$'\r\n\r\n'}"
    [[ $answer == "HTTP/1.1 200"* ]]
}

join() {
    local IFS=,
    echo "$*"
}
