# What is wrong with the files of several optional parts is told at once.
export BALANCER_CONFIG=../../examples/config.json GULLTRESTLE_LEVELS=wrong-levels.json GULLTRESTLE_LOGGING=wrong-logging.json
"$1"
echo "exit code $?"
