package rampshift.clients;

/**
 * The response to a GET of one of the dispatcher's own paths.
 *
 * @param status the HTTP status
 * @param text the body
 */
public record StatusPage(int status, String text) {}
