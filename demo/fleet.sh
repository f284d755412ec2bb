# Starts a local fleet with stand-ins for the platform and the backend servers.
# Sourced by demo/run and demo/experiment, which set before fleet_start:
#   document      document to apply, with the ports used in examples/
#   engine_port   first port of the engines in the document
#   booking_port  first port of the booking replicas in the document
#   engines       number of engines
#   engine_options  command-line options of each standin_engine (array)
# CROCUSLATCH_PORT_OFFSET is added to all ports, so that several fleets can run
# on one machine.

routers=3
bookings=3
bin=build
token=demonstration-admin-token
offset=${CROCUSLATCH_PORT_OFFSET:-0}
engine_options=()
state=$(mktemp -d)
pids=()
router_pids=()
# Stops the routers first: during a planned stop they settle bills and return
# grants through the store, and wait for it as long as they can.
stop_all() {
  [ ${#router_pids[@]} -eq 0 ] || kill -TERM "${router_pids[@]}" 2>/dev/null || true
  [ ${#router_pids[@]} -eq 0 ] || wait "${router_pids[@]}" 2>/dev/null || true
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$state"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$state/$name.out" 2>"$state/$name.log" &
  pids+=($!)
}
fail() {
  echo "demo: $*" >&2
  tail -n 5 "$state"/*.log >&2 || true
  exit 1
}
wait_for() { # wait_for SECONDS COMMAND...
  local until=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$until" ] || return 1
    sleep 0.1
  done
}
port() { # port NUMBER: prints the port number plus the offset
  echo $(($1 + offset))
}
shift_ports() { # shift_ports FILE: prints the file with the offset added to its loopback ports
  python3 -c 'import re,sys
offset = int(sys.argv[2])
print(re.sub(r"127\.0\.0\.1:(\d+)", lambda it: "127.0.0.1:%d" % (int(it[1]) + offset),
             open(sys.argv[1]).read()), end="")' "$1" "$offset"
}

start_stand_ins() {
  start store $bin/standin_store --listen "127.0.0.1:$(port 7500)"
  for n in $(seq 0 $((engines - 1))); do
    start "engine-$n" $bin/standin_engine --listen "127.0.0.1:$(port $((engine_port + n)))" \
      "${engine_options[@]}"
  done
  for n in $(seq 0 $((bookings - 1))); do
    start "booking-$n" $bin/standin_service --listen "127.0.0.1:$(port $((booking_port + n)))"
  done
  {
    echo '['
    for n in $(seq 0 $((routers - 1))); do
      [ "$n" -eq 0 ] || echo ','
      echo "{\"name\":\"router-$n\",\"kind\":\"router\",\"address\":\"127.0.0.1:$(port $((7300 + n)))\",\"failure_domain\":\"domain-$n\",\"state\":\"live\"}"
    done
    echo ']'
  } >"$state/hosts.json"
  start hosts $bin/standin_hosts --listen "127.0.0.1:$(port 7501)" --file "$state/hosts.json"
  for it in "$state"/*.out; do
    wait_for 5 grep -q '^listening' "$it" ||
      fail "$(basename "$it" .out) is not listening; check whether its port ($(port 7100) to $(port 7501)," \
        "$(port "$engine_port") to $(port $((booking_port + bookings - 1)))) is in use"
  done
}

start_routers() {
  for n in $(seq 0 $((routers - 1))); do
    cat >"$state/router-$n.toml" <<SETTINGS
[host]
name = "router-$n"
failure_domain = "domain-$n"
[caller]
address = "127.0.0.1"
port = $(port $((7100 + n)))
[admin]
address = "127.0.0.1"
port = $(port $((7200 + n)))
token = "$token"
[peer]
address = "127.0.0.1"
port = $(port $((7300 + n)))
fleet_secret = "demonstration-fleet-secret"
[store]
url = "http://127.0.0.1:$(port 7500)"
[host_list]
url = "http://127.0.0.1:$(port 7501)"
SETTINGS
    start "router-$n" $bin/crocuslatchd --settings "$state/router-$n.toml"
    router_pids+=("${pids[-1]}")
  done
}

fleet_start() {
  start_stand_ins
  start_routers
  shift_ports "$document" >"$state/applied.toml"
  wait_for 10 curl -sf "http://127.0.0.1:$(port 7200)/healthz" || fail "router-0 does not respond"
  $bin/crocuslatch --admin "http://127.0.0.1:$(port 7200)" --token $token apply "$state/applied.toml"
  for n in $(seq 0 $((routers - 1))); do
    wait_for 7 curl -sf "http://127.0.0.1:$(port $((7200 + n)))/readyz" || fail "router-$n is not ready"
  done
  echo "fleet ready: $routers routers, $engines model replicas, $bookings booking replicas"
}
