package rampshift;

import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Provides each test with its own XNIO I/O thread. */
public final class IoThreadExtension implements BeforeEachCallback, AfterEachCallback {
    private XnioWorker worker;

    @Override
    public void beforeEach(ExtensionContext context) throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
    }

    @Override
    public void afterEach(ExtensionContext context) {
        worker.shutdownNow();
    }

    /** Returns the thread of the current test. */
    public XnioIoThread thread() {
        return worker.getIoThread(0);
    }

    /** Runs a step on the thread, and returns its result. */
    public <T> T call(Callable<T> step) throws Exception {
        FutureTask<T> task = new FutureTask<>(step);
        thread().execute(task);
        return task.get();
    }
}
