package rampshift.serve;

import rampshift.clients.StatusPage;

/** Tracks whether a dispatcher is ready for clients, and serves this as the page {@code /ready}. */
final class Readiness {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private boolean haveEndpoints;
    private boolean warmedUp;
    private boolean stopping;

    /** Records that an endpoint list is available. */
    void endpointsKnown() {
        haveEndpoints = true;
    }

    boolean haveEndpoints() {
        return haveEndpoints;
    }

    void warmedUp() {
        warmedUp = true;
    }

    void stopping() {
        stopping = true;
    }

    StatusPage page() {
        if (stopping) {
            return new StatusPage(STATUS_UNAVAILABLE, "stopping\n");
        }
        if (!haveEndpoints) {
            return new StatusPage(STATUS_UNAVAILABLE, "no list of workers yet\n");
        }
        if (!warmedUp) {
            return new StatusPage(STATUS_UNAVAILABLE, "warming up\n");
        }
        return new StatusPage(STATUS_OK, "ready\n");
    }
}
