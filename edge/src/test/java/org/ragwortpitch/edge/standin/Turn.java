package org.ragwortpitch.edge.standin;

import java.util.List;

/**
 * What stands on a connection where the answer to one request is due.
 *
 * @param call       whether the request is a call of the daemon itself, which bears no attempt id
 * @param status     of the answer
 * @param framing    of the answer
 * @param sealFirst  whether the seal stands before the attempt id
 * @param partial    the part of the answer that is written, in thousandths
 * @param before     written before the answer, unless it is the first on its connection
 * @param after      written after the answer, unless its body has no end that can be told
 * @param closes     whether the connection is closed after this; it always is after an answer without a length
 */
public record Turn(
        boolean call,
        int status,
        Framing framing,
        boolean sealFirst,
        int partial,
        List<ExtraBytes> before,
        List<ExtraBytes> after,
        boolean closes) {}
