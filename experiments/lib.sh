# Library for experiments: start_system starts simulated runners, the simulated
# platform and nodes on loopback addresses. The sourcing script sets DATA_CENTERS;
# NODES, DOMAINS and REPLICAS per data centre; VMS per domain; REPLICA_VMS and TEAMS
# (names, also used as credentials); and optionally RUNNER_ARGS, SETTINGS (further
# settings as JSON with a leading comma), TEAM_LIMITS (likewise, for each team) and
# MAX_IN_FLIGHT.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/marjorammoor ./cmd/standin
work=$(mktemp -d)
pids=()
declare -A node_pid
finish() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

start_system() {
  local d n v i vms="" peers="" counts="" domain
  for d in $(seq "$DATA_CENTERS"); do
    counts+="${counts:+, }\"dc$d\": $REPLICAS"
    for n in $(seq "$NODES"); do peers+="${peers:+, }\"127.0.$((20 + d)).$n:7900\""; done
    i=0
    for domain in $(seq "$DOMAINS"); do
      for v in $(seq "$VMS"); do
        i=$((i + 1))
        vms+="${vms:+, }{\"name\": \"dc$d-vm$i\", \"address\": \"127.0.$((40 + d)).$i:9000\", \"data_center\": \"dc$d\", \"domain\": \"d$domain\", \"pool\": \"press\", \"role\": \"runner\"}"
      done
    done
  done
  echo "[$vms]" >"$work/vms.json"
  bin/standin platform --address 127.0.20.1:7000 --vms "$work/vms.json" &
  pids+=($!)
  for d in $(seq "$DATA_CENTERS"); do
    for v in $(seq $((DOMAINS * VMS))); do
      # shellcheck disable=SC2086
      bin/standin runner --vm "dc$d-vm$v" --address "127.0.$((40 + d)).$v:9000" --checks-fencing ${RUNNER_ARGS:-} &
      pids+=($!)
    done
    for n in $(seq "$NODES"); do
      local ip="127.0.$((20 + d)).$n"
      echo "{\"name\": \"dc$d-n$n\", \"data_center\": \"dc$d\", \"caller_address\": \"$ip:8080\", \"peer_address\": \"$ip:7900\",
        \"admin_address\": \"$ip:9901\", \"platform_url\": \"http://127.0.20.1:7000\", \"peer_token\": \"x\", \"peers\": [$peers],
        \"log_level\": \"error\" ${SETTINGS:-}}" >"$work/dc$d-n$n.json"
      bin/marjorammoor serve --settings "$work/dc$d-n$n.json" 2>>"$work/nodes.log" &
      pids+=($!)
      node_pid[$d-$n]=$!
    done
  done
  local objects="" t
  for t in $TEAMS; do
    objects+="{\"kind\": \"team\", \"name\": \"$t\", \"body\": {\"credential_hashes\": [\"$(hash_of "$t")\"] ${TEAM_LIMITS:-}}},"
  done
  objects+="{\"kind\": \"pool\", \"name\": \"press\", \"body\": {\"checks_fencing\": true}},
    {\"kind\": \"deployment\", \"name\": \"mat\", \"body\": {\"type\": \"model\", \"pool\": \"press\", \"model\": \"mat\", \"replica_vms\": $REPLICA_VMS,
      \"replicas\": {$counts}, \"max_in_flight\": ${MAX_IN_FLIGHT:-32}, \"idempotent\": true, \"weights\": {\"group_downtime\": 10, \"stranded_accelerators\": 1}}}"
  echo "[$objects]" >"$work/objects.json"
  local admin="127.0.21.1:9901"
  for _ in $(seq 100); do bin/marjorammoor status --admin $admin >/dev/null 2>&1 && break; sleep 0.1; done
  bin/marjorammoor apply --admin $admin --file "$work/objects.json" >/dev/null
  for d in $(seq "$DATA_CENTERS"); do
    for _ in $(seq 600); do
      bin/marjorammoor status --admin "127.0.$((20 + d)).1:9901" | grep -q "serving=$REPLICAS " && break
      sleep 0.1
    done
  done
  sleep 2
}

# metric ADDRESS NAME: prints the sum of all series that start with NAME.
metric() { curl -s "http://$1/metrics" | awk -v n="$2" 'index($1, n) == 1 {s += $NF} END {printf "%.3f\n", s}'; }
