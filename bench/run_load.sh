#!/bin/bash
# Measures real daemons on loopback: latency added by two daemons, processor time of a call, idle processor time, memory.
# Usage: bench/run_load.sh [CALLS_PER_SECOND]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$PWD/build
run=$(mktemp -d)
source tools/fleet.sh
trap 'stop_all; rm -rf "$run"' EXIT
rate=${1:-1000}
ticks=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[$1]}/stat"; } # process name: user and system time
memory_kib() { awk '/VmRSS/ {print $2}' "/proc/${pids[$1]}/status"; }

start_platform
for i in 1 2 3 4 5 6; do start_daemon $i; done
await 15 all_have_ticket 6 0
ctl ticket submit examples/yukiguni.json >/dev/null
# Only daemon 2 has a backend server, so that each call through daemon 1 passes through two daemons.
slots=64 start_backend 2 --work-ms 0
await 10 all_have_ticket 6 1
await 10 knows_ready 1 1
sleep 6 # waits until the cold start of the backend server has ended

echo "direct:              $("$build/load_bench" --target 127.0.1.2:7410 --rate "$rate")"
before1=$(cpu_ticks daemon-1) before2=$(cpu_ticks daemon-2)
line=$("$build/load_bench" --target 127.0.1.1:7402 --rate "$rate")
after1=$(cpu_ticks daemon-1) after2=$(cpu_ticks daemon-2)
echo "through two daemons: $line"
echo "direct again:        $("$build/load_bench" --target 127.0.1.2:7410 --rate "$rate")"
calls=$(awk '{print $2}' <<<"$line")
awk -v t="$ticks" -v c="$calls" -v a=$((after1 - before1)) -v b=$((after2 - before2)) \
    'BEGIN {printf "processor time of a call: outbound %.0f us, inbound %.0f us\n", a / t / c * 1e6, b / t / c * 1e6}'
idle1=$(cpu_ticks daemon-3)
sleep 10
awk -v t="$ticks" -v a=$(($(cpu_ticks daemon-3) - idle1)) 'BEGIN {printf "idle daemon: %.2f%% of a core\n", a / t / 10 * 100}'
echo "memory of daemon 1: $(memory_kib daemon-1) KiB, of idle daemon 3: $(memory_kib daemon-3) KiB"
