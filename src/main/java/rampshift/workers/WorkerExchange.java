package rampshift.workers;

import java.nio.ByteBuffer;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Something carried to a worker and back: it gets a connection, and gives it back once, in {@link #over}. */
abstract class WorkerExchange implements ExchangeListener, Dialer.DialListener {
    final ConnectionPool pool;
    final WorkerEndpoint place;
    private Dialer.Dial dial;
    private HttpConnection connection;
    /** Its connection has served another before. */
    private boolean reused;
    private int life;
    private boolean told;
    /** When it was told of as ended while its answer had not wholly come. */
    Moment lingersSince;

    WorkerExchange(ConnectionPool pool, WorkerEndpoint place) {
        this.pool = pool;
        this.place = place;
    }

    abstract ByteBuffer[] message();

    /** Not over a connection that was kept. */
    boolean wantsNew() {
        return false;
    }

    /** How long a kept connection must have been idle. */
    Span quiet() {
        return Span.ZERO;
    }

    /** How long the last byte is held back. */
    Span hold() {
        return Span.ZERO;
    }

    /** It broke without a word on a connection that had been kept: the others kept may be as stale. */
    final boolean stale() {
        if (reused) {
            pool.suspect(place);
        }
        return reused;
    }

    /** How soon the answer began. */
    final Span answeredAfter() {
        return connection.timeToFirstByte();
    }

    /** No connection can be had, for want of room here. */
    abstract void noRoom();

    void start() {
        life = place.life;
        connection = wantsNew() ? null : pool.idle(place, quiet());
        if (connection != null) {
            reused = true;
            connection.exchange(this, hold(), this::message);
        } else if (place.address == null || !pool.room()) {
            noRoom();
        } else {
            dial = pool.dial(place, this);
        }
    }

    @Override
    public final void onConnected(HttpConnection made) {
        dial = null;
        connection = made;
        connection.exchange(this, hold(), this::message);
    }

    /** Whether its connection is still one to this worker, which has not moved or restarted meanwhile. */
    final boolean current() {
        return life == place.life;
    }

    /** Marks the end as told; false if it was before. What still comes of the answer is only read off. */
    final boolean tell() {
        boolean first = !told;
        told = true;
        return first;
    }

    final boolean told() {
        return told;
    }

    /** The connection stays for the rest of the answer, but not for long. */
    final void linger() {
        if (connection != null) {
            pool.linger(this);
        }
    }

    /** The one place where dial and connection are given back: for reuse, if they are in a known state. */
    final void over() {
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        if (connection != null) {
            HttpConnection given = connection;
            connection = null;
            pool.lingerEnds(this);
            pool.giveBack(place, life, given);
        }
    }
}
