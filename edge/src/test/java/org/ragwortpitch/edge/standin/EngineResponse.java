package org.ragwortpitch.edge.standin;

import org.ragwortpitch.adapter.Headers;

/**
 * A response of an engine, as a script for a {@link ScriptedPeer}.
 *
 * @param sealed      whether it has the header that proves that the engine ran the request
 * @param contentType empty to state none
 */
public record EngineResponse(int status, boolean sealed, String contentType, Framing framing, String body) {

    public static final String EVENT_STREAM = "text/event-stream";

    /** How a response states where its body ends. */
    public enum Framing {
        LENGTH,
        CHUNKED,
        /** With the connection. */
        CLOSE
    }

    /**
     * Returns the script, whose head has the attempt id of the request.
     */
    public String script() {
        return head()
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n"
                            + (body.isEmpty() ? "" : ScriptedEngines.chunk(body)) + "0\r\n\r\n";
                    case CLOSE -> "\r\n" + body + ScriptedPeer.CLOSE;
                };
    }

    /**
     * Returns the script of a chunked response that breaks off after its body.
     *
     * @param marker how: {@link ScriptedPeer#CLOSE} or {@link ScriptedPeer#RESET}
     */
    public String brokenOffBy(String marker) {
        return head() + "Transfer-Encoding: chunked\r\n\r\n" + ScriptedEngines.chunk(body) + marker;
    }

    private String head() {
        return "HTTP/1.1 " + status + " Status\r\n" + Headers.ATTEMPT + ": " + ScriptedPeer.ID + "\r\n"
                + (sealed ? Headers.SEAL + ": seal\r\n" : "")
                + (contentType.isEmpty() ? "" : "Content-Type: " + contentType + "\r\n");
    }
}
