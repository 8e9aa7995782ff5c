package rampshift.log;

/** The severity of a log line. */
enum LogLevel {
    INFO, WARN, ERROR
}
