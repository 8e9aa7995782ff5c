package rampshift.counters;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** What was admitted, sent and answered since the start. Counted on the I/O thread alone. */
public final class Counters {
    /** What is counted. The page {@code /counters} has a line for each, in this order, under its key. */
    public enum Name {
        /** Tasks that were admitted. */
        TASKS_ADMITTED("taken"),
        /** Requests that are no valid tasks. */
        REQUESTS_REFUSED("turned_down"),
        /** Tasks that were answered with a result. */
        TASKS_FINISHED("finished"),
        /** Tasks that were rejected, for whatever reason: they never ran, or may run again. */
        TASKS_REJECTED("bounced"),
        /** Tasks that were not admitted since too many, or too many bytes, were in flight. */
        TASKS_REJECTED_OVERLOAD("bounced_full"),
        /** Tasks that were not admitted since their deadline had passed before they were read. */
        TASKS_REJECTED_LATE("bounced_stale"),
        /** Tasks that were not admitted since the dispatcher was about to stop. */
        TASKS_REJECTED_STOPPING("bounced_stopping"),
        /** Tasks that were failed: they may have run. */
        TASKS_FAILED("abandoned"),
        /** Tasks whose client left before their answer. */
        CLIENTS_LEFT("client_gone"),
        /** Attempts that were started. */
        ATTEMPTS("assigned"),
        /** Attempts withheld before the first byte: worker draining, moved, restarted; late; client gone. */
        ATTEMPTS_WITHHELD("first_byte_held_back"),
        /** Attempts that were canceled. */
        ATTEMPTS_CANCELED("called_off"),
        /** Connections to workers that were dialed. */
        CONNECTIONS_DIALED("dialed"),
        /** Dials that brought no connection. */
        DIALS_FAILED("dial_failed"),
        /** Connections to workers that were idle and used again. */
        CONNECTIONS_REUSED("reused"),
        /** Idle connections that were closed. */
        IDLE_CONNECTIONS_CLOSED("idle_dropped"),
        /** Attempts that brought a result. */
        OUTCOME_FINISHED,
        /** Attempts that ended with an error. */
        OUTCOME_ERRED,
        /** Attempts that the worker rejected for lack of capacity. */
        OUTCOME_FULL,
        /** Attempts that brought nothing in time. */
        OUTCOME_TIMED_OUT,
        /** Attempts for which there was no connection. */
        OUTCOME_NO_CONNECTION,
        /** Attempts that ended without a result after their request was written. */
        OUTCOME_BROKEN,
        /** Attempts on a connection that had been idle and was reset without a response. */
        OUTCOME_STALE,
        /** Attempts that ended since they were canceled. */
        OUTCOME_CALLED_OFF,
        /** Attempts that were ended before their request was written. */
        OUTCOME_NOT_SENT,
        /** Responses of workers that could not be read. */
        MALFORMED_RESPONSES("odd_answers"),
        /** Health checks that were sent. */
        HEALTH_CHECKS("probes"),
        /** Health checks that were answered. */
        HEALTH_CHECKS_ANSWERED("probes_answered"),
        /** Complete endpoint lists. */
        COMPLETE_LISTS("lists_whole"),
        /** Changes of the endpoint list. */
        LIST_CHANGES("lists_changes"),
        /** Polls of the discovery agent that failed. */
        WATCH_FAILURES("watch_broken"),
        /** Configurations that were read again. */
        RELOADS,
        /** Connections from clients. */
        CLIENT_CONNECTIONS,
        /** Connections from idle clients that were closed for new ones. */
        CLIENT_CONNECTIONS_CLOSED_FOR_ROOM,
        /** Clients whose connection was closed since they were silent for too long. */
        CLIENTS_TIMED_OUT("clients_silent"),
        /** Connections on which more was pipelined than is kept. */
        PIPELINED_INPUT_DROPPED("sent_ahead");

        private final String key;

        Name() {
            key = name().toLowerCase(Locale.ROOT);
        }

        Name(String key) {
            this.key = key;
        }

        /** The word under which operators find it. */
        public String key() {
            return key;
        }
    }

    private final Map<Name, long[]> counts = new EnumMap<>(Name.class);

    /** Counters that are all 0. */
    public Counters() {
        for (Name name : Name.values()) {
            counts.put(name, new long[1]);
        }
    }

    /** Counts one more. */
    public void add(Name name) {
        counts.get(name)[0]++;
    }

    /** How many were counted. */
    public long get(Name name) {
        return counts.get(name)[0];
    }

    /** Keys and values in turn of those that are not 0, for a log line. */
    public Object[] pairs() {
        return counts.keySet().stream().filter(name -> get(name) != 0)
                .flatMap(name -> Stream.<Object>of(name.key(), get(name))).toArray();
    }

    /** The page: one {@code key value} a line. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Name name : Name.values()) {
            text.append(name.key()).append(' ').append(get(name)).append('\n');
        }
        return text.toString();
    }
}
