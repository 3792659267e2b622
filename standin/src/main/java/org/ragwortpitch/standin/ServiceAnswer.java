package org.ragwortpitch.standin;

import java.util.List;

/**
 * What a service stand-in answers.
 *
 * @param method    the request's method
 * @param path      the request's path
 * @param operation the operation id; empty without one
 * @param run       how often the operation ran so far
 * @param body      the request's body
 * @param headers   the request's headers
 */
record ServiceAnswer(String method, String path, String operation, int run, String body, List<String> headers) {}
