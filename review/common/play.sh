# Plays a case: the program NAME of review/bin, in a temporary folder. Exits as the program does.
play() { # name, folder of the case
    local folder status
    cd "$2/../.." || exit 2
    if [ ! -x target/bin/fescuecleat-poold ] || [ ! -x "review/bin/$1" ]; then
        echo "build the deploy file and review/build.sh first" >&2
        exit 2
    fi
    folder=$(mktemp -d) || exit 2
    timeout -k 1 118 "review/bin/$1" target/bin/fescuecleat-poold "$folder" "$2/record.txt" "${TROUBLE:-1}"
    status=$?
    {
        echo "exit status $status; the last lines of the instances' logs:"
        tail -q -n 2 "$folder"/*.log
    } >>"$2/record.txt"
    rm -rf "$folder"
    case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
    esac
}
