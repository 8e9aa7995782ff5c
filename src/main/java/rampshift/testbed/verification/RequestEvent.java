package rampshift.testbed.verification;

/** An event of one request that a client or a worker logged. */
sealed interface RequestEvent extends LogEvent {
    /** Returns the identifier of the request; a client's retry has another one. */
    String request();

    /**
     * A client sent a request.
     *
     * @param request the identifier of this request; a client's retry has another one
     * @param task the task that the request is for
     * @param type the traffic type of the task
     * @param dispatcher the index of the dispatcher that it was sent to, from 0
     * @param patienceMicros how long the client waits, in microseconds
     */
    record RequestSent(long at, String request, String task, String type, Effect effect, int dispatcher,
            long patienceMicros) implements RequestEvent {
        /** Returns when the client stops waiting, in microseconds of Unix time. */
        long expiry() {
            return at + patienceMicros;
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onRequestSent(this);
        }
    }

    /** A worker received a task of a periodic job. A dispatcher submitted it, so no client waits for it. */
    record JobTaskTaken(long at, String request) implements RequestEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onJobTaskTaken(this);
        }
    }

    /**
     * A client received a response.
     *
     * @param status the HTTP status code
     * @param result the identifier that a worker gave the result; only meaningful if the status is 200
     */
    record ResponseReceived(long at, String request, int status, String result) implements RequestEvent {

        private static final int OK = 200;
        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVICE_UNAVAILABLE = 503;

        /** Returns whether it contains the result of the task. */
        boolean isSuccess() {
            return status == OK;
        }

        /** Returns whether it is a rejection that allows a retry. */
        boolean isRejection() {
            return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onResponseReceived(this);
        }
    }

    /** A client's connection failed before a response arrived; the reason is one word. */
    record ConnectionFailed(long at, String request, String reason) implements RequestEvent {

        /** The connection could not be established. */
        static final String UNREACHABLE = "unreachable";
        /** The peer reset the connection. */
        static final String RESET = "reset";
        /** The peer closed the connection. */
        static final String CLOSED = "closed";

        @Override
        public void accept(LogEventListener listener) {
            listener.onConnectionFailed(this);
        }
    }

    /** A client waited for longer than its patience without a response. */
    record ResponseMissing(long at, String request) implements RequestEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onResponseMissing(this);
        }
    }

    /**
     * A worker received an attempt of a task from a dispatcher.
     *
     * @param worker the identifier of the worker
     * @param dispatcher the index of the dispatcher, from 0
     * @param firstByteAt when its first byte arrived, in microseconds of Unix time
     */
    record AttemptReceived(long at, String worker, int dispatcher, String request,
            long firstByteAt) implements RequestEvent {
        @Override
        public long occurredAt() {
            return firstByteAt;
        }

        @Override
        public void accept(LogEventListener listener) {
            listener.onAttemptReceived(this);
        }
    }

    /** A worker started to run a task. */
    record RunStarted(long at, String worker, String request) implements RequestEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onRunStarted(this);
        }
    }

    /** A worker completed a task; the result is the identifier of its response. */
    record RunCompleted(long at, String request, String result) implements RequestEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onRunCompleted(this);
        }
    }
}
