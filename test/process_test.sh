#!/bin/bash
# Tests with processes on loopback: kills, freezes, platform faults and malformed input on every port.
# Usage: process_test.sh BUILD_FOLDER CASE
set -uo pipefail
build=$1
case_name=$2
cd "$(dirname "$0")/.."
run=$(mktemp -d)
source tools/fleet.sh
trap 'stop_all; rm -rf "$run"' EXIT
failed=0

# Runs a command and reports a failure if it does not succeed.
expect() { # text, command
    local text=$1
    shift
    "$@" >/dev/null 2>&1 || { echo "FAILED: $text"; failed=1; }
}

# Starts the platform and the given number of daemons with backend servers, and submits the example ticket.
start_fleet() { # daemons, further arguments of backend servers
    daemons=$1
    shift
    local i
    start_platform
    for ((i = 1; i <= daemons; i++)); do start_daemon "$i"; done
    expect "daemons become current" await 15 all_have_ticket "$daemons" 0
    expect "the ticket is accepted" ctl ticket submit examples/yukiguni.json
    for ((i = 1; i <= daemons; i++)); do start_backend "$i" "$@"; done
    expect "the ticket is active" await 15 all_have_ticket "$daemons" 1
    for ((i = 1; i <= daemons; i++)); do expect "daemon $i knows all backend servers" await 15 knows_ready "$i" "$daemons"; done
}

# Sends reservations through all daemons in turn; the results go to $run/calls.
reserve_many() { # count
    local n
    for ((n = 1; n <= $1; n++)); do
        call reserve "reserve-$n" $((n % daemons + 1)) -X POST -H "Idempotency-Key: key-$n" -H 'X-Work-Ms: 30' -d "lesson $n" /reservations
    done >"$run/calls"
}

# Guarantees that hold for all calls; each function succeeds when its guarantee holds.
none_ran_twice() { [ -z "$(grep '^reserve-' "$run/ledger" | sort | uniq -d)" ]; }
not_run_did_not_run() { [ -z "$(awk '$4 == "not-run" {print $2}' "$run/calls" | sort | comm -12 - <(sort -u "$run/ledger"))" ]; }
answers_are_own() { awk '$3 == 200 && $7 != "own" {exit 1}' "$run/calls"; }
some_answered() { [ "$(grep -c ' own$' "$run/calls")" -ge "$1" ]; }

# Checks the guarantees on all calls, and that enough of them were answered.
check_calls() { # minimum number of answered calls
    expect "no reservation ran twice" none_ran_twice
    expect "calls reported as not run were not run" not_run_did_not_run
    expect "every answer is the caller's own" answers_are_own
    expect "at least $1 calls were answered" some_answered "$1"
}

# Kills a daemon and a backend server while reservations are sent.
case_kills() {
    start_fleet 6
    reserve_many 60 &
    local caller=$!
    sleep 0.5; signal KILL backend-2
    sleep 0.5; signal KILL daemon-3
    sleep 0.5; start_backend 2
    wait $caller
    check_calls 40
}

# Freezes a daemon for longer than the deadlines of calls, then resumes it.
case_freeze() {
    start_fleet 6
    reserve_many 50 &
    local caller=$!
    sleep 0.4; signal STOP daemon-4
    sleep 4; signal CONT daemon-4
    wait $caller
    sleep 1
    check_calls 30
}

# Drops the store's responses, then makes the store fail, while reservations and tickets are sent.
case_store() {
    start_fleet 6
    fault '{"lose_answers": true}'
    ctl ticket submit examples/paroisse.json >/dev/null 2>&1 # it names regions that this fleet does not have
    [ $? -eq 3 ] || [ $? -eq 1 ] || { echo "FAILED: a ticket for unknown regions is refused"; failed=1; }
    (sleep 2; fault '{"lose_answers": false}') &
    expect "a ticket is accepted although the store's response was lost" ctl drain booking-3 --reason test
    expect "the drain is active" await 16 all_have_ticket 6 2
    fault '{"down": true}'
    reserve_many 6
    check_calls 0
    expect "with the store down no reservation is answered" test "$(grep -c 1010 "$run/calls")" -eq 6
    call read read-1 1 /calendar >"$run/read"
    expect "reads work without the store" grep -q own "$run/read"
    signal KILL daemon-2
    await_end daemon-2 5
    start_daemon 2
    expect "a replaced daemon gets the configuration from its peers" await 16 all_have_ticket 6 2
    fault '{"down": false}'
}

# Stops a daemon and backend servers gracefully during an upload.
case_upload() {
    start_fleet 3
    head -c 3000000 /dev/zero >"$run/body"
    curl -s --limit-rate 1M --max-time 30 -H 'Host: booking' -H 'X-Token: up' -T "$run/body" -o "$run/answer" http://127.0.1.2:7402/waivers/1 &
    local upload=$!
    sleep 1
    local i
    for i in 1 2 3; do signal TERM backend-$i; done
    signal TERM daemon-2
    wait $upload
    expect "the upload has its complete answer" grep -q '"bytes":3000000' "$run/answer"
    expect "the daemon exits" await_end daemon-2 10
}

# Sends malformed, oversized and stalled input to every port; the daemon keeps running and other calls are not affected.
case_malformed() {
    start_fleet 3
    trap '' PIPE # the daemon closes connections while bytes are still being written
    local port
    for port in 7401 7402 7403 7404; do
        head -c 200000 /dev/urandom >"/dev/tcp/127.0.1.1/$port" 2>/dev/null
        printf '\xff\xff\xff\xff' >"/dev/tcp/127.0.1.1/$port" 2>/dev/null
        printf 'GET / HTTP/1.1\r\nX: %0100000d\r\n\r\n' 1 >"/dev/tcp/127.0.1.1/$port" 2>/dev/null
    done
    head -c 1300 /dev/urandom >/dev/udp/127.0.1.1/7401
    exec 9<>/dev/tcp/127.0.1.1/7401
    printf '\x10\x00' >&9
    expect "a bad announcement gets an error code" grep -q 3008 <(curl -s -d '{' http://127.0.1.1:7403/announce)
    expect "a bad ticket gets an error code" grep -q 3008 <(curl -s -d '{' http://127.0.1.1:7404/tickets)
    expect "an unknown page gets an error code" grep -q 5005 <(curl -s http://127.0.1.1:7404/nothing)
    expect "an unknown service gets an error code" grep -q 1001 <(curl -s -H 'Host: nobody' http://127.0.1.1:7402/)
    expect "a missing key gets an error code" grep -q 1011 <(curl -s -X POST -H 'Host: booking' -d x http://127.0.1.1:7402/reservations)
    head -c 100000 /dev/zero >"$run/big"
    expect "a large body gets an error code" grep -q 1012 \
        <(curl -s -X POST -H 'Host: booking' -H 'Idempotency-Key: b' --data-binary "@$run/big" http://127.0.1.1:7402/reservations)
    expect "bad messages are counted" test "$(metric 1 bad_messages_total)" -ge 3
    call read read-1 1 /calendar >"$run/read"
    expect "the daemon still serves" grep -q own "$run/read"
    exec 9>&-
}

# A request that crashes backend servers is quarantined after two failures, on all daemons.
case_poison() {
    start_fleet 6
    local n status=none
    for n in 1 2 3 4; do
        status=$(curl -s --max-time 10 -o /dev/null -w '%header{radishford-code}' -H 'Host: booking' -H 'X-Kill: 1' "http://127.0.1.$n:7402/poison")
    done
    local running=0 i
    for i in 1 2 3 4 5 6; do kill -0 "${pids[backend-$i]}" 2>/dev/null && running=$((running + 1)); done
    expect "at most two backend servers fail ($running of 6 running)" test $running -ge 4
    expect "the request is quarantined (code $status)" test "$status" = 1009
    expect "operators see it" grep -q '"quarantined":true' <(ctl --json quarantine list)
}

# The commands of radishfordctl, a ticket conflict, and exit codes.
case_ctl() {
    start_fleet 3
    expect "check" ctl ticket check examples/paroisse.json
    expect "log shows the ticket" grep -q 'yukiguni operations' <(ctl ticket log)
    expect "show" grep -q '"number":1' <(ctl ticket show 1)
    expect "the diff of the active ticket is empty" grep -q 'changes nothing' <(ctl ticket diff examples/yukiguni.json)
    sed 's/"author"/"number": 1, "author"/; s/"queue": 48/"queue": 47/' examples/yukiguni.json >"$run/old.json"
    ctl ticket submit "$run/old.json" >"$run/conflict"
    expect "a conflict exits with 3" test $? -eq 3
    expect "a conflict shows the holder" grep -q 'ticket 1 is by' "$run/conflict"
    expect "a conflict shows what would change" grep -q 'queue *48 *47' "$run/conflict"
    expect "status" grep -q 'sapporo-a' <(ctl status)
    expect "members" grep -q 'booking-2' <(ctl --json members)
    call read read-1 1 -H 'traceparent: 00-0123456789abcdef0123456789abcdef-0123456789abcdef-01' /calendar >"$run/read"
    expect "explain shows each hop" test "$(ctl explain 0123456789abcdef0123456789abcdef | grep -cE 'call|attempt|admission')" -ge 3
    expect "budget" grep -q measuring <(ctl budget)
    expect "completion" bash -n <(ctl completion)
    ctl nonsense >/dev/null 2>&1
    expect "a wrong command exits with 2" test $? -eq 2
    "$build/radishfordctl" --admin 127.0.1.99:1 status >/dev/null 2>&1
    expect "an unreachable daemon exits with 1" test $? -eq 1
    expect "settings can be checked" "$build/radishfordd" --check-settings --settings "$run/daemon-1.json"
}

"case_$case_name"
[ $failed -eq 0 ] || for log in "$run"/daemon-*.log; do tail -n 5 "$log"; done
exit $failed
