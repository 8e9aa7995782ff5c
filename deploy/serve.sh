#!/bin/sh
# Starts a dispatcher whose heap and buffers fit limits.memory_mb of its configuration; the rest of that memory is for
# classes, code and threads. It starts no program but java, and that by exec: where a dispatcher may be but one
# process, a pipe or $(...) fails, and a dispatcher granted 160 MB ran with the heap of 192 without a word.
limits= key= memory= line= more=1
set -f
IFS=' 	,:{}[]
'
tell() { echo "serve.sh WARN $1" >&2; }
if [ -r "${NODE_CONFIG:-}" ] && [ ! -d "$NODE_CONFIG" ]; then
    # Word by word: a line that ends between key and figure, or a file of one line, reads like any other.
    while [ -z "$memory" ] && [ -n "$more" ]; do
        read -r line || more=
        for word in $line; do
            case "$limits$key$word" in
                '"limits"' | '"limits"'?) limits=in ;;
                'in"memory_mb"' | 'in"memory_mb"'?) key=: ;;
                in:[!0-9]) ;;       # a carriage return, here and above
                in:*) memory=$word; break ;;
            esac
        done
    done < "$NODE_CONFIG"
fi
case "$memory" in
    *[eE]*) ;;
    [0-9]*[!0-9.]) memory=${memory%?}; memory=${memory%%.*} ;;
    *) memory=${memory%%.*} ;;
esac
case "$memory" in
    '') memory=192; tell "memory: limits.memory_mb not found in ${NODE_CONFIG:-NODE_CONFIG, which is not set}, 192 taken" ;;
    *[!0-9]* | ????????*) tell "memory: limits.memory_mb is $memory, no plain number of MB, 192 taken"; memory=192 ;;
esac
heap=$((memory * 9 / 20))
direct=$((memory / 8))
[ "$heap" -ge 12 ] || heap=12
[ "$heap" -le 512 ] || heap=512
[ "$direct" -ge 4 ] || direct=4
least=24
[ "$heap" -ge 24 ] || least=$heap
# After an OutOfMemoryError on the I/O thread a task may be left without an answer: the process ends instead.
# Without its archive of classes a start takes twice the CPU. Of an unfit one the JVM warns, not of a missing one.
[ -r target/rampshift.jsa ] || tell "archive: target/rampshift.jsa is missing, the start is slow"
exec java -XX:+UseSerialGC -XX:-UsePerfData -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:+ExitOnOutOfMemoryError \
    -XX:SharedArchiveFile=target/rampshift.jsa -Xlog:disable -Xlog:all=warning:stderr \
    "-Xms${least}m" "-Xmx${heap}m" "-XX:MaxDirectMemorySize=${direct}m" -XX:ReservedCodeCacheSize=24m \
    -jar target/rampshift.jar serve
