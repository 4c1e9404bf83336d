#!/bin/bash
# Measures a fleet of real daemons on loopback: time until all know each other, time until a ticket is active everywhere,
# and processor time, memory and control traffic of an idle daemon. Usage: bench/run_fleet.sh DAEMONS (6 to 200)
set -euo pipefail
cd "$(dirname "$0")/.."
build=$PWD/build
run=$(mktemp -d)
source tools/fleet.sh
trap 'stop_all; rm -rf "$run"' EXIT
daemons=${1:-60}
ticks=$(getconf CLK_TCK)

now_ms() { date +%s%3N; }
all_know_all() {
    local i
    for ((i = 1; i <= daemons; i += 7)); do
        [ "$(metric "$i" instances)" -ge "$daemons" ] || return 1
    done
}
# Sums over every seventh daemon: processor ticks and bytes of membership and configuration.
sample() {
    local i cpu=0 bytes=0
    for ((i = 1; i <= daemons; i += 7)); do
        cpu=$((cpu + $(awk '{print $14 + $15}' "/proc/${pids[daemon-$i]}/stat")))
        bytes=$((bytes + $(curl -s "http://127.0.1.$i:7404/metrics" | awk '/bytes_total\{purpose="(membership|configuration)"/ {sum += $2} END {printf "%d", sum}')))
    done
    echo "$cpu $bytes"
}

start_platform
begin=$(now_ms)
for ((i = 1; i <= daemons; i++)); do start_daemon "$i"; done
await 60 all_have_ticket "$daemons" 0
await 120 all_know_all
echo "daemons $daemons: all know all after $(($(now_ms) - begin)) ms"
begin=$(now_ms)
ctl ticket submit examples/yukiguni.json >/dev/null
await 30 all_have_ticket "$daemons" 1
echo "ticket in force everywhere after $(($(now_ms) - begin)) ms"
sleep 20
read -r cpu1 bytes1 < <(sample)
sleep 20
read -r cpu2 bytes2 < <(sample)
sampled=$(((daemons + 6) / 7))
awk -v n=$sampled -v c=$((cpu2 - cpu1)) -v b=$((bytes2 - bytes1)) -v t="$ticks" \
    'BEGIN {printf "at rest, mean of %d daemons: %.3f%% of a core, %.0f B/s of control sent\n", n, c / t / 20 / n * 100, b / 20 / n}'
awk '/VmRSS/ {print "memory of daemon 1: " $2 " KiB"}' "/proc/${pids[daemon-1]}/status"
