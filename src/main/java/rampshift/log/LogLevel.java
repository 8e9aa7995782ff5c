package rampshift.log;

/** How serious a log line is. */
enum LogLevel {
    INFO, WARN, ERROR
}
