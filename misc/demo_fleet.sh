# Functions that run a deployment of examples/ on loopback, for misc/demo. An
# address 10.X.Y.Z of the example becomes 127.X.Y.Z.

folder=""
pids=()
names=()
entries=()
replicas=()

fail() {
  echo "demo: failed: $*" >&2
  exit 1
}

now_ms() { date +%s%3N; }

# wait_for SECONDS TEXT COMMAND...: repeats the command until it succeeds; fails
# with TEXT after the timeout.
wait_for() {
  local latest=$(($(now_ms) + $1 * 1000)) text="$2"
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$(now_ms)" -lt "$latest" ] || fail "timed out waiting for $text"
    sleep 0.05
  done
}

# start NAME PROGRAM ARGUMENTS...: starts a background process that logs to
# $folder/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
  started+=("$name")
}

# settings_of ROLE NAME ZONE IP: prints the settings file of a process.
settings_of() {
  printf '[process]\nrole = %s\nname = %s\nzone = %s\n' "$1" "$2" "$3"
  printf '[network]\nhttp = %s:7480\npeer = %s:7400\n' "$4" "$4"
  printf 'platform = %s\n' "$platform"
  if [ "$1" = agent ]; then
    printf 'backend = %s:8000\n' "$4"
  fi
  printf '[times]\nclock_error_ms = 50\n'
}

# start_fleet DEPLOYMENT DISTANCE_US: starts the fakes, the agents and two
# entries. DISTANCE_US is the one-way delay between availability zones.
start_fleet() {
  local manifest="examples/$1/manifest.ini" distance="$2"
  folder=$(mktemp -d)
  pids=() started=() names=() entries=() replicas=()
  sed 's/ 10\.\([0-9.]*:[0-9]*\)/ 127.\1/' "$manifest" >"$folder/manifest.ini"
  build/gypsumstream check "$folder/manifest.ini" >/dev/null
  local name zone address ip backends=()
  local net first_zone=""
  while read -r name _ zone address; do
    ip="${address%:*}"
    replicas+=("$name $zone $ip")
    backends+=("$ip:8000")
    first_zone="${first_zone:-$zone}"
  done < <(grep -E '^[^#]+ = [^ ]+ 127\.' "$folder/manifest.ini")
  net=$(cut -d. -f1,2 <<<"${backends[0]}")
  platform="$net.1.1:8500"
  start platform build/tests/gypsum_fakes platform "$platform"
  start backends build/tests/gypsum_fakes backends "${backends[@]}"
  wait_for 20 "the platform" curl -sf "http://$platform/control/calls"
  curl -sf --data-binary "@$folder/manifest.ini" -o "$folder/published" \
    "http://$platform/control/publish?revision=1" ||
    fail "could not publish the manifest"
  for replica in "${replicas[@]}"; do
    read -r name zone ip <<<"$replica"
    wait_for 20 "backend server $name" \
      curl -sf "http://$ip:8000/control/executions"
    if [ "$zone" != "$first_zone" ]; then
      curl -sf "http://$ip:8000/control/set?distance_us=$distance"
    fi
    settings_of agent "$name" "$zone" "$ip" >"$folder/$name.ini"
    start "$name" build/gypsumstream agent "$folder/$name.ini"
  done
  for number in 2 3; do
    name="$first_zone-entry-$((number - 1))"
    settings_of entry "$name" "$first_zone" "$net.1.$number" \
      >"$folder/$name.ini"
    start "$name" build/gypsumstream entry "$folder/$name.ini"
    names+=("$name")
    entries+=("$net.1.$number:7480")
  done
  for entry in "${entries[@]}"; do
    wait_for 30 "live members at $entry" are_members_live "$entry"
  done
  # An owner executes only keys that were certainly made after its start, in
  # spite of clock errors.
  local newest
  newest=$(($(now_ms) + 100))
  wait_for 5 "keys made after the start of the owners" is_later_than "$newest"
}

is_later_than() { [ "$(now_ms)" -gt "$1" ]; }

# are_members_live ENTRY: all members that the entry lists are live, and every
# service has at least one.
are_members_live() {
  local dump replica
  dump=$(build/gypsumstream dump "$1")
  [ "$(grep -c ' state: "' <<<"$dump")" -eq \
    "$(grep -c ' state: "live"' <<<"$dump")" ] || return 1
  for replica in "${replicas[@]}"; do
    replica="${replica%% *}"
    grep -q "^ *${replica%-*}-[0-9]*:" <<<"$dump" || return 1
  done
}

# Prints a UUIDv7 of the current time.
fresh_key() {
  local time random
  time=$(printf '%012x' "$(now_ms)")
  random=$(tr -d - </proc/sys/kernel/random/uuid)
  echo "${time:0:8}-${time:8:4}-7${random:13:3}-8${random:17:3}-${random:20:12}"
}

# post ENTRY CUSTOMER PIPELINE KEY BODY: sends a request; stores the response in
# $folder/head and $folder/body.
post() {
  curl -s -D "$folder/head" -o "$folder/body" --max-time 20 \
    -H "Gypsum-Customer: $2" -H "Idempotency-Key: $4" --data-binary "$5" \
    "http://$1/v1/pipelines/$3" || fail "no response from $1 for $3"
}

# header NAME: prints the value of a header of the last response.
header() {
  sed -n "s/^$1: *\(.*[^\r]\)\r*$/\1/Ip" "$folder/head" | head -n 1
}

# ask ENTRY CUSTOMER PIPELINE BODY [KEY]: sends a request and prints the
# response; fails unless the outcome is complete.
ask() {
  local key="${5:-$(fresh_key)}" began
  began=$(now_ms)
  post "$1" "$2" "$3" "$key" "$4"
  echo "$3 ($2, $(($(now_ms) - began)) ms): $(header Gypsum-Outcome):" \
    "$(cat "$folder/body")"
  [ "$(header Gypsum-Outcome)" = complete ] ||
    fail "$3: expected complete, got $(header Gypsum-Outcome)"
}

# ask_twice CUSTOMER PIPELINE BODY SERVICE: sends a request with the same key to
# both entries; fails unless the backend servers of the service executed it
# once.
ask_twice() {
  local key count=0 name zone ip first
  key=$(fresh_key)
  ask "${entries[0]}" "$1" "$2" "$3" "$key"
  first=$(cat "$folder/body")
  ask "${entries[1]}" "$1" "$2" "$3" "$key"
  [ "$(cat "$folder/body")" = "$first" ] ||
    fail "$2: expected the same response from both entries"
  for replica in "${replicas[@]}"; do
    read -r name zone ip <<<"$replica"
    if [[ "$name" == "$4"-* ]]; then
      count=$((count + $(curl -sf "http://$ip:8000/control/executions" |
        awk -v "key=$key" 'index($0, key) && /(confirm|issue|book|charge) / {
          sum += $NF } END { print sum + 0 }')))
    fi
  done
  [ "$count" -eq 1 ] || fail "$2: expected one execution, got $count"
  echo "$2: asked twice with one key, executed once"
}

# expect_refusal ENTRY CUSTOMER ERROR PIPELINE: sends a request; fails unless it
# is refused as not-run with that error.
expect_refusal() {
  post "$1" "$2" "$4" "$(fresh_key)" "x"
  echo "refused as $(header Gypsum-Outcome): $(cat "$folder/body")"
  [ "$(header Gypsum-Outcome) $(header Gypsum-Error)" = "not-run $3" ] ||
    fail "expected not-run $3, got $(header Gypsum-Outcome) $(header Gypsum-Error)"
}

# Filters a dump: keeps the first three members of each list.
shorten_dump() {
  awk '/^    [^ ].*:$/ { member++ } /^  [^ ]/ || /^[^ ]/ { member = 0 }
       member <= 3'
}

# Stops the entries, the agents and the fakes in this order; each must exit with
# code 0.
stop_fleet() {
  local index code
  # Ends the pending watch requests, which would delay the exit of the platform.
  curl -sf "http://$platform/control/fail?status=503"
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    kill -TERM "${pids[$index]}"
    code=0
    wait "${pids[$index]}" || code=$?
    if [ "$code" -ne 0 ]; then
      tail -n 5 "$folder/${started[$index]}.log" >&2
      fail "${started[$index]} exited with $code"
    fi
    unset "pids[$index]"
  done
  pids=()
  rm -rf "$folder"
  folder=""
}

# Kills the processes of this run that still exist after a failure.
stop_at_exit() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  if [ -n "$folder" ]; then
    echo "logs kept in $folder" >&2
  fi
}
