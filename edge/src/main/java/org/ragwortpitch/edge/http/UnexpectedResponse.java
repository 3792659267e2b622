package org.ragwortpitch.edge.http;

import org.ragwortpitch.response.ResponseOrigin;

/**
 * The head of a response that was not taken for the answer to the pending request.
 *
 * @param address     of the peer
 * @param connection  number of the connection, in the order in which the daemon opened them
 * @param requests    how many requests the connection has carried, the pending one included
 * @param previousId  attempt id of the request before the pending one; empty if there was none
 * @param pendingId   attempt id of the pending request; empty if it has none, or if no request is pending
 * @param receivedId  attempt id in the response; empty if it has none
 * @param status      status of the response
 * @param sealed      whether the response bears a seal
 * @param origin      which request it may answer
 * @param outcome     what happens to it, for the log
 */
public record UnexpectedResponse(
        String address,
        long connection,
        int requests,
        String previousId,
        String pendingId,
        String receivedId,
        int status,
        boolean sealed,
        ResponseOrigin origin,
        String outcome) {}
