package rampshift.testbed.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rampshift.time.Moment;

/**
 * The versions of the endpoint list that the agent of one dispatcher has received. It has no I/O and no
 * clock.
 */
final class ListHistory {
    private static final int MAX_CHANGES = 20_000;

    /**
     * One change of the list.
     *
     * @param version the version that the change created
     * @param when when the agent received it
     * @param entry the changed entry; its state is GONE if the change removed it
     */
    private record Change(long version, Moment when, WorkerEntry entry) {}

    private final Map<String, WorkerEntry> entries = new LinkedHashMap<>();
    /** The list before the first retained change, including entries in the state GONE. */
    private final Map<String, WorkerEntry> oldestEntries = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long version = 1;
    private long oldestVersion = 1;

    /** Creates a history whose version 1 is the given list. */
    ListHistory(Collection<WorkerEntry> initial) {
        initial.forEach(entry -> entries.put(entry.uid(), entry));
        oldestEntries.putAll(entries);
    }

    /** Returns the latest version. */
    long version() {
        return version;
    }

    /** Applies changes that arrive together as one new version. */
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
        while (changes.size() > MAX_CHANGES) {
            Change oldest = changes.poll();
            oldestVersion = oldest.version();
            oldestEntries.put(oldest.entry().uid(), oldest.entry());
        }
    }

    /** Returns the version that was the latest at a time in the past, or the oldest retained one. */
    long versionAt(Moment time) {
        long latest = oldestVersion;
        for (Change change : changes) {
            if (!time.before(change.when())) {
                latest = change.version();
            }
        }
        return latest;
    }

    /**
     * Returns the entries that changed between two versions, each in its last state.
     *
     * @param known the version after which changes are included
     * @param upTo the last version whose changes are included
     * @return empty if the changes since the known version are no longer retained, or if the known version is
     *         later than {@code upTo}
     */
    Optional<List<WorkerEntry>> changesBetween(long known, long upTo) {
        if (known > upTo || known < oldestVersion) {
            return Optional.empty();
        }
        Map<String, WorkerEntry> latest = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.version() > known && change.version() <= upTo) {
                latest.put(change.entry().uid(), change.entry());
            }
        }
        return Optional.of(new ArrayList<>(latest.values()));
    }

    /** Returns the full list of the latest version. */
    List<WorkerEntry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Returns the full list as it was at a time in the past. */
    List<WorkerEntry> entriesAt(Moment time) {
        Map<String, WorkerEntry> past = new LinkedHashMap<>(oldestEntries);
        for (Change change : changes) {
            if (!time.before(change.when())) {
                past.put(change.entry().uid(), change.entry());
            }
        }
        past.values().removeIf(entry -> entry.state() == WorkerEntry.State.GONE);
        return new ArrayList<>(past.values());
    }
}
