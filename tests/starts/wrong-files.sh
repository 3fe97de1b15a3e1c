# The errors in the configuration files of several optional parts are reported together.
export BALANCER_CONFIG=../../examples/config.json GULLTRESTLE_LEVELS=wrong-levels.json GULLTRESTLE_LOGGING=wrong-logging.json
"$1"
echo "exit code $?"
