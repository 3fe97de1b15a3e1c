"$1" --version
echo "exit code $?"
"$1" store create
echo "exit code $?"
