# Functions of the scripts of cases 11, 13, 14 and 15: a small fleet of gateways (the command of the
# deploy file, with settings as deploy/instance.ini has them) in front of the project's stand-in for
# the store and the engines, or of review/engine-3.c. Sourced by run.sh, which sets CASE to its folder.

ROOT=$(cd "$CASE/../.." && pwd)
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
SITE=127.0.61.100
declare -A PIDS
: > "$RECORD"
cd "$ROOT"

note() { printf '%s %s\n' "$(date +%s.%3N)" "$*" >> "$RECORD"; }
unable() { note "case could not run: $*"; exit 2; }

clean_up() {
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  # KEEP=DIRECTORY keeps the logs of the processes.
  [ -n "${KEEP:-}" ] && cp "$WORK"/*.out "$KEEP"/
  rm -rf "$WORK"
}
trap clean_up EXIT

# Waits until file $1 has a line that begins with $2, at most 10 s.
wait_for_line() {
  for _ in $(seq 200); do
    grep -q "^$2" "$1" 2> /dev/null && return 0
    sleep 0.05
  done
  return 1
}

# start_site MODELS PLAINS PACE_MS: the store, its control port and the servers, on free ports.
start_site() {
  for _ in $(seq 20); do
    BASE=$((21000 + RANDOM % 400 * 25))
    target/standin-site --address "$SITE" --port "$BASE" --models "$1" --plains "$2" --pace-ms "$3" \
      > "$WORK/site.out" 2>&1 &
    PIDS[site]=$!
    wait_for_line "$WORK/site.out" ready && return 0
    kill -KILL "${PIDS[site]}" 2> /dev/null
  done
  unable "the stand-in for the store did not start"
}

# control PATH [BODY]: a call of the control port of the stand-in for the store.
control() { note "control $1"; timeout 5 bash -c "exec 9<>/dev/tcp/$SITE/$((BASE + 1)); printf 'POST %s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s' '$1' ${#2} '$2' >&9; head -n 1 <&9" > /dev/null; }

# The tokens that the servers have given to tenant team-1 so far.
consumed() {
  timeout 5 bash -c "exec 9<>/dev/tcp/$SITE/$((BASE + 1)); printf 'GET /counts HTTP/1.1\r\nHost: c\r\n\r\n' >&9; timeout 1 cat <&9" \
    | tr -d '\0' | grep -o '"consumed":{[^}]*}' | grep -o '"team-1":[0-9]*' | cut -d: -f2
}

VERSION=0
# configure PREPAID: the operator writes a configuration with one tenant.
configure() {
  VERSION=$((VERSION + 1))
  control /configuration "{\"version\":$VERSION,\"routes\":[{\"name\":\"r-stream\",\"host\":\"site.test\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":600,\"service\":\"model\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":false},{\"name\":\"r-resume\",\"host\":\"site.test\",\"pathPrefix\":\"/resume/\",\"kind\":\"streaming\",\"timeoutMs\":8000,\"goalMs\":600,\"service\":\"model\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true},{\"name\":\"r-once\",\"host\":\"site.test\",\"pathPrefix\":\"/once/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\"goalMs\":150,\"service\":\"plain\",\"maxAttempts\":1}],\"services\":[{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConns\":620,\"engine\":{\"slots\":128,\"kvTokens\":558028,\"stride\":6}},{\"name\":\"plain\",\"healthPath\":\"/health\",\"maxConns\":100}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team-1\",\"apiKeys\":[\"key-1\"],\"prepaid\":$1}]}"
}

# start_gateway I: gateway I, with the settings that the platform fills in.
start_gateway() {
  local ip=127.0.61.$1
  cat > "$WORK/instance-$1.ini" << END
[instance]
name = front-lahore-a-$1
data_centre = zone-1
[listen]
address = $ip
entry = $ip:$((BASE + 18))
ready = $ip:$((BASE + 19))
peer_port = $((BASE + 20))
[store]
address = $SITE:$BASE
[retries]
ratio = 0.2
extra = 54
window_s = 10
[limits]
link_mbps = 1000.0
memory_mb = 110
descriptors = 4100
[prompts]
part_memory_s = 7.2
[backends]
leave_ms = 2000
[callers]
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform
[stop]
limit_s = 8
END
  SAPPHIRERUN_NODE_FILE=$WORK/instance-$1.ini target/sapphirerun serve >> "$WORK/gateway-$1.out" 2>&1 &
  PIDS[gateway$1]=$!
  note "gateway $1 started"
}

wait_ready() {
  for _ in $(seq 200); do
    timeout 2 bash -c "exec 9<>/dev/tcp/127.0.61.$1/$((BASE + 19)); printf 'GET /ready HTTP/1.1\r\nHost: r\r\n\r\n' >&9; head -n 1 <&9" 2> /dev/null | grep -q 200 && return 0
    sleep 0.05
  done
  unable "gateway $1 is not ready"
}

COUNT=0
# stream GATEWAY INPUT OUTPUT: one request of tenant team-1 on a model route; notes its status and the
# number of events that the client got, and sets STATUS.
stream() {
  COUNT=$((COUNT + 1))
  local id answer
  id=$(printf "%08x" "$COUNT")
  answer=$(timeout 10 bash -c "exec 9<>/dev/tcp/127.0.61.$1/$((BASE + 18)); printf 'POST /stream/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: $id\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token key-1\r\nX-Model: m\r\nX-Token-Counts: $2,$3\r\nX-Prompt-Prefix: 5c1e:$2\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody' >&9; cat <&9" 2> /dev/null | tr -d '\0\r')
  STATUS=$(printf '%s\n' "$answer" | head -n 1 | cut -d' ' -f2)
  note "request $id to gateway $1 tokens $2,$3 status ${STATUS:-none} events $(printf '%s\n' "$answer" | grep -c '^id: ')"
}

# The tenant uses up its budget: requests at gateway 2, and at gateway 1 after a refusal, until twelve
# in a row are refused.
use_up_budget() {
  local refused=0 gateway=2
  for _ in $(seq 400); do
    stream $gateway 1000 60
    if [ "$STATUS" = 200 ]; then
      refused=0
    else
      refused=$((refused + 1))
      gateway=$((3 - gateway))
      sleep 0.3
    fi
    [ $refused -ge 12 ] && break
  done
}

# start_engine I [MODE]: engine I of service "model" (review/engine-3.c), with its entry in the store.
start_engine() {
  local spec
  target/review-engine-3 "$SITE" $((BASE + 5 + $1)) "e-$1" "${2:-}" > "$WORK/engine-$1.out" 2>&1 &
  PIDS[engine$1]=$!
  wait_for_line "$WORK/engine-$1.out" ready || unable "engine $1 did not start"
  spec="{\"metadata\":{\"name\":\"e-$1\"},\"spec\":{\"service\":\"model\",\"address\":\"$SITE:$((BASE + 5 + $1))\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1000}}"
  timeout 5 bash -c "exec 9<>/dev/tcp/$SITE/$BASE; printf 'POST /objects/servers HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s' ${#spec} '$spec' >&9; head -n 1 <&9" | grep -q 200 \
    || unable "the entry of engine $1 was not written"
}

# exchange GATEWAY SECONDS BYTES: sends BYTES (as printf has them) on one connection, and prints what
# the gateway answers until it closes or SECONDS have passed.
exchange() {
  timeout "$2" bash -c "exec 9<>/dev/tcp/127.0.61.$1/$((BASE + 18)); printf '$3' >&9; cat <&9" 2> /dev/null | tr -d '\0'
}
