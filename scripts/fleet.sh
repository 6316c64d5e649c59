# Functions shared by the scripts: they start and stop processes on loopback, wait for conditions, and start the be-fl
# test fleet. A script must set `base`, the first port that it uses, before it sources this file.

bin="${CARGO_TARGET_DIR:-target}/release"
work=$(mktemp -d)
standin_pids=()
carobwick_pids=()
declare -A pid_of # process ids by process name, such as planner-0-1 or engine-2-0

require() { # tool; installs it with apt-get if it is missing
  command -v "$1" >/dev/null && return
  echo "installing $1"
  apt-get update -qq && apt-get install -y -qq "$1" >/dev/null
}

build() {
  command -v cargo >/dev/null || { echo "cargo not found: install the Rust toolchain first" >&2; exit 1; }
  require curl
  cargo build --release --workspace --bins --locked
}

address() { echo "127.0.0.1:$((base + $1))"; }

join() { local IFS=,; echo "$*"; }

start_standin() { "$bin/$1" "${@:2}" >"$work/$1-${#standin_pids[@]}.log" 2>&1 & standin_pids+=($!); }

start_carobwick() { "$bin/$1" "${@:2}" >"$work/$1-${#carobwick_pids[@]}.log" 2>&1 & carobwick_pids+=($!); }

# Stops the carobwick processes before the stand-ins, so that requests in flight can still reach their endpoints.
stop_all() {
  local pid failed=0
  for pid in "${carobwick_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${carobwick_pids[@]}"; do wait "$pid" || { echo "process $pid exited with status $?" >&2; failed=1; }; done
  for pid in "${standin_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  carobwick_pids=()
  standin_pids=()
  return $failed
}

cleanup() {
  local status=$?
  stop_all || status=1
  if [ "$status" -ne 0 ]; then
    echo "the script failed; last log lines of each process:" >&2
    tail -n 5 "$work"/*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}

wait_for() { # description, command; waits up to 60 s until the command succeeds
  local end=$((SECONDS + 60))
  until "${@:2}" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "timed out after 60 s: $1" >&2; exit 1; }
    sleep 0.2
  done
}

is_reachable() { curl -fsS --max-time 2 "$1"; }

listed_entry() { # id, zone, callers, peer
  echo "{\"id\":\"$1\",\"zone\":\"$2\",\"kind\":\"entry\",\"addr\":\"$3\",\"peer\":\"$4\",\"state\":\"live\"}"
}

listed_endpoint() { # id, zone, service, address
  echo "{\"id\":\"$1\",\"zone\":\"$2\",\"kind\":\"endpoint\",\"service\":\"$3\",\"addr\":\"$4\",\"state\":\"live\"}"
}

chat_body() { # model, stream
  echo "{\"model\":\"$1\",\"stream\":$2,\"max_tokens\":8,\"messages\":[{\"role\":\"system\",\"content\":\"Workshop manual: strip, reseason, return.\"},{\"role\":\"user\",\"content\":\"How long does seasoning take?\"}]}"
}

send_chat() { # address for callers, stream, caller, model
  curl -sS --max-time 30 "http://$1/v1/chat/completions" -H 'content-type: application/json' \
    -H "carobwick-caller: $3" -d "$(chat_body "$4" "$2")"
  echo
}

responds() { send_chat "$1" false check "$2" | grep -q '"finish_reason"'; }

# A smaller fleet for the be-fl manifest: three zones, each with two entry instances, two engines and one plain service.

zones=(fl-gent fl-brugge fl-kortrijk)

callers_of() { address $((300 + 10 * $1 + $2)); } # zone, instance

start_planner() { # zone, instance
  local next=$((($1 + 1) % 3))
  start_carobwick carobwick-planner --instance "${zones[$1]}-entry-$2" --zone "${zones[$1]}" \
    --peer "$(address $((500 + 10 * $1 + $2)))" --operators "$(address $((600 + 10 * $1 + $2)))" \
    --key-value "http://$(address 1)" --instances "http://$(address 2)" \
    --seeds "$(address $((500 + 10 * $1 + 1 - $2)))" --seeds "$(address $((500 + 10 * next + $2)))"
  pid_of[planner-$1-$2]=${carobwick_pids[-1]}
}

start_entry() { # zone, instance
  start_carobwick carobwick-entry --instance "${zones[$1]}-entry-$2" --zone "${zones[$1]}" \
    --callers "$(callers_of "$1" "$2")" --operators "$(address $((400 + 10 * $1 + $2)))" \
    --planner "$(address $((500 + 10 * $1 + $2)))" --fallback "$(address $((500 + 10 * $1 + 1 - $2)))" \
    --key-value "http://$(address 1)"
  pid_of[entry-$1-$2]=${carobwick_pids[-1]}
}

start_engine() { # zone, engine, additional flags
  start_standin standin-engine --addr "$(address $((100 + 10 * $1 + $2)))" --endpoint "${zones[$1]}-engine-$2" \
    --service smid-llm --memory 80000000000 --slots 32 --weights "http://$(address 3)" "${@:3}"
  pid_of[engine-$1-$2]=${standin_pids[-1]}
}

start_fleet() { # additional flags for the engines
  local z i rows=()
  for z in 0 1 2; do
    for i in 0 1; do
      rows+=("$(listed_entry "${zones[z]}-entry-$i" "${zones[z]}" "$(callers_of $z $i)" "$(address $((500 + 10 * z + i)))")")
      rows+=("$(listed_endpoint "${zones[z]}-engine-$i" "${zones[z]}" smid-llm "$(address $((100 + 10 * z + i)))")")
    done
    rows+=("$(listed_endpoint "${zones[z]}-balie" "${zones[z]}" balie "$(address $((200 + z)))")")
  done
  echo "[$(join "${rows[@]}")]" >"$work/instances.json"
  start_standin standin-kv --addr "$(address 1)"
  start_standin standin-instances --addr "$(address 2)" --file "$work/instances.json"
  start_standin standin-weights --addr "$(address 3)" --rate "${STORE_RATE:-1.5}" --concurrent 2 --adapter-concurrent 16
  for z in 0 1 2; do
    for i in 0 1; do start_engine $z $i "$@"; done
    start_standin standin-service --addr "$(address $((200 + z)))" --endpoint "${zones[z]}-balie" --service balie
  done
  operators=()
  for z in 0 1 2; do
    for i in 0 1; do
      start_planner $z $i
      start_entry $z $i
      operators+=("http://$(address $((600 + 10 * z + i)))" "http://$(address $((400 + 10 * z + i)))")
    done
  done
  wait_for "planner responds" is_reachable "${operators[0]}/healthz"
}

cli() { "$bin/carobwick" --operators "$(join "${operators[@]}")" "$@"; }

wait_until_ready() {
  local z i
  for z in 0 1 2; do
    for i in 0 1; do wait_for "${zones[z]}-entry-$i is ready" is_reachable "http://$(callers_of $z $i)/readyz"; done
  done
}
