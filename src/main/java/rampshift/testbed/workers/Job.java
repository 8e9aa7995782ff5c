package rampshift.testbed.workers;

import rampshift.time.Span;

/** One assignment as a worker holds it: what it is, and how much of it is left to do. */
final class Job {
    final String txn;
    final String key;
    final int type;
    final Span work;
    final double slots;
    final double memory;
    /** The lease under which it was handed in, and the token; null for none. */
    final String lease;
    final long token;
    /** Work left, in microseconds on a machine of speed 1. */
    double left;
    boolean begun;
    boolean over;

    Job(String txn, String key, int type, Span work, double slots, double memory, String lease, long token) {
        this.txn = txn;
        this.key = key;
        this.type = type;
        this.work = work;
        this.slots = slots;
        this.memory = memory;
        this.lease = lease;
        this.token = token;
        left = Math.max(1, work.micros());
    }

    /** 0 to 1. */
    double share() {
        return 1 - left / Math.max(1, work.micros());
    }
}
