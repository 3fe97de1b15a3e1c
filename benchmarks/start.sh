#!/bin/sh
# Draws service after a start of everything at once, without and with the ramp, at 10, 100 and 300 routers:
# benchmarks/start.sh BUILD OUT.svg. Simulated; takes a minute or two.
set -eu
build=$1 out=$2
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
for routers in 10 100 300; do
  "$build/gulltrestle_fleet_simulator" play storm --routers $routers --csv "$work/without$routers.csv" > /dev/null &
  "$build/gulltrestle_fleet_simulator" play storm --routers $routers --ramp --csv "$work/with$routers.csv" > /dev/null &
done
wait
gnuplot << END
set terminal svg size 760,420 font "sans,12"
set output "$out"
set datafile separator ","
set title "All routers and 120 nodes lose power at 8 s; clients ask again at once (simulated)"
set xlabel "second in which a txn was first asked for"
set ylabel "part of the value that was served"
set xrange [0:44]
set yrange [0:1.05]
set key bottom right
plot for [r in "10 100 300"] "$work/without".r.".csv" skip 1 using 1:2 with lines dashtype 2 lw 1.5 title r." routers", \
     for [r in "10 100 300"] "$work/with".r.".csv" skip 1 using 1:2 with lines lw 2 title r." routers, with the ramp"
END
