package rampshift.testbed.verification;

/** An event of fault injection. */
sealed interface FaultEvent extends LogEvent {
    /** A change to the process of a dispatcher. */
    enum ProcessChange {
        /** It was killed (SIGKILL). */
        KILLED,
        /** It was requested to shut down (SIGTERM). */
        ENDED,
        /** It was started again. */
        STARTED,
        /** It was suspended (SIGSTOP). */
        STOPPED,
        /** It was resumed (SIGCONT). */
        CONTINUED,
        /** Its processor time was limited. */
        STARVED,
        /** The limit on its processor time was removed. */
        FED
    }

    /**
     * The process of a dispatcher was changed.
     *
     * @param dispatcher the index of the dispatcher, from 0
     * @param text the line without its time
     */
    record ProcessChanged(long at, ProcessChange change, int dispatcher, String text) implements FaultEvent {
        /** Returns the name of the dispatcher as a member; names are numbered from 1. */
        String dispatcherName() {
            return "d" + (dispatcher + 1);
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onProcessChanged(this);
        }
    }

    /**
     * A fault began or ended.
     *
     * @param kind the kind of fault, in lower case with underscores
     * @param injected whether the fault begins; else it ends
     * @param targets the names of the affected workers, dispatchers, links or site, separated by commas, or
     *        their number such as {@code 5-workers}; may be empty
     * @param text the line without its time
     */
    record FaultChanged(long at, String kind, boolean injected, String targets,
            String text) implements FaultEvent {

        private static final String DRAIN = "drain";
        private static final String SITE_CUT = "cut";
        private static final String LINK_PREFIX = "way_";

        /** Returns whether the fault drains workers. */
        boolean isDrain() {
            return kind.equals(DRAIN);
        }

        /** Returns whether the fault affects links between dispatchers. */
        boolean isLinkFault() {
            return kind.startsWith(LINK_PREFIX) || kind.equals(SITE_CUT);
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onFaultChanged(this);
        }
    }
}
