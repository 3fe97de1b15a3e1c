#!/bin/sh
# Plots the served value after a simultaneous start of all routers and nodes, without and with the admission
# ramp, for 10, 100 and 300 routers. The results are simulated. Takes one to two minutes.
# Usage: benchmarks/start.sh BUILD OUT.svg
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
set title "All routers and 120 nodes lose power at 8 s; clients retry immediately (simulated)"
set xlabel "second in which a txn was first submitted"
set ylabel "fraction of the value that was served"
set xrange [0:44]
set yrange [0:1.05]
set key bottom right
plot for [r in "10 100 300"] "$work/without".r.".csv" skip 1 using 1:2 with lines dashtype 2 lw 1.5 title r." routers", \
     for [r in "10 100 300"] "$work/with".r.".csv" skip 1 using 1:2 with lines lw 2 title r." routers, with the admission ramp"
END
