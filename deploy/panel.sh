#!/usr/bin/env bash
# Plays a fixed panel of days, the same seeds each time, without processor time, and prints one line a
# day: site, day, seed, worth, share served. Two runs are compared line by line.
#
# panel.sh BENCH SITES WHY [JOBS]
#   BENCH  the users' bench
#   SITES  the folder with their site files
#   WHY    what the run is for
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2 why=$3 jobs=${4:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

tours=further/bermejo-giras.toml
tours_grown=further-grown/bermejo-giras-grown.toml
paper_grown=grown/cartafestosa-hq-grown.toml
polish_grown=grown/lacquer-hub-grown.toml
paper_large=large/cartafestosa-hq-large.toml
days="
$tours quiet-1
$tours trouble-1
$tours trouble-2
$tours trouble-3
$tours scale-1
$tours scale-2
$tours quiet-1 --seed 700511010747
$tours scale-1 --seed 189569722416
$tours scale-2 --seed 536927175657
$tours trouble-2 --seed 495039511296
$tours mix --seed 17782254015
$tours mix --seed 337789033009
$tours deploy/days/leaving-restarted.toml --vary --seed 315057207718
$tours deploy/days/clocks.toml --vary --seed 583291605480
$tours deploy/days/cuts.toml --vary --seed 291705465046
$tours deploy/days/grey-services.toml --vary --seed 43790819936
$tours_grown trouble-1
$tours_grown scale-2
$paper_grown trouble-1
$paper_grown scale-1
$polish_grown trouble-1
$polish_grown scale-2
$paper_large quiet-1
$paper_large trouble-1
$paper_large trouble-2
$paper_large trouble-3
$paper_large scale-1
$paper_large scale-2
$paper_large quiet-1 --seed 29723113046
$paper_large scale-2 --seed 994906705817
$paper_large trouble-2 --seed 987602368315
$paper_large deploy/days/leaving-restarted.toml --vary --seed 375553655697
$paper_large quiet-1 --small
$paper_large trouble-1 --small
$paper_large scale-1 --small
"

play() {
    local site=$1 day=$2
    shift 2
    local report="$out/$(tr -c 'A-Za-z0-9\n' '-' <<<"$site $day $*").json"
    "$bench" run "$sites/$site" "$day" "$@" --no-cpu --report "$report" --why "$why" >"$report.log" 2>&1 || true
    python3 - "$report" "$site $day $*" <<'PY'
import json
import os
import sys

path, name = sys.argv[1:]
if not os.path.exists(path):
    sys.exit(print(f"-\t-\t{name}\tnot played") or 0)
with open(path, encoding="utf-8") as file:
    day = json.load(file)
kinds = " ".join(f"{kind['worth']:.2f}" for kind in day["classes"] if kind["worth"] is not None)
prices = sorted(day["prices"], key=lambda price: -price[2])[:4]
prices = ", ".join(f"{price[0]} {price[2]:.3f}" for price in prices)
broken = ",".join(day["breaks"]) or "none"
print(f"{day['G']:.4f}\t{day['served']:.3f}\t{name}\tkinds {kinds}\tprices {prices}\tbroken {broken}")
PY
}
export -f play
export bench sites why out

"$bench" build >/dev/null
grep . <<<"$days" | xargs -P "$jobs" -I{} bash -c 'play {}' | sort -k3 -t$'\t'
