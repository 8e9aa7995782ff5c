package rampshift.counters;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** The event counters of the dispatcher since its start, which are incremented on the I/O thread only. */
public final class Counters {
    /** The names of the counters. The page {@code /counters} has a line for each, in this order. */
    public enum Name {
        /** Tasks that were admitted. */
        TASKS_ADMITTED("taken"),
        /** Requests that were refused as invalid. */
        REQUESTS_REFUSED("turned_down"),
        /** Tasks that were answered with a result. */
        TASKS_FINISHED("finished"),
        /** Tasks that were rejected for any reason: they never ran, or may run again. */
        TASKS_REJECTED("bounced"),
        /**
         * Tasks that were not admitted since too many tasks or bytes were in flight, or since the I/O thread
         * was overloaded.
         */
        TASKS_REJECTED_OVERLOAD("bounced_full"),
        /** Tasks that were not admitted since their deadline had passed before they were read. */
        TASKS_REJECTED_LATE("bounced_stale"),
        /** Tasks that were not admitted since the dispatcher was about to stop. */
        TASKS_REJECTED_STOPPING("bounced_stopping"),
        /** Tasks that were answered with a failure: they may have run. */
        TASKS_FAILED("abandoned"),
        /** Tasks whose client left before the response. */
        CLIENTS_LEFT("client_gone"),
        /** Attempts that were started. */
        ATTEMPTS("assigned"),
        /**
         * Attempts that were withheld before the first byte, since their worker was not ready, had moved or
         * restarted, their deadline had passed or their client had left.
         */
        ATTEMPTS_WITHHELD("first_byte_held_back"),
        /** Attempts that were canceled, including those that timed out. */
        ATTEMPTS_CANCELED("called_off"),
        /** Connections to workers that were dialed. */
        CONNECTIONS_DIALED("dialed"),
        /** Dials for attempts that failed. */
        DIALS_FAILED("dial_failed"),
        /** Idle connections to workers that were reused. */
        CONNECTIONS_REUSED("reused"),
        /** Idle connections that this side closed, or found closed when they were about to be reused. */
        IDLE_CONNECTIONS_CLOSED("idle_dropped"),
        /** Attempts that returned a result. */
        OUTCOME_FINISHED,
        /** Attempts that ended with an error. */
        OUTCOME_ERRED,
        /** Attempts that the worker rejected for lack of capacity. */
        OUTCOME_FULL,
        /** Attempts that timed out, or whose response was dropped, after their request was written. */
        OUTCOME_TIMED_OUT,
        /** Attempts whose connection could not be opened, or failed before their request was written. */
        OUTCOME_NO_CONNECTION,
        /** Attempts that ended without a result after their request was written. */
        OUTCOME_BROKEN,
        /** Attempts on a connection that had been idle and was reset without a response. */
        OUTCOME_STALE,
        /** Attempts that were canceled after their request was written. */
        OUTCOME_CALLED_OFF,
        /**
         * Attempts that ended before their request was written for another reason: canceled, timed out,
         * withheld, over the connection limit, or on a stale connection.
         */
        OUTCOME_NOT_SENT,
        /** Invalid statuses, lines and load reports in the responses to attempts. */
        MALFORMED_RESPONSES("odd_answers"),
        /** Incomplete responses of workers that were dropped, since the memory for them was exhausted. */
        RESPONSES_DROPPED,
        /** Health checks that were sent. */
        HEALTH_CHECKS("probes"),
        /** Health checks that were answered. */
        HEALTH_CHECKS_ANSWERED("probes_answered"),
        /** Complete endpoint lists that were received. */
        COMPLETE_LISTS("lists_whole"),
        /** Lists of changed endpoints that were received. */
        LIST_CHANGES("lists_changes"),
        /** Polls of the discovery agent that failed. */
        WATCH_FAILURES("watch_broken"),
        /** Reloads of the configuration. */
        RELOADS,
        /** Connections from clients that were served. */
        CLIENT_CONNECTIONS,
        /** Connections from clients that were closed at the limit of connections to accept new ones. */
        CLIENT_CONNECTIONS_CLOSED_FOR_ROOM,
        /** Connections from clients that were closed since they were idle for too long. */
        CLIENTS_TIMED_OUT("clients_silent"),
        /** Connections whose pipelined input exceeded its limit or the memory for all, and was dropped. */
        PIPELINED_INPUT_DROPPED("sent_ahead");

        private final String key;

        Name() {
            key = name().toLowerCase(Locale.ROOT);
        }

        Name(String key) {
            this.key = key;
        }

        /** Returns the key under which the counter is published. */
        public String key() {
            return key;
        }
    }

    private final Map<Name, long[]> counts = new EnumMap<>(Name.class);

    /** Creates counters that are all 0. */
    public Counters() {
        for (Name name : Name.values()) {
            counts.put(name, new long[1]);
        }
    }

    /** Increments a counter. */
    public void add(Name name) {
        counts.get(name)[0]++;
    }

    /** Returns the value of a counter. */
    public long get(Name name) {
        return counts.get(name)[0];
    }

    /** Returns the alternating keys and values of the counters that are not 0, for a log line. */
    public Object[] pairs() {
        return counts.keySet().stream().filter(name -> get(name) != 0)
                .flatMap(name -> Stream.<Object>of(name.key(), get(name))).toArray();
    }

    /** Returns the content of the page {@code /counters}: one {@code key value} per line. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Name name : Name.values()) {
            text.append(name.key()).append(' ').append(get(name)).append('\n');
        }
        return text.toString();
    }
}
