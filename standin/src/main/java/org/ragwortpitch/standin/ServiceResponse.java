package org.ragwortpitch.standin;

import java.util.List;

/**
 * JSON body of a service stand-in's responses, which echoes the request.
 *
 * @param method    the request's method
 * @param path      the request's path
 * @param operation the idempotency key; empty if there is none
 * @param run       how often the operation was executed so far, including this time; 0 without an idempotency key
 * @param body      the request's body
 * @param headers   the request's headers as {@code name: value}
 */
record ServiceResponse(String method, String path, String operation, int run, String body, List<String> headers) {}
