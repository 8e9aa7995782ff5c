package rampshift.serve;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the threads of a dispatcher. */
final class IoThreads {
    private IoThreads() {}

    /** Creates one I/O thread, which does all the work, and the one task thread that XNIO requires. */
    static XnioWorker create() throws IOException {
        // XNIO registers MBeans in the platform's JMX server, whose start takes 0.15 s of CPU. Without that
        // server XNIO skips the registration. The MBeans are not needed, since the dispatcher has its own
        // counters.
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance(IoThreads.class.getClassLoader())
                .createWorker(OptionMap.builder().set(Options.WORKER_NAME, "io")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true).getMap());
    }
}
