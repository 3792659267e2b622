/**
 * Typed refusals, for requests that get no regular response. A refusal states the kind of error and whether the request
 * was executed, on which a retry depends.
 */
package org.ragwortpitch.refusal;
