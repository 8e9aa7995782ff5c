package rampshift.testbed.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The list of workers as one dispatcher's agent has been sent it, version by version, with what it was a
 * while
 * ago. No I/O, no clock.
 */
final class ListHistory {
    private static final int MOST_CHANGES = 20_000;

    /** One change as a dispatcher is told of it; the version is the one that it made. */
    private record Change(long version, Moment when, WorkerEntry entry) {}

    private final Map<String, WorkerEntry> entries = new LinkedHashMap<>();
    private final Map<String, WorkerEntry> atStart = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long version = 1;
    private long oldest = 1;

    ListHistory(Collection<WorkerEntry> first) {
        first.forEach(e -> entries.put(e.uid(), e));
        atStart.putAll(entries);
    }

    long version() {
        return version;
    }

    /** Several changes that come together make one version. */
    void apply(Collection<WorkerEntry> changed, Moment now) {
        version++;
        for (WorkerEntry entry : changed) {
            if (entry.state() == WorkerEntry.State.GONE) {
                entries.remove(entry.uid());
            } else {
                entries.put(entry.uid(), entry);
            }
            changes.add(new Change(version, now, entry));
        }
        while (changes.size() > MOST_CHANGES) {
            Change lost = changes.poll();
            oldest = lost.version();
            atStart.put(lost.entry().uid(), lost.entry());
        }
    }

    /** The version that was the last so long ago. */
    long version(Span ago, Moment now) {
        long then = oldest;
        for (Change change : changes) {
            then = now.minus(ago).before(change.when()) ? then : change.version();
        }
        return then;
    }

    /** What changed between two versions, the last state of each; null: too long ago, or never so. */
    List<WorkerEntry> since(long known, long upTo) {
        if (known > upTo || known < oldest) {
            return null;
        }
        Map<String, WorkerEntry> last = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.version() > known && change.version() <= upTo) {
                last.put(change.entry().uid(), change.entry());
            }
        }
        return new ArrayList<>(last.values());
    }

    List<WorkerEntry> whole() {
        return new ArrayList<>(entries.values());
    }

    /** The whole list as it was so long ago. */
    List<WorkerEntry> whole(Span ago, Moment now) {
        Map<String, WorkerEntry> then = new LinkedHashMap<>(atStart);
        for (Change change : changes) {
            if (!now.minus(ago).before(change.when())) {
                then.put(change.entry().uid(), change.entry());
            }
        }
        then.values().removeIf(e -> e.state() == WorkerEntry.State.GONE);
        return new ArrayList<>(then.values());
    }
}
