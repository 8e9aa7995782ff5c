package rampshift;

/** Handles the messages that an emulated server receives; may close the connection. */
public interface ServerScript {
    /** Called on the thread of the connection. An exception ends the connection. */
    void handle(HttpMessage message, TestConnection connection) throws Exception;
}
