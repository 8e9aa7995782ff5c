package rampshift.testbed.verification;

/**
 * What one line of an event log tells. Event logs are written by clients, workers, discovery agents,
 * dispatchers and the process that runs them all.
 */
interface LogEvent {
    /** When the line was written, in microseconds of Unix time. */
    long at();

    /** When it happened, in microseconds of Unix time; earlier than {@link #at()} for some events. */
    default long occurredAt() {
        return at();
    }

    /** Calls the listener's method for this type of event. */
    void accept(LogEventListener listener);

    /** A client got bytes from a dispatcher, named by its number, that belong to none of its requests. */
    record UnexpectedBytes(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onUnexpectedBytes(this);
        }
    }

    /** A worker started; a cold one runs slower at first. */
    record WorkerStarted(long at, String worker, boolean cold) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onWorkerStarted(this);
        }
    }

    /** A cold worker failed because it was sent more than it can do. */
    record WorkerOverloaded(long at, String worker) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onWorkerOverloaded(this);
        }
    }

    /** A discovery agent begins to send all endpoints to a dispatcher. */
    record FullListStarted(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onFullListStarted(this);
        }
    }

    /** A discovery agent told a dispatcher the state of a worker. */
    record EndpointSent(long at, int dispatcher, String worker, boolean ready) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onEndpointSent(this);
        }
    }

    /** A discovery agent has sent all endpoints to a dispatcher. */
    record FullListCompleted(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onFullListCompleted(this);
        }
    }

    /**
     * A dispatcher learned of another member, or of a drained worker.
     *
     * @param observer the name of the dispatcher
     * @param state what it holds the subject for from now on, one word
     * @param subject the name of the other dispatcher, or of the worker
     */
    record MembershipChanged(long at, String observer, String state, String subject) implements LogEvent {

        /** The observer itself started; it knows nobody yet. */
        static final String STARTED = "began";
        /** The subject failed. */
        static final String FAILED = "failed";
        /** The subject is a worker, and another dispatcher told that it drains. */
        static final String DRAINING = "bound";

        /** The number of the observer, from 0. */
        int observerNumber() {
            return Integer.parseInt(observer.substring(1)) - 1;
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onMembershipChanged(this);
        }
    }

    /** The load ended. */
    record LoadFinished(long at) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onLoadFinished(this);
        }
    }

    /** Something that no rule needs. */
    record OtherEvent(long at) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            // No rule needs it.
        }
    }
}
