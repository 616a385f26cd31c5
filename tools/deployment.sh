# Functions that start and stop a deployment with stand-ins on loopback. Sourced by
# tools/demo and tools/measure; needs the variables BUILD (build directory) and RUN
# (directory for settings and logs).

pids=()

# Data centres, caller, admin, peer and platform ports of a deployment.
use_deployment() {
  deployment=$1
  case "$deployment" in
    farm) data_centres=(ibadan-1 ibadan-2 ibadan-3) region=ibadan hosts=9 base=21000 ;;
    print) data_centres=(nz-north-1 nz-north-2 nz-north-3 nz-north-4) region=nz-north hosts=8 base=23000 ;;
    *) echo "unknown deployment: $deployment (farm, print)" >&2; return 2 ;;
  esac
  platform="127.0.0.1:$base"
}

caller_address() { echo "127.0.0.1:$((base + 100 + $1))"; }
admin_address() { echo "127.0.0.1:$((base + 200 + $1))"; }
peer_address() { echo "127.0.0.1:$((base + 300 + $1))"; }

write_settings() {
  local number=$1 data_centre=${data_centres[$((($1 - 1) % ${#data_centres[@]}))]}
  cat > "$RUN/entry-$number.json" <<JSON
{
  "node": "entry-$number", "data_centre": "$data_centre", "region": "$region",
  "caller_address": "$(caller_address "$number")",
  "admin_address": "$(admin_address "$number")",
  "peer_address": "$(peer_address "$number")",
  "table_service": "$platform", "host_list": "$platform",
  "seeds": ["$(peer_address 1)", "$(peer_address 2)", "$(peer_address 3)"]
}
JSON
}

# Starts a program in the background and remembers its process id in the variable started.
start_program() {
  local log=$1
  shift
  "$@" >> "$RUN/$log.log" 2>&1 &
  started=$!
  pids+=("$started")
}

start_entry() {
  write_settings "$1"
  start_program "entry-$1" "$BUILD/geraniumdoord" --settings "$RUN/entry-$1.json"
  entry_pids[$1]=$started
}

start_standins() {
  start_program platform "$BUILD/gd_standin_platform" --settings "examples/standins/${deployment}_platform.json"
  start_program upstreams "$BUILD/gd_standin_upstream" --settings "examples/standins/${deployment}_upstreams.json"
}

start_entries() {
  declare -gA entry_pids
  local number
  for number in $(seq "$hosts"); do start_entry "$number"; done
}

# Waits until a command succeeds, at most the given number of seconds.
wait_for() {
  local limit=$1 end
  shift
  end=$((SECONDS + limit))
  until "$@" > /dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "not reached within $limit s: $*" >&2; return 1; }
    sleep 0.2
  done
}

is_healthy() { curl -sf "http://$(admin_address "$1")/healthz"; }
is_ready() { curl -sf "http://$(admin_address "$1")/readyz"; }

# Number of upstreams that some entry host owns.
owned_upstreams() {
  local number
  for number in $(seq "$hosts"); do
    curl -sf "http://$(admin_address "$number")/admin/upstreams" | jq '[.upstreams[] | select(.owned)] | length'
  done | awk '{sum += $1} END {print sum + 0}'
}

all_owned() {
  local all
  all=$(curl -sf "http://$(admin_address 1)/admin/upstreams" | jq '.upstreams | length')
  [ "$all" -gt 0 ] && [ "$(owned_upstreams)" -eq "$all" ]
}

# Planned stop of the entry daemons, then of the stand-ins. Fails when a process has to be
# killed because it did not stop within the given number of seconds.
stop_all() {
  local limit=$1 pid end status=0
  end=$((SECONDS + limit))
  for pid in "${entry_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${entry_pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.2; done
  done
  for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null && [[ " ${entry_pids[*]} " == *" $pid "* ]]; then
      echo "process $pid did not stop within $limit s" >&2
      status=1
    fi
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
  entry_pids=()
  return "$status"
}

kill_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}
