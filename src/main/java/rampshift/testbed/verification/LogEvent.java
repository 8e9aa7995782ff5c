package rampshift.testbed.verification;

/**
 * An event that one line of an event log records. Clients, workers, discovery agents, dispatchers and the
 * process that runs them write event logs.
 */
interface LogEvent {
    /** Returns when the line was written, in microseconds of Unix time. */
    long at();

    /**
     * Returns when the event happened, in microseconds of Unix time; earlier than {@link #at()} for some
     * events.
     */
    default long occurredAt() {
        return at();
    }

    /** Calls the listener's method for this type of event. */
    void accept(LogEventListener listener);

    /** A client received bytes from a dispatcher, given by its index, that belong to none of its requests. */
    record UnexpectedBytes(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onUnexpectedBytes(this);
        }
    }

    /** A worker started; a cold worker is slower at first. */
    record WorkerStarted(long at, String worker, boolean cold) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onWorkerStarted(this);
        }
    }

    /** A cold worker failed because it was sent more than it can handle. */
    record WorkerOverloaded(long at, String worker) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onWorkerOverloaded(this);
        }
    }

    /** A discovery agent began to send all endpoints to a dispatcher. */
    record FullListStarted(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onFullListStarted(this);
        }
    }

    /** A discovery agent sent a dispatcher the state of a worker. */
    record EndpointSent(long at, int dispatcher, String worker, boolean ready) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onEndpointSent(this);
        }
    }

    /** A discovery agent finished sending all endpoints to a dispatcher. */
    record FullListCompleted(long at, int dispatcher) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onFullListCompleted(this);
        }
    }

    /**
     * A dispatcher changed the state that it records for another member, or learned that a worker is
     * draining.
     *
     * @param observer the name of the dispatcher
     * @param state the new state of the subject, one word
     * @param subject the name of the other dispatcher, or of the worker
     */
    record MembershipChanged(long at, String observer, String state, String subject) implements LogEvent {

        /** The observer started; it knows no other member yet. */
        static final String STARTED = "began";
        /** The subject failed. */
        static final String FAILED = "failed";
        /** The subject is a worker, and another dispatcher reported that it is draining. */
        static final String DRAINING = "bound";

        /** Returns the index of the observer, from 0. */
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

    /** An event that no rule uses. */
    record OtherEvent(long at) implements LogEvent {
        @Override
        public void accept(LogEventListener listener) {
            // No rule uses this event.
        }
    }
}
