# A configured part that is not built in makes the start fail with its name before anything else is done.
export BALANCER_CONFIG=../../examples/config.json GULLTRESTLE_EXT_PROC=ext_proc.json GULLTRESTLE_FLEET=fleet.json
"$1"
echo "exit code $?"
