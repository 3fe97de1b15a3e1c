# Sourced by run.sh of the cases: runs a stand-in that commands routers (see stand_ins/installation.h).
# run_world STAND_IN
run_world() {
  local here root program work verdict=2 router file action argument
  here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
  root="$(cd "$here/../.." && pwd)"
  # The program with its optional parts; the build of the deploy file leaves them out.
  program="$root/review/build/gulltrestle"
  : > "$here/record.txt"
  if [ ! -x "$program" ] || [ ! -x "$root/review/build/$1" ]; then
    echo "could not run: review/build.sh comes first" | tee -a "$here/record.txt"
    return 2
  fi
  work="$(mktemp -d)"
  declare -A pids=()
  for router in r1 r2 r3; do
    "$program" store create "$work/$router.store" --keeper "$router" > /dev/null
  done
  # The start command of deploy/balancer.toml, with the variables of the optional parts.
  start() {
    (
      cd "$root" || exit 2
      [ -e "$work/$1.fleet.json" ] && export GULLTRESTLE_FLEET="$work/$1.fleet.json"
      export BALANCER_CONFIG="$work/$1.json" GULLTRESTLE_EXT_PROC="$work/$1.ext_proc.json"
      GULLTRESTLE_LEVELS=deploy/levels.json exec "$program"
    ) >> "$work/$1.log" 2>&1 &
    pids[$1]=$!
  }
  exec 3< <(exec timeout 100 "$root/review/build/$1" "$work" "${TROUBLE:-1}")
  local world=$!
  while read -r action argument <&3; do
    case "$action" in
      record) echo "$argument" >> "$here/record.txt" ;;
      start) start "$argument" ;;
      kill) kill -KILL "${pids[$argument]}" && wait "${pids[$argument]}" ;;
      end) verdict="$argument" && break ;;
    esac
  done 2> /dev/null
  for router in "${!pids[@]}"; do kill -KILL "${pids[$router]}" && wait "${pids[$router]}"; done 2> /dev/null
  kill -KILL "$world" 2> /dev/null
  exec 3<&-
  for file in "$work"/r?.log; do
    echo "--- log of $(basename "$file" .log)"
    cat "$file"
  done >> "$here/record.txt"
  rm -rf "$work"
  echo "verdict $verdict (1: the rule was broken, 0: it held, 2: the case could not run)" | tee -a "$here/record.txt"
  return "$verdict"
}
