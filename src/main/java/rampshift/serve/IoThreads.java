package rampshift.serve;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Makes the threads that a dispatcher runs on. */
final class IoThreads {
    private IoThreads() {}

    /** One I/O thread, which does all the work, and the one task thread that XNIO insists on. */
    static XnioWorker create() throws IOException {
        // XNIO would put beans into the platform's JMX server, which takes 0.15 s of CPU to start. With no
        // such server it goes on without; nobody here reads them, the counters are for that.
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance(IoThreads.class.getClassLoader())
                .createWorker(OptionMap.builder().set(Options.WORKER_NAME, "io")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true).getMap());
    }
}
