package rampshift.testbed.verification;

/** What was done to the fleet on purpose. */
sealed interface FaultEvent extends LogEvent {
    /** What can be done to the process of a dispatcher. */
    enum ProcessChange {
        /** It was killed (SIGKILL). */
        KILLED,
        /** It was told to shut down (SIGTERM). */
        ENDED,
        /** It was started again. */
        STARTED,
        /** It was suspended (SIGSTOP). */
        STOPPED,
        /** It was resumed (SIGCONT). */
        CONTINUED,
        /** From now on it gets a part of the processor time alone. */
        STARVED,
        /** It gets all processor time again. */
        FED
    }

    /**
     * Something was done to the process of a dispatcher.
     *
     * @param dispatcher the number of the dispatcher, from 0
     * @param text the line without its time
     */
    record ProcessChanged(long at, ProcessChange change, int dispatcher, String text) implements FaultEvent {
        /** The name of the dispatcher among dispatchers, who count from 1. */
        String dispatcherName() {
            return "d" + (dispatcher + 1);
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onProcessChanged(this);
        }
    }

    /**
     * A fault was injected or is over.
     *
     * @param kind the kind of fault, in lower case with underscores
     * @param injected whether it begins; else it is over
     * @param targets the names of what it befalls, separated by commas; may be empty
     * @param text the line without its time
     */
    record FaultChanged(long at, String kind, boolean injected, String targets,
            String text) implements FaultEvent {

        private static final String DRAIN = "drain";
        private static final String SITE_CUT = "cut";
        private static final String LINK_PREFIX = "way_";

        /** Whether workers are drained. */
        boolean isDrain() {
            return kind.equals(DRAIN);
        }

        /** Whether links between dispatchers are faulty. */
        boolean isLinkFault() {
            return kind.startsWith(LINK_PREFIX) || kind.equals(SITE_CUT);
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onFaultChanged(this);
        }
    }
}
