package rampshift.log;

import java.text.MessageFormat;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * The service provider for JBoss Logging: passes the messages that Undertow and XNIO log at WARN and above to
 * {@link Log}. Diagnostic contexts are not supported.
 */
public final class LibraryLogs implements LoggerProvider {
    /** The logger of one category of a library. */
    private static final class LibraryLogger extends Logger {
        private static final long serialVersionUID = 1L;

        LibraryLogger(String name) {
            super(name);
        }

        @Override
        protected void doLog(Level level, String caller, Object message, Object[] values, Throwable thrown) {
            if (isEnabled(level)) {
                String pattern = String.valueOf(message);
                boolean hasValues = values != null && values.length > 0;
                forward(level, hasValues ? MessageFormat.format(pattern, values) : pattern, thrown);
            }
        }

        @Override
        protected void doLogf(Level level, String caller, String format, Object[] values, Throwable thrown) {
            if (isEnabled(level)) {
                forward(level, values == null ? format : String.format(format, values), thrown);
            }
        }

        private void forward(Level level, String text, Throwable thrown) {
            LogLevel logLevel = level == Level.WARN ? LogLevel.WARN : LogLevel.ERROR;
            Log.line(logLevel, "library", "from", getName(), "said", text, "thrown", describe(thrown));
        }

        private static String describe(Throwable thrown) {
            if (thrown == null) {
                return "-";
            }
            StackTraceElement[] trace = thrown.getStackTrace();
            return trace.length == 0 ? thrown.toString() : thrown + " at " + trace[0];
        }

        @Override
        public boolean isEnabled(Level level) {
            return level.compareTo(Level.WARN) <= 0;
        }
    }

    @Override
    public Logger getLogger(String name) {
        return new LibraryLogger(name);
    }

    @Override
    public void clearMdc() {
        // Diagnostic contexts are not supported.
    }

    @Override
    public Object putMdc(String key, Object value) {
        return null;
    }

    @Override
    public Object getMdc(String key) {
        return null;
    }

    @Override
    public void removeMdc(String key) {
        // Diagnostic contexts are not supported.
    }

    @Override
    public Map<String, Object> getMdcMap() {
        return Map.of();
    }

    @Override
    public void clearNdc() {
        // Diagnostic contexts are not supported.
    }

    @Override
    public String getNdc() {
        return null;
    }

    @Override
    public int getNdcDepth() {
        return 0;
    }

    @Override
    public String popNdc() {
        return "";
    }

    @Override
    public String peekNdc() {
        return "";
    }

    @Override
    public void pushNdc(String message) {
        // Diagnostic contexts are not supported.
    }

    @Override
    public void setNdcMaxDepth(int maxDepth) {
        // Diagnostic contexts are not supported.
    }
}
