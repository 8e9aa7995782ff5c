package rampshift;

import java.io.IOException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The program, with a failure of its I/O thread that a line on standard input names. */
final class FailingMain {
    /** A line that ends the I/O thread. */
    static final char END = 'e';
    /** A line that exhausts the heap on the I/O thread, which catches the error and goes on. */
    static final char EXHAUST = 'x';

    private FailingMain() {}

    public static void main(String[] args) throws IOException {
        Thread trigger = new Thread(FailingMain::failOnInput);
        trigger.setDaemon(true);
        trigger.start();
        Main.main(args);
    }

    private static void failOnInput() {
        try {
            int failure = System.in.read();
            XnioIoThread thread = ioThread();
            if (failure == END) {
                XnioWorker worker = thread.getWorker();
                worker.shutdownNow();
            } else {
                thread.execute(() -> System.out.println(new long[Integer.MAX_VALUE / 2].length));
            }
        } catch (IOException e) {
            // Standard input was closed.
        }
    }

    private static XnioIoThread ioThread() {
        return (XnioIoThread) Thread.getAllStackTraces().keySet().stream()
                .filter(XnioIoThread.class::isInstance).findFirst().orElseThrow();
    }
}
