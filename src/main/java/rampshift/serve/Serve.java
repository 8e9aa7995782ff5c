package rampshift.serve;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.clients.Door;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.decide.Settings;
import rampshift.discovery.Listing;
import rampshift.discovery.Watch;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.Malformed;
import rampshift.settings.Platform;
import rampshift.stages.Admit;
import rampshift.stages.Book;
import rampshift.stages.Relay;
import rampshift.stages.Route;
import rampshift.stages.Send;
import rampshift.stages.TakeIn;
import rampshift.time.Clock;
import rampshift.time.Span;
import rampshift.workers.Pool;

/** A dispatcher on sockets: puts the parts together, and sees to its start and its end. */
public final class Serve {
    private static final int RESERVED = 64;               // descriptors of the JVM itself and its files
    private static final double TO_WORKERS = 0.4;         // of the descriptors left
    private static final double BODIES = 0.08;            // of the memory: what tasks in hand may hold
    private static final int BUFFER = 16 * 1024;
    private static final Span LAST_NEW = Span.ofMillis(250);    // nobody new for this long: the stop may end
    private static final Span STOP_LEAST = Span.ofMillis(600);  // after the stop began new ones still come
    private static final Span LOOK = Span.ofMillis(20);

    private final Configuration configuration;
    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final CountDownLatch ended = new CountDownLatch(1);
    private XnioWorker worker;
    private XnioIoThread thread;
    private Dialer dialer;
    private Door door;
    private Watch watch;
    private Book book;
    private Route route;
    private boolean haveList;
    private boolean stopping;

    public Serve(Configuration configuration) {
        this.configuration = configuration;
    }

    /** Runs until SIGTERM; the result is the exit status. */
    public static int run(Map<String, String> environment) {
        Serve serve;
        try {
            serve = new Serve(Configuration.read(environment));
            serve.start();
        } catch (Malformed | IOException e) {
            Log.error("start", "failed", e.getMessage());
            Log.flush();
            return 2;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(serve::stop, "stop"));
        serve.awaitEnd();
        return 0;
    }

    public void start() throws IOException {
        Settings settings = configuration.settings.read(configuration.seed);
        Platform platform = configuration.settings.platform();
        worker = Xnio.getInstance(Serve.class.getClassLoader()).createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "io").set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true).getMap());
        thread = worker.getIoThread(0);
        int sockets = configuration.sockets - RESERVED;
        int toWorkers = (int) (sockets * TO_WORKERS);
        int clients = sockets - toWorkers;
        dialer = new Dialer(thread);
        Pool pool = new Pool(thread, dialer, clock, platform, counters, toWorkers);
        book = new Book(counters);
        Relay relay = new Relay(book);
        route = new Route(thread, clock, settings, platform, pool, book, new Send(pool, clock, book), relay);
        Admit admit = new Admit(Math.min(platform.mostOpen(), clients),
                (long) (configuration.memoryMb * BODIES * (1 << 20)), book, relay, route);
        door = new Door(worker, thread, clock, counters, clients,
                new TakeIn(settings, platform.types(), clock, counters, book, admit));
        watch = new Watch(thread, dialer, configuration.discovery, counters, this::listed);
        door.page("/ready", () -> new Door.Page(haveList && !stopping ? 200 : 503, haveList ? "ready\n" : "no list\n"));
        door.page("/counters", () -> new Door.Page(200, counters.text()));
        if (configuration.known != null) {
            Listing known = Listing.read(configuration.known, configuration.known.length);
            route.listed(known, true);
            haveList = !known.targets().isEmpty();
        }
        door.open(configuration.listen, new DefaultByteBufferPool(true, BUFFER, 256, 0));
        thread.execute(watch::start);
        Log.info("started", "name", configuration.name, "listen", configuration.listen);
    }

    private void listed(Listing list) {
        haveList = true;
        route.listed(list, false);
    }

    /** SIGTERM: goes on taking in and answering, ends when all is answered and nobody new comes. */
    public void stop() {
        thread.execute(() -> {
            Log.info("stopping", "tasks", book.tasks(), "connections", door.connections());
            stopping = true;
            door.beginStop();
            lookForEnd(clock.now().plus(STOP_LEAST));
        });
        awaitEnd();
        Log.info("ended", "counters", counters.text().trim().replace('\n', ','));
        Log.flush();
    }

    private void lookForEnd(rampshift.time.Moment least) {
        if (!clock.now().before(least) && book.tasks() == 0 && door.quietFor(LAST_NEW)) {
            watch.stop();
            door.close();
            ended.countDown();
        } else {
            thread.executeAfter(() -> lookForEnd(least), LOOK.micros(), TimeUnit.MICROSECONDS);
        }
    }

    private void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
