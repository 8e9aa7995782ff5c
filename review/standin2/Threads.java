/** Daemon threads of the stand-ins. */
final class Threads {
    /** What a thread does; may throw. */
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // The peer has gone, or the run has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
