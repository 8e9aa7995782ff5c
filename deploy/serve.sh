#!/bin/sh
# Starts a dispatcher whose heap and buffers fit the memory that its configuration grants it; 192 MB where
# that cannot be read, which the dispatcher itself then says. The rest is for classes, code and threads.
memory=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9][0-9]*\).*/\1/p' "$NODE_CONFIG" 2>/dev/null)
memory=${memory:-192}
heap=$((memory * 9 / 20))
direct=$((memory / 8))
[ "$heap" -ge 12 ] || heap=12
[ "$heap" -le 512 ] || heap=512
[ "$direct" -ge 4 ] || direct=4
least=24
[ "$heap" -ge 24 ] || least=$heap
exec java -XX:+UseSerialGC -XX:-UsePerfData -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:SharedArchiveFile=target/rampshift.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
    "-Xms${least}m" "-Xmx${heap}m" "-XX:MaxDirectMemorySize=${direct}m" -XX:ReservedCodeCacheSize=24m \
    -jar target/rampshift.jar serve
