# What each run.sh does: `play CASE` plays a case in the folder of that script. Exit: 0 held, 1 broken, 2 could not run.
play() {
  local here root status=0
  here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
  root=$(cd "$here/../.." && pwd)
  [ -x "$root/target/review-2/rig" ] && [ -x "$root/target/release/gradeshunt" ] || { echo "build first"; exit 2; }
  RIG_FOLDER=$(mktemp -d) || exit 2
  export RIG_FOLDER
  timeout -k 2 118 "$root/target/review-2/rig" "$1" "$root" "$here/record.txt" || status=$?
  [ -n "${KEEP:-}" ] && echo "kept $RIG_FOLDER" || rm -rf "$RIG_FOLDER"
  case $status in 0|1) exit $status ;; *) exit 2 ;; esac
}
