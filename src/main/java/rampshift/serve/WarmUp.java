package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FailedIoFuture;
import org.xnio.FinishedIoFuture;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.counters.Counters;
import rampshift.discovery.EndpointList;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Before the dispatcher is ready, plays some tasks through a second set of all its parts, over pipes inside
 * the process: on a quarter of a core the first real tasks otherwise took up to 185 ms to their first
 * assignment, for classes that were not loaded and code that was not compiled yet.
 */
final class WarmUp {
    private static final int ENOUGH = 10;      // to be ready: more would keep clients waiting after a restart
    private static final int TASKS = 60;       // in all, while no real one has come
    private static final Span MOST = Span.ofMillis(1500);
    private static final String TXN = "rehearsal";
    private static final byte[] BODY = "the whole task".getBytes(StandardCharsets.ISO_8859_1);

    private final XnioIoThread thread;
    private final Clock clock;
    private final Dispatcher dispatcher;
    private final List<String> types;
    private final BooleanSupplier alone;
    private final Runnable done;
    private HttpConnection client;
    private IoTimer timer;
    private Moment began;
    private int played;
    private boolean ready;
    private boolean over;

    WarmUp(XnioIoThread thread, ByteBufferPool buffers, Clock clock, BooleanSupplier alone,
            Runnable done) throws IOException {
        Configuration configuration = configuration();
        this.alone = alone;
        this.thread = thread;
        this.clock = clock;
        this.done = done;
        dispatcher =
                new Dispatcher(thread, buffers, new Dialer(thread, this::toWorker), clock, new Counters(),
                        configuration, 0);
        types = configuration.settings().hostSettings().types();
        dispatcher.policyHost.onEndpointList(
                EndpointList.read(configuration.knownEndpoints(), configuration.knownEndpoints().length),
                false);
    }

    /** What a worker says to the task that is being played. */
    private byte[] answer() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (String rest : new String[]{"\"started\"", "\"running\",\"share\":0.5",
                "\"done\",\"load\":{\"x0\":1,\"depth\":0,\"x1\":2.5},\"result\":\"" + "abc ".repeat(100)
                        + '"'}) {
            String line = "{\"id\":\"" + TXN + played + "\",\"state\":" + rest + "}\n";
            out.writeBytes(ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        }
        out.writeBytes(ascii("0\r\n\r\n"));
        return out.toByteArray();
    }

    /** Always the same one: a rehearsal does not hang on the deployment. */
    static Configuration configuration() {
        try (var in = WarmUp.class.getResourceAsStream("/rampshift/rehearsal.json")) {
            return Configuration.read(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    void start() {
        began = clock.now();
        timer = IoTimer.in(thread, MOST, () -> finish("time"));
        new Dialer(thread, this::toDoor).dial(null, MOST, new Dialer.DialListener() {
            @Override
            public void onConnected(HttpConnection connection) {
                client = connection;
                next();
            }

            @Override
            public void onUnreachable(String why) {
                finish(why);
            }
        });
    }

    private IoFuture<StreamConnection> toDoor(InetSocketAddress to,
            ChannelListener<StreamConnection> opened) {
        return pipe(opened, dispatcher.clientListener::serve);
    }

    private IoFuture<StreamConnection> toWorker(InetSocketAddress to,
            ChannelListener<StreamConnection> opened) {
        return pipe(opened, this::worker);
    }

    private IoFuture<StreamConnection> pipe(ChannelListener<StreamConnection> here,
            ChannelListener<StreamConnection> there) {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
            thread.execute(() -> {
                there.handleEvent(pipe.getRightSide());
                here.handleEvent(pipe.getLeftSide());
            });
            return new FinishedIoFuture<>(pipe.getLeftSide());
        } catch (IOException e) {
            return new FailedIoFuture<>(e);
        }
    }

    /** A stand-in for a worker: once the whole task has come, the whole answer goes. */
    private void worker(StreamConnection end) {
        ByteBuffer in = ByteBuffer.allocate(4096);
        end.getSourceChannel().setReadListener(source -> {
            try {
                while (source.read(in) > 0) {
                    continue;
                }
                boolean whole = in.position() >= BODY.length && ByteBuffer.wrap(BODY).equals(
                        in.duplicate().flip().position(in.position() - BODY.length));
                if (whole) {
                    in.clear();
                    end.getSinkChannel().write(ByteBuffer.wrap(answer()));
                } else if (source.read(in) < 0) {
                    IoUtils.safeClose(end);
                }
            } catch (IOException e) {
                IoUtils.safeClose(end);
            }
        });
        end.getSourceChannel().resumeReads();
    }

    private void next() {
        if (over) {
            return;
        }
        if (played == ENOUGH) {
            ready();
        }
        if (played == TASKS || played >= ENOUGH && !alone.getAsBoolean()) {
            finish(played == TASKS ? "all played" : "a real one came");
            return;
        }
        played++;
        String head = "POST /api/" + played % 7 + " HTTP/1.1\r\nHost: rehearsal\r\nX-Txn: " + TXN + played
                + "\r\nX-Lane: " + types.get(played % types.size()) + "\r\nX-Remaining: 5.000\r\n"
                + "X-Labels: slots=1,memory=0.5\r\nIdempotency-Key: " + played + "\r\nContent-Length: "
                + BODY.length + "\r\n\r\n";
        client.exchange(new ExchangeListener() {
            @Override
            public void onHead(ResponseHead head) {
                if (head.status() != 200) {
                    finish("status " + head.status());
                }
            }

            @Override
            public void onComplete() {
                thread.execute(WarmUp.this::next);
            }

            @Override
            public void onFailure(String why) {
                finish(why);
            }
        }, ByteBuffer.wrap(ascii(head)), ByteBuffer.wrap(BODY));
    }

    private void finish(String why) {
        if (over) {
            return;
        }
        over = true;
        timer.cancel();
        if (client != null) {
            client.close();
        }
        dispatcher.close();
        ready();
        long ms = Math.round(clock.now().since(began).millis());
        Log.info("rehearsed", "tasks", played, "ms", ms, "end", why);
    }

    private void ready() {
        if (!ready) {
            ready = true;
            done.run();
        }
    }
}
