# Functions that start and stop a fleet of processes on loopback addresses; sourced by the demo, process tests and benchmarks.
# The sourcing script sets build (folder of programs) and run (temporary folder). Daemon i listens on 127.0.1.i.

declare -A pids=()

# Starts a program in the background and stores its process id under a name.
start() { # name, log file, program and arguments
    local name=$1 log=$2
    shift 2
    "$@" >>"$log" 2>&1 &
    pids[$name]=$!
}

# Sends a signal to a named process.
signal() { # signal, name
    kill "-$1" "${pids[$2]}" 2>/dev/null || true
}

# Waits until a named process has ended, or until the timeout. Succeeds when it has ended.
await_end() { # name, seconds
    local tries=$(($2 * 20))
    while kill -0 "${pids[$1]}" 2>/dev/null && ((tries-- > 0)); do sleep 0.05; done
    ! kill -0 "${pids[$1]}" 2>/dev/null
}

# Stops all processes that were started, by id: with TERM, and with KILL after three seconds.
stop_all() {
    local name
    for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; kill "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do
        await_end "$name" 3 || kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
}

places='[{"failure_domain":"sapporo-a","region":"sapporo"},{"failure_domain":"sapporo-b","region":"sapporo"},
 {"failure_domain":"asahikawa-a","region":"asahikawa"},{"failure_domain":"asahikawa-b","region":"asahikawa"},
 {"failure_domain":"hakodate-a","region":"hakodate"},{"failure_domain":"hakodate-b","region":"hakodate"}]'
domains=(sapporo-a sapporo-b asahikawa-a asahikawa-b hakodate-a hakodate-b)

# Writes the settings file of daemon i, which is in failure domain (i - 1) modulo six.
write_settings() { # i
    cat >"$run/daemon-$1.json" <<END
{"instance": "booking-$1", "failure_domain": "${domains[$((($1 - 1) % 6))]}", "places": $places,
 "daemon_address": "127.0.1.$1:7401", "caller_address": "127.0.1.$1:7402", "announce_address": "127.0.1.$1:7403",
 "admin_address": "127.0.1.$1:7404", "store_address": "127.0.1.250:7400", "seeds": ["127.0.1.1:7401", "127.0.1.2:7401", "127.0.1.3:7401"]}
END
}

# Starts the stand-in for the platform.
start_platform() {
    start platform "$run/platform.log" "$build/platform_standin" --listen 127.0.1.250:7400
}

# Writes the settings of daemon i and starts it.
start_daemon() { # i
    write_settings "$1"
    start "daemon-$1" "$run/daemon-$1.log" "$build/radishfordd" --settings "$run/daemon-$1.json"
}

# Starts the backend server of daemon i.
start_backend() { # i, further arguments
    local i=$1
    shift
    start "backend-$i" "$run/backend-$i.log" "$build/backend_standin" --service booking --listen "127.0.1.$i:7410" \
        --announce "127.0.1.$i:7403" --slots "${slots:-12}" --ledger "$run/ledger" "$@"
}

# Sets the faults of the stand-in for the platform.
fault() { # JSON
    curl -s -o /dev/null --max-time 2 -d "$1" http://127.0.1.250:7400/fault
}

# Runs radishfordctl against daemon 1.
ctl() {
    "$build/radishfordctl" --admin 127.0.1.1:7404 --store 127.0.1.250:7400 "$@"
}

# Prints the value of a daemon's metric; zero when the metrics page lacks it.
metric() { # i, name
    curl -s --max-time 2 "http://127.0.1.$1:7404/metrics" | awk -v name="radishford_$2" '$1 == name {value = $2} END {print value + 0}'
}

# Repeats a command until it succeeds or the timeout has passed.
await() { # seconds, command
    local tries=$(($1 * 20))
    shift
    until "$@" >/dev/null 2>&1; do
        ((tries-- > 0)) || return 1
        sleep 0.05
    done
}

# Succeeds when on all daemons from 1 to n the ticket is active and they are current.
all_have_ticket() { # n, ticket
    local i
    for ((i = 1; i <= $1; i++)); do
        curl -s --max-time 1 "http://127.0.1.$i:7404/status" | grep -q "\"ticket\":$2,\"current\":true" || return 1
    done
}

# Succeeds when a daemon knows at least this number of ready backend servers.
knows_ready() { # i, count
    [ "$(curl -s --max-time 1 "http://127.0.1.$1:7404/members" | grep -o '"backend":"ready"' | wc -l)" -ge "$2" ]
}

# Sends a call through daemon i and prints: kind, token, HTTP status, outcome, code, seconds, and "own" if the response contains the token.
call() { # kind, token, i, curl arguments, path
    local kind=$1 token=$2 i=$3 answer status outcome code seconds own=-
    shift 3
    local path=${*: -1}
    answer=$(curl -s --max-time 30 -H 'Host: booking' -H "X-Token: $token" "${@:1:$#-1}" \
        -w '\n%{http_code} %{time_total} %header{radishford-outcome} %header{radishford-code}' "http://127.0.1.$i:7402$path") || true
    local line=${answer##*$'\n'} body=${answer%$'\n'*}
    read -r status seconds outcome code <<<"$line"
    [ "$status" = 200 ] && grep -q "\"token\":\"$token\"" <<<"$body" && own=own
    echo "$kind $token ${status:-000} ${outcome:--} ${code:--} ${seconds:-0} $own"
}
