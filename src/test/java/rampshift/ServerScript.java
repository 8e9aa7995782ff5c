package rampshift;

/** What an emulated server does with each message that it receives; it may close the connection. */
public interface ServerScript {
    /** Called on a thread of the connection's own. Whatever it throws ends the connection. */
    void handle(HttpMessage message, TestConnection connection) throws Exception;
}
