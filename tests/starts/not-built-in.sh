# A part that is asked for and not built in ends the start with its name, ahead of anything else.
export BALANCER_CONFIG=../../examples/config.json GULLTRESTLE_EXT_PROC=ext_proc.json GULLTRESTLE_FLEET=fleet.json
"$1"
echo "exit code $?"
