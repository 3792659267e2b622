/**
 * Dispatches requests to endpoints: queues them fairly, chooses an endpoint, retries failed attempts and validates
 * event streams.
 */
package org.ragwortpitch.dispatch;
