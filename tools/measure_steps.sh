# Scenarios of tools/measure. Sourced there; needs the functions of tools/deployment.sh.

# Prints one measure, with its target and whether it is met when it has one.
# Usage: report POLICY KEY VALUE [at_least|at_most TARGET]
report() {
  local line="deployment=$deployment policy=$1 $2=$3"
  if [ "$#" -gt 3 ] && [ "$3" != none ]; then
    line+=" target=$4:$5 met=$(awk -v v="$3" -v t="$5" -v op="$4" 'BEGIN {print ((op == "at_least") ? v >= t : v <= t) ? "yes" : "no"}')"
  fi
  echo "$line"
}

# Value of a key in the report of a run.
value() { awk -F= -v key="$2" '$1 == key {print $2; found = 1} END {if (!found) print 0}' "$RUN/$1.txt"; }

now_s() { date +%s.%N; }
calculate() { awk "BEGIN {print ($1)}"; }
control() { curl -sf -X POST "http://127.0.0.1:$first_upstream/control" -d "$1" > /dev/null; }

# Runs the load tool. The reports and failures are in files named after the run.
# Usage: load_run NAME POLICY SHARE SECONDS WARM_UP SEED
load_run() {
  local hosts_arguments=() number
  for number in $(seq "$hosts"); do hosts_arguments+=(--host "$(caller_address "$number")"); done
  "$BUILD/gdload" --policy "$2" --sheet "examples/$deployment/sheet.csv" \
    --upstreams "examples/standins/${deployment}_upstreams.json" "${hosts_arguments[@]}" \
    --load "$3" --seconds "$4" --warm-up "$5" --seed "$6" --run "$1" \
    --failures "$RUN/$1.failures" > "$RUN/$1.txt" 2> "$RUN/$1.err"
}

# Starts a load run in the background and waits until its counted time begins.
begin_load_run() {
  load_run "$@" &
  load_pid=$!
  wait_for 60 grep -q measuring "$RUN/$1.err"
}

end_load_run() { wait "$load_pid"; }

# Counts that have to be zero in every run.
report_counts() {
  local policy=$1 key run total
  shift
  for key in cold_limit_exceeded doubled lost wrong_caller false_not_run; do
    total=0
    for run in "$@"; do total=$((total + $(value "$run" "$key"))); done
    report "$policy" "$key" "$total" at_most 0
    for run in "$@"; do
      [ "$(value "$run" "$key")" = 0 ] || report "$policy" "${key}_in_$run" "$(value "$run" "$key")"
    done
  done
}

# Goodput of all pipelines, and of those that need the pool that limits the capacity. The
# others still have room at twice the capacity, so that their goodput hides a collapse.
report_goodput() {
  local policy=$1 key share best good
  for key in goodput_per_s slowest_pool_goodput_per_s; do
    best=0
    for share in 0.7 "${goodput_loads[@]}"; do
      good=$(value "${policy}_$share" "$key")
      report "$policy" "${key}_at_$share" "$good"
      best=$(calculate "$good > $best ? $good : $best")
    done
    report "$policy" "${key%_per_s}_ratio_at_2x_load" "$(calculate "$(value "${policy}_2.0" "$key") / $best")" at_least 0.95
  done
  report "$policy" wasted_share "$(value "${policy}_2.0" wasted_share)" at_most 0.03
}

report_costs() {
  local line
  grep '^cost_' "$RUN/$1_0.7.txt" | while read -r line; do report "$1" "${line%%=*}" "${line#*=}"; done
}

# Loads that both policies carry: steady, and up to twice the capacity. The upstreams are
# cold at the start, so that the steady load has a long warm-up.
measure_loads() {
  local policy=$1 share
  load_run "${policy}_0.7" "$policy" 0.7 "$steady_s" "$steady_warm_up_s" 1
  report "$policy" capacity_per_s "$(value "${policy}_0.7" capacity_per_s)"
  report "$policy" attainment "$(value "${policy}_0.7" attainment)" at_least 0.999
  report_costs "$policy"
  for share in "${goodput_loads[@]}"; do load_run "${policy}_$share" "$policy" "$share" "$goodput_s" 2 2; done
  report_goodput "$policy"
}

# At 0.7 of the capacity an upstream freezes and another turns cold; with the product, an
# entry host is killed too.
measure_faults() {
  local policy=$1
  begin_load_run "${policy}_faults" "$policy" 0.7 "$faults_s" 4 3
  if [ "$policy" = product ]; then
    kill -KILL "${entry_pids[2]}"
    forget_process "${entry_pids[2]}"
    unset "entry_pids[2]"
  fi
  control '{"upstream": "llm-01", "fault": "freeze"}'
  control '{"upstream": "llm-02", "fault": "cold", "restart": true}'
  end_load_run
  control '{"upstream": "llm-01", "fault": "none"}'
  report "$policy" attainment_under_faults "$(value "${policy}_faults" attainment)" at_least 0.99
}

start_upstreams_alone() {
  declare -gA entry_pids
  start_program upstreams "$BUILD/gd_standin_upstream" --settings "examples/standins/${deployment}_upstreams.json"
  wait_for 10 curl -sf "http://127.0.0.1:$first_upstream/v1/stats"
}

# Upstream calls without the system at a tenth of the capacity, for added_ms.
measure_direct() {
  start_upstreams_alone
  load_run direct direct 0.1 "$unloaded_s" 4 4
  stop_all 1
}

measure_baseline() {
  start_upstreams_alone
  measure_loads baseline
  measure_faults baseline
  report_counts baseline baseline_0.7 "${goodput_loads[@]/#/baseline_}" baseline_faults
  stop_all 1
}

# Time of an answer beyond the time of its upstream calls, less the same time of direct
# calls. The same arrivals are sent in both runs.
measure_added() {
  local rank target
  load_run unloaded product 0.1 "$unloaded_s" 4 4
  for rank in p50:1 p99:5; do
    target=${rank#*:}
    rank=${rank%:*}
    report product "added_ms_$rank" "$(calculate "$(value unloaded "overhead_ms_$rank") - $(value direct "overhead_ms_$rank")")" at_most "$target"
    report product "overhead_ms_${rank}_of_product" "$(value unloaded "overhead_ms_$rank")"
    report product "overhead_ms_${rank}_of_direct" "$(value direct "overhead_ms_$rank")"
  done
  report product added_ms_samples "$(value unloaded overhead_samples)"
}

ctl() {
  local arguments=() number
  for number in $(seq "$hosts"); do arguments+=(--host "$(admin_address "$number")"); done
  "$BUILD/gdctl" "${arguments[@]}" --operator measure "$@"
}

# Highest configuration version that each host has shown, and decreases. A host that is
# being replaced is not asked.
watch_versions() {
  local -A highest
  local number version
  while [ ! -e "$RUN/stop_watching" ]; do
    for number in $(seq "$hosts"); do
      version=$(curl -sf -m 1 "http://$(admin_address "$number")/admin/config" | jq -r 'select(.ready) | .version' 2> /dev/null) || continue
      [ -n "$version" ] || continue
      if [ "$version" -lt "${highest[$number]:-0}" ]; then echo "host=entry-$number from=${highest[$number]} to=$version at=$(now_s)"; fi
      highest[$number]=$version
    done
    sleep 0.2
  done > "$RUN/reverted.txt"
}

# Whether all hosts that answer have a state of the configuration, given as a jq filter.
all_hosts_have() {
  local number answer
  for number in $(seq "$hosts"); do
    answer=$(curl -sf -m 1 "http://$(admin_address "$number")/admin/config") || continue
    [ "$(jq "$1" <<< "$answer")" = true ] || return 1
  done
}

# Waits until a state is in force on all hosts and notes the time since the operator sent
# the change, which includes its acceptance. Usage: note_in_force FILTER SECONDS_OF_CHANGE
note_in_force() {
  local end=$((SECONDS + 20))
  until all_hosts_have "$1"; do
    [ "$SECONDS" -lt "$end" ] || { echo "not in force within 20 s: $1" >&2; break; }
    sleep 0.05
  done
  calculate "$(now_s) - $2" >> "$RUN/in_force.txt"
}

change_data_centre() {
  local state=$1 accepted
  accepted=$(now_s)
  changed_at=$accepted
  ctl data-centre "$state" "$gone" > "$RUN/dc_$state.out" 2>&1 || echo "data-centre $state $gone failed: $(tail -1 "$RUN/dc_$state.out")" >&2
  note_in_force "[.config.data_centres[] | select(.id == \"$gone\") | .state] == [\"$state\"]" "$accepted"
}

change_weights() {
  local weight accepted workspace
  workspace=$(awk -F, '$1 == "workspace" {print $2; exit}' "examples/$deployment/sheet.csv")
  for weight in 3 5 2; do
    accepted=$(now_s)
    ctl change workspace "$workspace" weight "$weight" > "$RUN/weight.out" 2>&1 || echo "change of weight failed: $(tail -1 "$RUN/weight.out")" >&2
    note_in_force "[.config.workspaces[] | select(.id == \"$workspace\") | .weight] == [$weight]" "$accepted"
  done
}

# Reaps a process that has ended, so that its id is not used again.
forget_process() {
  local pid kept=()
  wait "$1" 2> /dev/null || true
  for pid in "${pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  pids=("${kept[@]}")
}

upstreams_of() {
  curl -sf "http://$(admin_address 1)/admin/upstreams" | jq -r --arg dc "$1" '.upstreams[] | select(.data_centre == $dc) | .id'
}

# Seconds from the change to the last call that an upstream of the data centre received.
last_new_work_s() {
  local wanted now
  wanted=$(upstreams_of "$gone" | jq -R . | jq -s .)
  now=$(now_s)
  curl -sf "http://127.0.0.1:$first_upstream/v1/stats?all=1" |
    jq --argjson ids "$wanted" --argjson now "$now" --argjson at "$changed_at" \
      '[.stats[] | select(.id as $id | $ids | index($id)) | $now - .since_last_call_ms / 1000 - $at] | max'
}

measure_data_centre() {
  local upstream
  gone=${data_centres[1]}
  begin_load_run product_dc_leave product 0.6 "$window_s" 3 5
  change_data_centre out
  end_load_run
  report product dc_leave_attainment "$(value product_dc_leave attainment)" at_least 0.995
  report product dc_leave_last_new_work_s "$(last_new_work_s)" at_most 3
  for upstream in $(upstreams_of "$gone"); do control "{\"upstream\": \"$upstream\", \"fault\": \"cold\", \"restart\": true}"; done
  begin_load_run product_dc_return product 0.6 "$window_s" 3 6
  change_data_centre in
  end_load_run
  report product dc_return_attainment "$(value product_dc_return attainment)" at_least 0.995
  report product dc_return_cold_limit_exceeded "$(value product_dc_return cold_limit_exceeded)" at_most 0
}

# Stops the given hosts as planned, waits until they have ended and starts them again.
replace_hosts() {
  local number end=$((SECONDS + 60))
  for number in "$@"; do kill -TERM "${entry_pids[$number]}"; done
  for number in "$@"; do
    while kill -0 "${entry_pids[$number]}" 2> /dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.1; done
    if kill -0 "${entry_pids[$number]}" 2> /dev/null; then
      echo "entry-$number did not stop within 60 s" >&2
      kill -KILL "${entry_pids[$number]}"
    fi
    forget_process "${entry_pids[$number]}"
    start_entry "$number"
  done
  for number in "$@"; do wait_for 20 is_ready "$number"; done
}

# Replaces all hosts, a group at a time, under load until the last one is ready. The load
# runs for a fixed time that covers the stops: 17 s for each group.
measure_rolling_stop() {
  local group numbers
  begin_load_run product_rolling_stop product 0.6 $((stop_groups * 17)) 3 7
  for group in $(seq 0 $((stop_groups - 1))); do
    numbers=$(seq "$hosts" | awk -v g="$group" -v n="$stop_groups" '($1 - 1) % n == g')
    # shellcheck disable=SC2086
    replace_hosts $numbers
  done
  end_load_run
  report product rolling_stop_groups "$stop_groups"
  report product rolling_stop_attainment "$(value product_rolling_stop attainment)" at_least 0.995
  report product rolling_stop_cut "$(value product_rolling_stop cut)" at_most 0
  report product rolling_stop_connect_failed "$(value product_rolling_stop connect_failed)"
}

start_product() {
  local number
  start_standins
  start_entries
  for number in $(seq "$hosts"); do wait_for 30 is_healthy "$number"; done
  ctl import "examples/$deployment/sheet.csv" > "$RUN/import.out" 2>&1
  for number in $(seq "$hosts"); do wait_for 30 is_ready "$number"; done
  wait_for 60 all_owned
}

save_metrics() {
  local number
  for number in $(seq "$hosts"); do curl -s -m 2 "http://$(admin_address "$number")/metrics" > "$RUN/metrics-$number-$1.txt" || true; done
}

measure_product() {
  rm -f "$RUN/stop_watching" "$RUN/in_force.txt"
  start_product
  watch_versions &
  watch_pid=$!
  measure_loads product
  measure_added
  measure_data_centre
  change_weights
  save_metrics before_stops
  measure_rolling_stop
  measure_faults product
  save_metrics end
  touch "$RUN/stop_watching"
  wait "$watch_pid"
  report product config_in_force_s_max "$(sort -g "$RUN/in_force.txt" | tail -1)" at_most 3
  report product config_reverted "$(wc -l < "$RUN/reverted.txt")" at_most 0
  report_counts product product_0.7 "${goodput_loads[@]/#/product_}" unloaded product_dc_leave product_dc_return product_rolling_stop product_faults
  stop_all 60 || true
}
