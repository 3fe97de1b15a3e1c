#!/bin/sh
# Plays the case of the folder that is given: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 "$1/case.py"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
